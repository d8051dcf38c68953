package sandpaddle.fleet.verdict;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import sandpaddle.fleet.verdict.watch.AttemptOutcome;

/** Whole fleets in virtual time: a truly sick engine, a liar, a gateway that stands still, lossy links, lost zones. */
class DrawnFaultsTest {
    private static final int ENGINES = 10;

    private final Set<String> wrong = new TreeSet<>(); // engines that were condemned though well
    private long sickKnownAt = -1;

    private static void traffic(VirtualFleet fleet, String liar, String sick, Set<String> unreachable, String cutZone) {
        for (String gateway : fleet.gateways.keySet()) {
            if (fleet.stopped.contains(gateway)) {
                continue;
            }
            boolean cut = fleet.zones.get(gateway).equals(cutZone);
            for (int i = 0; i < ENGINES; i++) {
                String engine = "e" + i;
                AttemptOutcome outcome =
                        engine.equals(sick) || gateway.equals(liar) ? AttemptOutcome.FAILED : AttemptOutcome.ANSWERED;
                boolean outside = !cutZone.isEmpty() && i % 3 != Integer.parseInt(cutZone.substring(4));
                if (unreachable.contains(gateway) || cut && outside) {
                    outcome = AttemptOutcome.UNREACHABLE;
                }
                // The liar spares most, so that it does not seem to doubt itself.
                boolean spared = gateway.equals(liar) && i >= 3;
                fleet.gateways
                        .get(gateway)
                        .observer()
                        .attemptEnded(
                                fleet.clock(gateway),
                                engine,
                                spared ? AttemptOutcome.ANSWERED : outcome,
                                10_000,
                                10_000);
            }
        }
    }

    private void look(VirtualFleet fleet, String sick) {
        boolean all = true;
        for (String gateway : fleet.gateways.keySet()) {
            for (int i = 0; i < ENGINES; i++) {
                if (fleet.condemns(gateway, "e" + i) && !sick.equals("e" + i)) {
                    wrong.add(gateway + " e" + i);
                }
            }
            all &= fleet.stopped.contains(gateway) || fleet.condemns(gateway, sick);
        }
        if (all && sickKnownAt < 0) {
            sickKnownAt = fleet.now;
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void onlyTheFailingEngineIsCondemnedDespiteAByzantineAndAStalledGateway(long seed) {
        VirtualFleet fleet = new VirtualFleet(3 + (int) seed, 3, 3, VerdictSettings.DEFAULT, seed);
        fleet.engines(VirtualFleet.lines(ENGINES, 3));
        fleet.loss = 0.02;
        fleet.maxDelay = 100_000;
        List<String> names = List.copyOf(fleet.gateways.keySet());
        String liar = names.get(fleet.random.nextInt(names.size()));
        String stops = names.get(fleet.random.nextInt(names.size()));
        long sickAt = 3_000_000;
        while (fleet.now < 12_000_000) {
            String sick = fleet.now >= sickAt ? "e7" : "";
            if (fleet.now / 1_000_000 % 3 == 1) {
                fleet.stopped.add(stops);
            } else {
                fleet.stopped.clear();
            }
            traffic(fleet, liar, sick, Set.of(), "");
            fleet.runTo(fleet.now + 100_000);
            look(fleet, sick);
        }
        assertEquals(Set.of(), wrong);
        assertTrue(sickKnownAt > 0 && sickKnownAt - sickAt < 2_000_000, "known after " + (sickKnownAt - sickAt));
    }

    /** A zone that lost its uplink to the engines is named, by all, and no engine is blamed. */
    @Test
    void aZoneWithoutUplinkIsIsolatedAndNoEngineIsCondemned() {
        VirtualFleet fleet = new VirtualFleet(9, 3, 3, VerdictSettings.DEFAULT, 11);
        fleet.engines(VirtualFleet.lines(ENGINES, 3));
        long cutAt = 3_000_000;
        long knownAt = -1;
        while (fleet.now < 8_000_000) {
            traffic(fleet, "", "", Set.of(), fleet.now >= cutAt ? "hall2" : "");
            fleet.runTo(fleet.now + 100_000);
            look(fleet, "");
            boolean all = fleet.verdicts.values().stream()
                    .allMatch(v -> v.zones().get("hall2").state() == ZoneLink.State.ISOLATED
                            && v.zones().get("hall0").state() == ZoneLink.State.CONNECTED);
            knownAt = all && knownAt < 0 ? fleet.now : knownAt;
        }
        assertEquals(Set.of(), wrong);
        assertTrue(knownAt - cutAt > 0 && knownAt - cutAt < 1_000_000, "known after " + (knownAt - cutAt));
    }

    /** The same where the gateways of the zone are cut off too: from inside nobody else is heard. */
    @Test
    void aPartitionedZoneDetectsItsOwnIsolation() {
        VirtualFleet fleet = new VirtualFleet(9, 3, 3, VerdictSettings.DEFAULT, 12);
        fleet.engines(VirtualFleet.lines(ENGINES, 3));
        fleet.cut = (from, to) -> fleet.now >= 3_000_000
                && fleet.zones.get(from).equals("hall2") != fleet.zones.get(to).equals("hall2");
        while (fleet.now < 8_000_000) {
            traffic(fleet, "", "", Set.of(), fleet.now >= 3_000_000 ? "hall2" : "");
            fleet.runTo(fleet.now + 100_000);
            look(fleet, "");
        }
        assertEquals(Set.of(), wrong);
        fleet.verdicts.forEach((gateway, v) -> {
            boolean inside = fleet.zones.get(gateway).equals("hall2");
            assertEquals(
                    inside ? ZoneLink.State.ISOLATED : ZoneLink.State.UNKNOWN,
                    v.zones().get("hall2").state(),
                    gateway);
        });
    }

    /** A gateway with a broken network accuses all engines: it doubts itself and is not heard. */
    @Test
    void aGatewayWithoutNetworkCondemnsNothing() {
        VirtualFleet fleet = new VirtualFleet(6, 3, 3, VerdictSettings.DEFAULT, 13);
        fleet.engines(VirtualFleet.lines(ENGINES, 3));
        while (fleet.now < 4_000_000) {
            traffic(fleet, "", "", Set.of("g000", "g001"), "");
            fleet.runTo(fleet.now + 100_000);
            look(fleet, "");
        }
        assertEquals(Set.of(), wrong);
        assertEquals(Set.of("g000", "g001"), fleet.verdicts.get("g005").selfDoubtingGateways());
    }

    /** Own fresh contrary experience goes first, unless this gateway doubts itself. */
    @Test
    void ownSuccessesOverrideTheFleet() {
        VirtualFleet fleet = new VirtualFleet(3, 3, 3, VerdictSettings.DEFAULT, 14);
        fleet.engines(VirtualFleet.lines(ENGINES, 3));
        while (fleet.now < 2_000_000) {
            for (String gateway : List.of("g000", "g001")) {
                fleet.gateways
                        .get(gateway)
                        .observer()
                        .attemptEnded(fleet.clock(gateway), "e1", AttemptOutcome.FAILED, 10_000, 10_000);
                fleet.gateways
                        .get(gateway)
                        .observer()
                        .attemptEnded(fleet.clock(gateway), "e2", AttemptOutcome.ANSWERED, 10_000, 10_000);
            }
            fleet.runTo(fleet.now + 50_000);
        }
        FleetVerdicts third = fleet.gateways.get("g002");
        assertEquals(1, third.effectiveVerdicts(fleet.clock("g002")).size());
        for (int i = 0; i < VerdictFilter.OWN_SUCCESSES_TO_OVERRIDE; i++) {
            third.observer().attemptEnded(fleet.clock("g002"), "e1", AttemptOutcome.ANSWERED, 10_000, 10_000);
        }
        fleet.runTo(fleet.now + 100_000);
        assertTrue(fleet.condemns("g002", "e1"));
        assertEquals(0, third.effectiveVerdicts(fleet.clock("g002")).size());
    }
}
