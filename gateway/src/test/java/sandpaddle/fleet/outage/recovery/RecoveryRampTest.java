package sandpaddle.fleet.outage.recovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import sandpaddle.fleet.content.Candidate;
import sandpaddle.fleet.content.SampleResults;
import sandpaddle.fleet.outage.plan.Fetch;
import sandpaddle.fleet.outage.plan.FetchLimit;

class RecoveryRampTest {
    private static final double WARM_WORK_US_PER_SECOND = 2e6;

    private final RecoveryRamp ramp = new RecoveryRamp(RecoveryRampSettings.DEFAULT, new SplittableRandom(1));

    /** Engines are cold until 10 s and warm from 20 s. */
    private static double warm(long timeUs) {
        return WARM_WORK_US_PER_SECOND * Math.max(0, Math.min(1, (timeUs - 10_000_000) / 10e6));
    }

    @Test
    void clientsReturnNoFasterThanEnginesWarmUp() {
        ramp.forecast(0, RecoveryRampTest::warm);
        double[] workUs = new double[61];
        for (int i = 0; i < 1000; i++) {
            long retryAfterUs = ramp.retryAfterUs(0, 40_000);
            assertTrue(retryAfterUs <= RecoveryRampSettings.DEFAULT.maxRetryAfterUs());
            workUs[(int) (retryAfterUs / 1_000_000)] += 40_000;
        }
        for (int second = 0; second < 60; second++) {
            double max = RecoveryRampSettings.DEFAULT.clientFraction() * warm((second + 1) * 1_000_000L);
            assertTrue(
                    workUs[second] <= max + 100_000,
                    workUs[second] + " us of work in second " + second + ", of " + max);
        }
        assertEquals(0, workUs[5]);
    }

    @Test
    void refreshLimitIsFractionOfWarmCapacity() {
        ramp.forecast(0, RecoveryRampTest::warm);
        assertEquals(FetchLimit.NONE, ramp.refreshLimit(0, warm(5_000_000), false));
        assertEquals(
                200_000, ramp.refreshLimit(0, WARM_WORK_US_PER_SECOND, false).workUsPerSecond());
        assertEquals(
                FetchLimit.NONE, ramp.refreshLimit(0, WARM_WORK_US_PER_SECOND, true), "live traffic or a retry storm");
        assertEquals(
                100_000,
                ramp.refreshLimit(0, WARM_WORK_US_PER_SECOND / 2, false).workUsPerSecond());
    }

    @Test
    void refreshesMostServedAnswersFirstAndSkipsFreshOnes() {
        AnswerRefresher refresher = new AnswerRefresher();
        for (int n = 0; n < 5; n++) {
            for (int i = 0; i <= n; i++) {
                refresher.recordServed(new Candidate(SampleResults.key(n), n, Set.of(), 10, 100_000, 1000, 1, -1));
            }
        }
        refresher.start();
        FetchLimit limit = new FetchLimit(1, 200_000);
        assertEquals(0, refresher.startDueFetches(0, FetchLimit.NONE).size());
        assertEquals(
                4,
                refresher.startDueFetches(1_000_000, limit).get(0).candidate().fingerprint());
        refresher.fetchEnded(SampleResults.key(4).id(), true);
        refresher.recordFreshAnswer(SampleResults.key(3).id());
        List<Fetch> next = new ArrayList<>();
        for (int second = 2; second < 5 && next.isEmpty(); second++) {
            next.addAll(refresher.startDueFetches(second * 1_000_000L, limit));
        }
        assertEquals(2, next.get(0).candidate().fingerprint());
        refresher.stop();
        refresher.fetchEnded(SampleResults.key(2).id(), false);
        assertEquals(1, refresher.waitingCount(), "a failed fetch is retried once");
        refresher.start();
        assertEquals(3, refresher.waitingCount());
    }
}
