package sandpaddle.fleet.state.voter;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import sandpaddle.fleet.state.sim.RandomFaultRun;

/**
 * Runs of random, overlapping faults in virtual time; the same seed repeats a run. The system properties {@code
 * fleet.state.days} and {@code fleet.state.seed} set the number of runs and the first seed.
 */
class RandomFaultsTest {
    private static final int RUNS = Integer.getInteger("fleet.state.days", 100);
    private static final long FIRST_SEED = Long.getLong("fleet.state.seed", 1);

    @Test
    void committedCommandsAreAppliedInOneOrderAndNeverLost() throws Exception {
        long acknowledged = 0;
        int restoredCopies = 0;
        for (long seed = FIRST_SEED; seed < FIRST_SEED + RUNS; seed++) {
            RandomFaultRun run = new RandomFaultRun(seed, seed % 3 == 0 ? 5 : 3);
            assertEquals(List.of(), run.run(), "seed " + seed + ": " + run);
            acknowledged += run.fleet().acknowledged().size();
            restoredCopies += run.restoredCopies();
        }
        assertTrue(acknowledged > 20L * RUNS, acknowledged + " acknowledged: too few for a meaningful check");
        assertTrue(restoredCopies > RUNS / 10, restoredCopies + " restored copies");
    }
}
