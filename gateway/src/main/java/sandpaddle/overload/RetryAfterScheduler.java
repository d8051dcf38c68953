package sandpaddle.overload;

import java.util.SplittableRandom;
import java.util.function.LongToDoubleFunction;

/**
 * Chooses the Retry-After of each rejected client, so that retries arrive at the rate that the fleet can serve. A ring
 * of time slots extends to the longest Retry-After; each slot counts the work that its retries are expected to bring,
 * and a client gets the earliest slot with spare capacity. If no slot has any, as in an outage longer than the longest
 * Retry-After, the client gets that slot in the later half of the ring in which scheduled work exceeds capacity least.
 * The earlier half is avoided, since a retry that comes too early only wastes one of the client's few attempts. Not all
 * clients get the last slot, since their retries would then arrive together.
 *
 * <p>A call of {@link #schedule} visits each slot at most once, and the later half once more if all slots are full;
 * this takes a few microseconds for a minute of slots. Not thread-safe; times are in microseconds and never decrease.
 */
public final class RetryAfterScheduler {
    private static final double US_PER_S = 1e6;

    private final long slotUs, minUs;
    private final int slotCount;
    private final double[] scheduledWorkUs; // by slot number modulo the size of the ring
    private final double[] capacityUs;
    private final long[] slotNumbers; // the slot that each index of the ring holds
    private final SplittableRandom random;
    private long firstFreeSlot; // earlier slots are over or full
    private double defaultCapacityUs; // for slots beyond the forecast

    /**
     * Creates a scheduler without scheduled retries and without capacity.
     *
     * @param slotUs length of a slot
     * @param minUs shortest Retry-After, before the jitter is added
     * @param maxUs longest Retry-After
     * @param random source of the jitter within a slot
     */
    public RetryAfterScheduler(long slotUs, long minUs, long maxUs, SplittableRandom random) {
        this.slotUs = slotUs;
        this.minUs = Math.min(minUs, maxUs);
        slotCount = (int) Math.max(1, maxUs / slotUs);
        scheduledWorkUs = new double[slotCount + 1];
        capacityUs = new double[slotCount + 1];
        slotNumbers = new long[slotCount + 1];
        this.random = random;
    }

    /**
     * Updates the capacity of the slots. Call it several times a second.
     *
     * @param nowUs the time
     * @param workPerSecond work that retries may bring at a time, in microseconds of work per second
     */
    public void forecast(long nowUs, LongToDoubleFunction workPerSecond) {
        long firstSlot = nowUs / slotUs;
        for (long slot = firstSlot; slot <= firstSlot + slotCount; slot++) {
            defaultCapacityUs =
                    Math.max(0, workPerSecond.applyAsDouble(slot * slotUs + slotUs / 2)) * slotUs / US_PER_S;
            capacityUs[indexOf(slot)] = defaultCapacityUs;
        }
        firstFreeSlot = firstSlot;
    }

    /** Returns the index of a slot in the ring, and clears it if it held an earlier slot. */
    private int indexOf(long slot) {
        int index = (int) Math.floorMod(slot, (long) scheduledWorkUs.length);
        if (slotNumbers[index] != slot) {
            slotNumbers[index] = slot;
            scheduledWorkUs[index] = 0;
            capacityUs[index] = defaultCapacityUs;
        }
        return index;
    }

    /**
     * Schedules the retry of a rejected client.
     *
     * @param nowUs the time
     * @param workUs work that the retry is expected to bring
     * @return the Retry-After, in microseconds, at most the longest that was configured
     */
    public long schedule(long nowUs, double workUs) {
        long firstSlot = (nowUs + minUs + slotUs - 1) / slotUs;
        long lastSlot = Math.max(firstSlot, nowUs / slotUs + slotCount - 1);
        long chosenSlot = -1;
        for (long slot = Math.max(firstSlot, firstFreeSlot); slot <= lastSlot && chosenSlot < 0; slot++) {
            int index = indexOf(slot);
            if (scheduledWorkUs[index] + workUs <= capacityUs[index]) {
                chosenSlot = slot;
            } else if (slot == firstFreeSlot && scheduledWorkUs[index] + minSpareWorkUs(workUs) > capacityUs[index]) {
                firstFreeSlot++;
            }
        }
        if (chosenSlot < 0) {
            chosenSlot = slotWithLeastExcess(firstSlot + (lastSlot - firstSlot) / 2, lastSlot);
        }
        scheduledWorkUs[indexOf(chosenSlot)] += workUs;
        return Math.max(0, Math.min(chosenSlot * slotUs + random.nextLong(slotUs), nowUs + slotCount * slotUs) - nowUs);
    }

    /** The spare capacity below which a slot counts as full: a tenth of the work of the retry to schedule. */
    private static double minSpareWorkUs(double workUs) {
        return workUs / 10;
    }

    /**
     * Returns the slot in which the scheduled work exceeds the capacity least. The search starts at a random slot, so
     * that ties are broken at random; a fixed order would choose the first of equal slots each time.
     */
    private long slotWithLeastExcess(long firstSlot, long lastSlot) {
        long leastExcessSlot = firstSlot;
        double minExcessUs = Double.POSITIVE_INFINITY;
        long offset = random.nextLong(lastSlot - firstSlot + 1);
        for (long step = 0; step <= lastSlot - firstSlot; step++) {
            long slot = firstSlot + (step + offset) % (lastSlot - firstSlot + 1);
            int index = indexOf(slot);
            double excessUs = scheduledWorkUs[index] - capacityUs[index];
            if (excessUs < minExcessUs) {
                minExcessUs = excessUs;
                leastExcessSlot = slot;
            }
        }
        return leastExcessSlot;
    }

    /** The work that retries are expected to bring in the slot of a time (us). */
    public double expectedWorkUs(long timeUs) {
        long slot = timeUs / slotUs;
        int index = (int) Math.floorMod(slot, (long) scheduledWorkUs.length);
        return slotNumbers[index] == slot ? scheduledWorkUs[index] : 0;
    }
}
