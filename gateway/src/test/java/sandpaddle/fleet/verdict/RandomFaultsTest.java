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

/**
 * Verdicts of fleets with random faults in virtual time: a failing engine, a Byzantine reporter, a stalled gateway,
 * lossy links and isolated zones.
 */
class RandomFaultsTest {
    private static final int ENGINES = 10;

    private final Set<String> wrongEjections = new TreeSet<>(); // gateway and healthy engine
    private long ejectedByAllUs = -1;

    private static void sendTraffic(
            VirtualFleet fleet,
            String byzantineReporter,
            String failingEngine,
            Set<String> disconnectedGateways,
            String isolatedZone) {
        for (String gateway : fleet.gateways.keySet()) {
            if (fleet.stalled.contains(gateway)) {
                continue;
            }
            boolean isInIsolatedZone = fleet.zones.get(gateway).equals(isolatedZone);
            for (int i = 0; i < ENGINES; i++) {
                String engine = "e" + i;
                AttemptOutcome outcome = engine.equals(failingEngine) || gateway.equals(byzantineReporter)
                        ? AttemptOutcome.FAILED
                        : AttemptOutcome.ANSWERED;
                boolean isOutside = !isolatedZone.isEmpty() && i % 3 != Integer.parseInt(isolatedZone.substring(4));
                if (disconnectedGateways.contains(gateway) || isInIsolatedZone && isOutside) {
                    outcome = AttemptOutcome.UNREACHABLE;
                }
                // The Byzantine reporter accuses a minority only, so that it does not suspect itself.
                boolean isNotAccused = gateway.equals(byzantineReporter) && i >= 3;
                fleet.gateways
                        .get(gateway)
                        .observer()
                        .attemptEnded(
                                fleet.localTimeUs(gateway),
                                engine,
                                isNotAccused ? AttemptOutcome.ANSWERED : outcome,
                                10_000,
                                10_000);
            }
        }
    }

    private void recordEjections(VirtualFleet fleet, String failingEngine) {
        boolean isEjectedByAll = true;
        for (String gateway : fleet.gateways.keySet()) {
            for (int i = 0; i < ENGINES; i++) {
                if (fleet.ejects(gateway, "e" + i) && !failingEngine.equals("e" + i)) {
                    wrongEjections.add(gateway + " e" + i);
                }
            }
            isEjectedByAll &= fleet.stalled.contains(gateway) || fleet.ejects(gateway, failingEngine);
        }
        if (isEjectedByAll && ejectedByAllUs < 0) {
            ejectedByAllUs = fleet.nowUs;
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void ejectsOnlyTheFailingEngineDespiteAByzantineAndAStalledGateway(long seed) {
        VirtualFleet fleet = new VirtualFleet(3 + (int) seed, 3, 3, VerdictSettings.DEFAULT, seed);
        fleet.updateEngines(VirtualFleet.listedEngines(ENGINES, 3));
        fleet.frameLossProbability = 0.02;
        fleet.maxDelayUs = 100_000;
        List<String> gatewayNames = List.copyOf(fleet.gateways.keySet());
        String byzantineReporter = gatewayNames.get(fleet.random.nextInt(gatewayNames.size()));
        String stalledGateway = gatewayNames.get(fleet.random.nextInt(gatewayNames.size()));
        long failsAtUs = 3_000_000;
        while (fleet.nowUs < 12_000_000) {
            String failingEngine = fleet.nowUs >= failsAtUs ? "e7" : "";
            if (fleet.nowUs / 1_000_000 % 3 == 1) {
                fleet.stalled.add(stalledGateway);
            } else {
                fleet.stalled.clear();
            }
            sendTraffic(fleet, byzantineReporter, failingEngine, Set.of(), "");
            fleet.runUntil(fleet.nowUs + 100_000);
            recordEjections(fleet, failingEngine);
        }
        assertEquals(Set.of(), wrongEjections);
        assertTrue(
                ejectedByAllUs > 0 && ejectedByAllUs - failsAtUs < 2_000_000,
                "ejected by all after " + (ejectedByAllUs - failsAtUs));
    }

    /** All gateways report the zone whose links to the engines are down as isolated, and eject no engine. */
    @Test
    void zoneWithoutLinksToEnginesIsIsolatedAndNoEngineIsEjected() {
        VirtualFleet fleet = new VirtualFleet(9, 3, 3, VerdictSettings.DEFAULT, 11);
        fleet.updateEngines(VirtualFleet.listedEngines(ENGINES, 3));
        long isolatedAtUs = 3_000_000;
        long knownByAllUs = -1;
        while (fleet.nowUs < 8_000_000) {
            sendTraffic(fleet, "", "", Set.of(), fleet.nowUs >= isolatedAtUs ? "zone2" : "");
            fleet.runUntil(fleet.nowUs + 100_000);
            recordEjections(fleet, "");
            boolean isKnownByAll = fleet.verdicts.values().stream()
                    .allMatch(snapshot -> snapshot.zones().get("zone2").state() == ZoneLink.State.ISOLATED
                            && snapshot.zones().get("zone0").state() == ZoneLink.State.CONNECTED);
            knownByAllUs = isKnownByAll && knownByAllUs < 0 ? fleet.nowUs : knownByAllUs;
        }
        assertEquals(Set.of(), wrongEjections);
        assertTrue(
                knownByAllUs - isolatedAtUs > 0 && knownByAllUs - isolatedAtUs < 1_000_000,
                "known to all after " + (knownByAllUs - isolatedAtUs));
    }

    /** The gateways of the zone are partitioned too, so that neither side receives evidence of the other. */
    @Test
    void partitionedZoneDetectsItsOwnIsolation() {
        VirtualFleet fleet = new VirtualFleet(9, 3, 3, VerdictSettings.DEFAULT, 12);
        fleet.updateEngines(VirtualFleet.listedEngines(ENGINES, 3));
        fleet.isPartitioned = (from, to) -> fleet.nowUs >= 3_000_000
                && fleet.zones.get(from).equals("zone2") != fleet.zones.get(to).equals("zone2");
        while (fleet.nowUs < 8_000_000) {
            sendTraffic(fleet, "", "", Set.of(), fleet.nowUs >= 3_000_000 ? "zone2" : "");
            fleet.runUntil(fleet.nowUs + 100_000);
            recordEjections(fleet, "");
        }
        assertEquals(Set.of(), wrongEjections);
        fleet.verdicts.forEach((gateway, snapshot) -> {
            boolean isInside = fleet.zones.get(gateway).equals("zone2");
            assertEquals(
                    isInside ? ZoneLink.State.ISOLATED : ZoneLink.State.UNKNOWN,
                    snapshot.zones().get("zone2").state(),
                    gateway);
        });
    }

    /** A gateway with a broken network accuses all engines; it suspects itself, so its evidence is ignored. */
    @Test
    void gatewaysWithoutNetworkCauseNoEjection() {
        VirtualFleet fleet = new VirtualFleet(6, 3, 3, VerdictSettings.DEFAULT, 13);
        fleet.updateEngines(VirtualFleet.listedEngines(ENGINES, 3));
        while (fleet.nowUs < 4_000_000) {
            sendTraffic(fleet, "", "", Set.of("g000", "g001"), "");
            fleet.runUntil(fleet.nowUs + 100_000);
            recordEjections(fleet, "");
        }
        assertEquals(Set.of(), wrongEjections);
        assertEquals(Set.of("g000", "g001"), fleet.verdicts.get("g005").selfSuspectingGateways());
    }

    @Test
    void ownSuccessesOverrideAnEjectionByTheFleet() {
        VirtualFleet fleet = new VirtualFleet(3, 3, 3, VerdictSettings.DEFAULT, 14);
        fleet.updateEngines(VirtualFleet.listedEngines(ENGINES, 3));
        while (fleet.nowUs < 2_000_000) {
            for (String gateway : List.of("g000", "g001")) {
                fleet.gateways
                        .get(gateway)
                        .observer()
                        .attemptEnded(fleet.localTimeUs(gateway), "e1", AttemptOutcome.FAILED, 10_000, 10_000);
                fleet.gateways
                        .get(gateway)
                        .observer()
                        .attemptEnded(fleet.localTimeUs(gateway), "e2", AttemptOutcome.ANSWERED, 10_000, 10_000);
            }
            fleet.runUntil(fleet.nowUs + 50_000);
        }
        FleetVerdicts verdictsOfThird = fleet.gateways.get("g002");
        assertEquals(
                1, verdictsOfThird.effectiveVerdicts(fleet.localTimeUs("g002")).size());
        for (int i = 0; i < VerdictFilter.OWN_SUCCESSES_TO_OVERRIDE; i++) {
            verdictsOfThird
                    .observer()
                    .attemptEnded(fleet.localTimeUs("g002"), "e1", AttemptOutcome.ANSWERED, 10_000, 10_000);
        }
        fleet.runUntil(fleet.nowUs + 100_000);
        assertTrue(fleet.ejects("g002", "e1"));
        assertEquals(
                0, verdictsOfThird.effectiveVerdicts(fleet.localTimeUs("g002")).size());
    }
}
