package sandpaddle.fleet.state.voter;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import sandpaddle.fleet.state.sim.SimDisk;
import sandpaddle.fleet.state.sim.SimFleet;
import sandpaddle.fleet.state.sim.SimFleet.Gateway;

/**
 * Shows that acknowledged entries survive the loss of a disk and a crash of all voters, and that they are lost without
 * the mechanism that protects them: join requests, and flushes before an acknowledgement.
 */
class DataLossTest {
    private static final long SECOND = SimFleet.SECOND;
    private static final List<String> THREE = List.of("a", "b", "c");

    /** Replaces the disk of the voter that loses data. */
    private interface DataLoss {
        SimDisk disk(SimDisk before, String name) throws Exception;
    }

    /** The acknowledged numbers that are missing from the leader's log after one more was committed. */
    private static Set<Long> lost(SimFleet fleet) {
        int before = fleet.acknowledged().size();
        for (int i = 0; i < 120 && fleet.acknowledged().size() == before; i++) {
            fleet.leader().ifPresent(fleet::propose);
            fleet.run(SECOND);
        }
        assertTrue(
                fleet.acknowledged().size() > before, () -> "no further proposal is acknowledged: " + fleet.logLines());
        Set<Long> lost = new HashSet<>(fleet.acknowledged());
        lost.removeAll(fleet.leader().orElseThrow().numberLog().values());
        return lost;
    }

    private static void add(SimFleet fleet, int numbers) {
        assertTrue(fleet.runUntil(() -> fleet.leader().isPresent(), 30 * SECOND));
        int until = fleet.acknowledged().size() + numbers;
        while (fleet.acknowledged().size() < until) {
            fleet.leader().ifPresent(fleet::propose);
            fleet.run(SECOND / 10);
        }
    }

    /** One voter is isolated while the two others commit; then one of these loses data, and the other is down. */
    private static Set<Long> lostAfter(boolean acceptsAll, DataLoss dataLoss) throws Exception {
        SimFleet fleet = new SimFleet(11, THREE, List.of(), acceptsAll);
        add(fleet, 3);
        Gateway leader = fleet.leader().orElseThrow();
        List<Gateway> others = fleet.all().stream().filter(g -> g != leader).toList();
        Gateway faulty = others.get(0);
        Gateway isolated = others.get(1);
        SimDisk before = faulty.disk().copy();
        faulty.crash(); // so that both others accept its next incarnation
        faulty.start();
        fleet.run(10 * SECOND);
        for (Gateway g : List.of(leader, faulty)) {
            fleet.net().cut(isolated.name(), g.name());
            fleet.net().cut(g.name(), isolated.name());
        }
        fleet.run(5 * SECOND);
        add(fleet, 3);
        leader.crash();
        faulty.crash();
        faulty.disk(dataLoss.disk(before, faulty.name()));
        fleet.net().heal();
        faulty.start();
        fleet.run(20 * SECOND);
        fleet.leader().ifPresent(fleet::propose);
        fleet.run(2 * SECOND);
        leader.start();
        return lost(fleet);
    }

    private static SimDisk reformatted(SimDisk before, String name) throws Exception {
        SimDisk disk = new SimDisk();
        assertEquals(Optional.empty(), GroupBootstrap.format(disk.open(), "c", name, THREE));
        return disk;
    }

    @Test
    void reformattedDiskIsRefusedAndNothingIsLost() throws Exception {
        assertEquals(Set.of(), lostAfter(false, DataLossTest::reformatted));
    }

    @Test
    void reformattedDiskLosesCommittedEntriesWithoutJoinChecks() throws Exception {
        assertTrue(lostAfter(true, DataLossTest::reformatted).size() >= 3);
    }

    @Test
    void restoredCopyIsRefusedAndNothingIsLost() throws Exception {
        assertEquals(Set.of(), lostAfter(false, (before, name) -> before));
    }

    @Test
    void restoredCopyLosesCommittedEntriesWithoutJoinChecks() throws Exception {
        assertTrue(lostAfter(true, (before, name) -> before).size() >= 3);
    }

    private static Set<Long> lostAfterAllCrash(boolean ignoresFlush) throws Exception {
        SimFleet fleet = new SimFleet(12, THREE, List.of());
        add(fleet, 3);
        if (ignoresFlush) {
            fleet.all().forEach(g -> g.disk().ignoreFlush());
        }
        add(fleet, 3);
        fleet.all().forEach(Gateway::crash);
        fleet.all().forEach(Gateway::start);
        return lost(fleet);
    }

    @Test
    void acknowledgedCommandsSurviveACrashOfAllVoters() throws Exception {
        assertEquals(Set.of(), lostAfterAllCrash(false));
    }

    @Test
    void acknowledgedCommandsAreLostWithoutFlushes() throws Exception {
        assertTrue(lostAfterAllCrash(true).size() >= 3);
    }
}
