package sandpaddle.fleet.state.voter;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import sandpaddle.fleet.state.machine.FleetMembership;
import sandpaddle.fleet.state.machine.FleetStateMachine;
import sandpaddle.fleet.state.machine.StateMachinePart;
import sandpaddle.fleet.state.raft.RaftSettings;
import sandpaddle.fleet.state.sim.NumberLog;
import sandpaddle.fleet.store.StoreSettings;
import sandpaddle.fleet.store.VoterStore;
import sandpaddle.fleet.store.disk.NioDisk;
import sandpaddle.fleet.store.mv.MvVoterStore;

/** A voter on the store that the gateway uses, through snapshots and a restart. */
class StoredVoterTest {
    private static final long SECOND = 1_000_000;

    private final List<Long> acknowledged = new ArrayList<>();
    private long now;

    private static VoterStore open(Path directory) throws Exception {
        return MvVoterStore.open(
                new NioDisk(directory), "c", "a", StoreSettings.DEFAULTS, () -> System.nanoTime() / 1000);
    }

    private NumberLog run(VoterStore store, int from, int to) {
        StateMachinePart membership = new StateMachinePart(FleetMembership.TAG, "membership", new FleetMembership());
        NumberLog numberLog = new NumberLog();
        StateMachinePart numbers = new StateMachinePart((byte) 9, "register", numberLog);
        Voter voter = new Voter(
                new Voter.VoterSettings("c", "a", new RaftSettings(1, 3, 1000, 50), membership),
                store,
                new FleetStateMachine(List.of(membership, numbers), NumberLog.FAIL_ON_EXCEPTION),
                new Voter.VoterCallbacks() {
                    @Override
                    public void send(String to, byte[] message) {}

                    @Override
                    public void log(String message) {}
                },
                new Random(1),
                now);
        for (long end = now + 5 * SECOND; now < end; now += SECOND / 10) {
            voter.step(now);
        }
        assertTrue(voter.isLeader(), voter::toString);
        for (int i = from; i < to; i++) {
            long value = i;
            voter.propose(numbers.command(NumberLog.add(value)), o -> acknowledged.add(value));
            voter.step(now += 1000);
        }
        store.close();
        return numberLog;
    }

    @Test
    void acknowledgedCommandsSurviveARestart(@TempDir Path directory) throws Exception {
        VoterStore store = open(directory);
        assertEquals(Optional.empty(), GroupBootstrap.format(store, "c", "a", List.of("a")));
        run(store, 0, 180);
        assertEquals(180, acknowledged.size());
        assertEquals(acknowledged, run(open(directory), 180, 190).values());
        assertEquals(190, acknowledged.size());
    }
}
