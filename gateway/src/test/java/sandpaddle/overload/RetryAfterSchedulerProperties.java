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
    private static final long SLOT_US = 50_000;
    private static final long MIN_RETRY_AFTER_US = 100_000;
    private static final long MAX_RETRY_AFTER_US = 1_000_000;

    private static RetryAfterScheduler scheduler(long seed) {
        return new RetryAfterScheduler(SLOT_US, MIN_RETRY_AFTER_US, MAX_RETRY_AFTER_US, new SplittableRandom(seed));
    }

    @Property(seed = "12", tries = 200)
    void retryAfterStaysWithinBounds(
            @ForAll @IntRange(min = 1, max = 300) int clients,
            @ForAll @IntRange(max = 5_000_000) int workUsPerS,
            @ForAll @IntRange(max = 40_000) int gapUs) {
        RetryAfterScheduler scheduler = scheduler(clients);
        long nowUs = 1_700_000_000_000_000L;
        for (int i = 0; i < clients; i++) {
            if (i % 7 == 0) {
                scheduler.forecast(nowUs, timeUs -> workUsPerS);
            }
            long retryAfterUs = scheduler.schedule(nowUs, 100_000);
            assertTrue(
                    retryAfterUs >= MIN_RETRY_AFTER_US && retryAfterUs <= MAX_RETRY_AFTER_US,
                    "Retry-After " + retryAfterUs);
            nowUs += gapUs;
        }
    }

    /** While slots have spare capacity, none is overfilled, and clients get the earliest ones. */
    @Property(seed = "13", tries = 100)
    void fillsEarliestSlotsUpToTheirCapacity(@ForAll @IntRange(min = 1, max = 18) int clients) {
        RetryAfterScheduler scheduler = scheduler(clients);
        scheduler.forecast(0, timeUs -> 2_000_000); // each slot has capacity for one client with 100 ms of work
        for (int i = 0; i < clients; i++) {
            scheduler.schedule(0, 100_000);
        }
        for (long slotStartUs = 0; slotStartUs < MAX_RETRY_AFTER_US; slotStartUs += SLOT_US) {
            boolean isScheduled =
                    slotStartUs >= MIN_RETRY_AFTER_US && slotStartUs < MIN_RETRY_AFTER_US + clients * SLOT_US;
            assertEquals(isScheduled ? 100_000 : 0, scheduler.expectedWorkUs(slotStartUs), "slot at " + slotStartUs);
        }
    }

    /** An outage longer than the longest Retry-After: no early retries, and no synchronized ones in the last slot. */
    @Test
    void spreadsRetriesOverLaterHalfWithoutCapacity() {
        RetryAfterScheduler scheduler = scheduler(5);
        scheduler.forecast(0, timeUs -> 0);
        long[] retryAftersUs = IntStream.range(0, 1000)
                .mapToLong(i -> scheduler.schedule(0, 100_000))
                .toArray();
        double middleUs = (MIN_RETRY_AFTER_US + MAX_RETRY_AFTER_US) / 2.0;
        for (long retryAfterUs : retryAftersUs) {
            assertTrue(
                    retryAfterUs >= middleUs - 2 * SLOT_US && retryAfterUs <= MAX_RETRY_AFTER_US,
                    "Retry-After " + retryAfterUs);
        }
        double[] workPerSlotUs = IntStream.range(0, (int) (MAX_RETRY_AFTER_US / SLOT_US))
                .mapToDouble(i -> scheduler.expectedWorkUs(i * SLOT_US))
                .filter(x -> x > 0)
                .toArray();
        double meanUs = IntStream.range(0, workPerSlotUs.length)
                .mapToDouble(i -> workPerSlotUs[i])
                .average()
                .orElseThrow();
        assertTrue(workPerSlotUs.length >= 9, "slots used: " + workPerSlotUs.length);
        for (double workUs : workPerSlotUs) {
            assertEquals(meanUs, workUs, 0.05 * meanUs);
        }
    }

    @Test
    void schedulesRetriesForWhenCapacityIsForecast() {
        RetryAfterScheduler scheduler = scheduler(6);
        scheduler.forecast(0, timeUs -> timeUs < 500_000 ? 0 : 2_000_000);
        for (int i = 0; i < 8; i++) {
            assertTrue(scheduler.schedule(0, 100_000) >= 500_000);
        }
    }
}
