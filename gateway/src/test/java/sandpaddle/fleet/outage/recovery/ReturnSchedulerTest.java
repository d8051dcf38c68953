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
import sandpaddle.fleet.outage.plan.Allowance;
import sandpaddle.fleet.outage.plan.Fetch;

class ReturnSchedulerTest {
    private static final double CORES = 2e6; // us of work a second, once warm

    private final ReturnScheduler back = new ReturnScheduler(BackSettings.DEFAULT, new SplittableRandom(1));

    /** Cold until 10 s, warm from 20 s on. */
    private static double warm(long t) {
        return CORES * Math.max(0, Math.min(1, (t - 10_000_000) / 10e6));
    }

    @Test
    void clientsComeBackNoFasterThanEnginesWarmUp() {
        back.forecast(0, ReturnSchedulerTest::warm);
        double[] work = new double[61];
        for (int i = 0; i < 1000; i++) {
            long pause = back.pause(0, 40_000);
            assertTrue(pause <= BackSettings.DEFAULT.maxUs());
            work[(int) (pause / 1_000_000)] += 40_000;
        }
        for (int s = 0; s < 60; s++) {
            double max = BackSettings.DEFAULT.clientShare() * warm((s + 1) * 1_000_000L);
            assertTrue(work[s] <= max + 100_000, work[s] + " us of work in second " + s + ", of " + max);
        }
        assertEquals(0, work[5]);
    }

    @Test
    void refreshesTakeASmallPartOfWhatIsWarm() {
        back.forecast(0, ReturnSchedulerTest::warm);
        assertEquals(Allowance.NONE, back.refresh(0, warm(5_000_000), false));
        assertEquals(200_000, back.refresh(0, CORES, false).workPerSecond());
        assertEquals(Allowance.NONE, back.refresh(0, CORES, true), "live traffic, or a storm");
        assertEquals(100_000, back.refresh(0, CORES / 2, false).workPerSecond());
    }

    @Test
    void whatWasHandedOutIsFetchedAnewTheMostAskedFirstAndNotInVain() {
        Refreshes refreshes = new Refreshes();
        for (int n = 0; n < 5; n++) {
            for (int i = 0; i <= n; i++) {
                refreshes.handedOut(new Candidate(SampleResults.key(n), n, Set.of(), 10, 100_000, 1000, 1, -1));
            }
        }
        refreshes.begin();
        Allowance one = new Allowance(1, 200_000);
        assertEquals(0, refreshes.next(0, Allowance.NONE).size());
        assertEquals(4, refreshes.next(1_000_000, one).get(0).what().fingerprint());
        refreshes.ended(SampleResults.key(4).id(), true);
        refreshes.served(SampleResults.key(3).id());
        List<Fetch> next = new ArrayList<>();
        for (int s = 2; s < 5 && next.isEmpty(); s++) {
            next.addAll(refreshes.next(s * 1_000_000L, one));
        }
        assertEquals(2, next.get(0).what().fingerprint());
        refreshes.stop();
        refreshes.ended(SampleResults.key(2).id(), false);
        assertEquals(1, refreshes.waiting(), "what failed is tried once more");
        refreshes.begin();
        assertEquals(3, refreshes.waiting());
    }
}
