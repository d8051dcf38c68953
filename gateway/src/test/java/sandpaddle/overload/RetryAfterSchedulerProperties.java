package sandpaddle.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class RetryAfterSchedulerProperties {
    private static final long SLOT = 50_000;
    private static final long MIN_PAUSE_US = 100_000;
    private static final long MAX_PAUSE_US = 1_000_000;

    private static RetryAfterScheduler calendar(long seed) {
        return new RetryAfterScheduler(SLOT, MIN_PAUSE_US, MAX_PAUSE_US, new SplittableRandom(seed));
    }

    @Property(seed = "12", tries = 200)
    void aPauseIsNeverShorterThanTheLeastNorLongerThanTheMost(
            @ForAll @IntRange(min = 1, max = 300) int clients,
            @ForAll @IntRange(max = 5_000_000) int rate,
            @ForAll @IntRange(max = 40_000) int gap) {
        RetryAfterScheduler calendar = calendar(clients);
        long now = 1_700_000_000_000_000L;
        for (int i = 0; i < clients; i++) {
            if (i % 7 == 0) {
                calendar.forecast(now, t -> rate);
            }
            long pause = calendar.schedule(now, 100_000);
            assertTrue(pause >= MIN_PAUSE_US && pause <= MAX_PAUSE_US, "pause " + pause);
            now += gap;
        }
    }

    /** While slots have room, none is filled over it, and no client waits for a later one than it must. */
    @Property(seed = "13", tries = 100)
    void returnsArriveAtTheRateThatCanBeTaken(@ForAll @IntRange(min = 1, max = 18) int clients) {
        RetryAfterScheduler calendar = calendar(clients);
        calendar.forecast(0, t -> 2_000_000); // room for one client of 100 ms of work in each slot
        for (int i = 0; i < clients; i++) {
            calendar.schedule(0, 100_000);
        }
        for (long t = 0; t < MAX_PAUSE_US; t += SLOT) {
            boolean taken = t >= MIN_PAUSE_US && t < MIN_PAUSE_US + clients * SLOT;
            assertEquals(taken ? 100_000 : 0, calendar.expectedWorkUs(t), "slot at " + t);
        }
    }

    /** The most is shorter than the calendar would be: nobody comes early into nothing, and there is no one wave. */
    @Test
    void anOutageLongerThanTheMostSpreadsReturnsOverTheLaterHalf() {
        RetryAfterScheduler calendar = calendar(5);
        calendar.forecast(0, t -> 0);
        long[] pauses = IntStream.range(0, 1000)
                .mapToLong(i -> calendar.schedule(0, 100_000))
                .toArray();
        double middle = (MIN_PAUSE_US + MAX_PAUSE_US) / 2.0;
        for (long p : pauses) {
            assertTrue(p >= middle - 2 * SLOT && p <= MAX_PAUSE_US, "pause " + p);
        }
        double[] filled = IntStream.range(0, (int) (MAX_PAUSE_US / SLOT))
                .mapToDouble(i -> calendar.expectedWorkUs(i * SLOT))
                .filter(x -> x > 0)
                .toArray();
        double mean = IntStream.range(0, filled.length)
                .mapToDouble(i -> filled[i])
                .average()
                .orElseThrow();
        assertTrue(filled.length >= 9, "slots used: " + filled.length);
        for (double f : filled) {
            assertEquals(mean, f, 0.05 * mean);
        }
    }

    @Test
    void whatTheFleetCanTakeLaterIsPlannedForLater() {
        RetryAfterScheduler calendar = calendar(6);
        calendar.forecast(0, t -> t < 500_000 ? 0 : 2_000_000);
        for (int i = 0; i < 8; i++) {
            assertTrue(calendar.schedule(0, 100_000) >= 500_000);
        }
    }
}
