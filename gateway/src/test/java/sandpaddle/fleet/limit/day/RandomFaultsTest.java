package sandpaddle.fleet.limit.day;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.EnumSet;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import sandpaddle.fleet.limit.Guard;
import sandpaddle.fleet.limit.LimitSettings;

/** Checks the limit in a simulated fleet under random faults, as counted at the engines. */
class RandomFaultsTest {
    private static final long US_PER_MS = 1000;
    private static final int RUNS = 2000;
    static final LimitSettings SETTINGS = new LimitSettings(
            200 * US_PER_MS,
            2500 * US_PER_MS,
            2100 * US_PER_MS,
            800 * US_PER_MS,
            150 * US_PER_MS,
            400 * US_PER_MS,
            4000 * US_PER_MS,
            RandomFaultRun.DRIFT,
            0.1,
            0.05,
            EnumSet.allOf(Guard.class));

    private static RandomFaultRun run(int seed, LimitSettings settings) {
        boolean large = seed % 1000 == 999;
        return new RandomFaultRun(seed, large ? 100 : 3 + seed % 4, settings)
                .run(large ? 12_000 * US_PER_MS : 20_000 * US_PER_MS);
    }

    @Test
    void limitIsNeverExceededUnderRandomFaults() {
        List<RandomFaultRun> runs = IntStream.range(0, RUNS)
                .parallel()
                .mapToObj(seed -> run(seed, SETTINGS))
                .toList();
        for (int seed = 0; seed < RUNS; seed++) {
            assertEquals(0, runs.get(seed).maxExcess, "seed " + seed + " at " + runs.get(seed).maxExcessAtUs);
        }
        long startedAttempts =
                runs.stream().mapToLong(run -> run.startedAttempts).sum();
        assertTrue(
                startedAttempts > 40 * RUNS,
                "too few attempts started for the check to mean anything: " + startedAttempts);
    }

    @ParameterizedTest
    @EnumSource(
            value = Guard.class,
            names = {"VERSION", "SHRINK_FIRST", "ELECTION_RENEWS"})
    void randomFaultsFindDisabledGuards(Guard guard) {
        assertTrue(IntStream.range(0, 100)
                .parallel()
                .anyMatch(seed -> run(seed, SETTINGS.without(guard)).maxExcess > 0));
    }
}
