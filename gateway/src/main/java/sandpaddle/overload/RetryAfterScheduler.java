package sandpaddle.overload;

import java.util.SplittableRandom;
import java.util.function.LongToDoubleFunction;

/**
 * Chooses the Retry-After of each rejected client, so that returns arrive spread out at the rate that the fleet can
 * serve: a ring of time slots up to the longest Retry-After, each filled with the work that returns in it are expected
 * to bring, the earliest with spare capacity first. If no slot has any, as in an outage longer than the longest
 * Retry-After, the emptiest of the later half is taken: a client that returns early without success only spends one of
 * its few attempts, and if all were sent to the last slot they would return as one wave.
 *
 * <p>Costs at most one pass over the slots, a few microseconds for a minute of them. Called from one thread; times are
 * in microseconds and never decrease.
 */
public final class RetryAfterScheduler {
    private static final double US_PER_S = 1e6;

    private final long slotUs, minUs;
    private final int slotCount;
    private final double[] scheduledWorkUs; // expected work by slot number modulo the ring
    private final double[] capacityUs;
    private final long[] slotNumbers; // the slot that each place of the ring holds
    private final SplittableRandom random;
    private long firstFreeSlot; // no slot before it has spare capacity
    private double defaultCapacityUs; // of slots beyond the forecast

    /** Slots of {@code slotUs} up to {@code maxUs} ahead; no Retry-After is under {@code minUs}, apart from jitter. */
    public RetryAfterScheduler(long slotUs, long minUs, long maxUs, SplittableRandom random) {
        this.slotUs = slotUs;
        this.minUs = Math.min(minUs, maxUs);
        slotCount = (int) Math.max(1, maxUs / slotUs);
        scheduledWorkUs = new double[slotCount + 1];
        capacityUs = new double[slotCount + 1];
        slotNumbers = new long[slotCount + 1];
        this.random = random;
    }

    /** Updates the work per second (us/s) that returns may bring, by time. Call it several times a second. */
    public void forecast(long nowUs, LongToDoubleFunction workPerSecond) {
        long firstSlot = nowUs / slotUs;
        for (long slot = firstSlot; slot <= firstSlot + slotCount; slot++) {
            defaultCapacityUs =
                    Math.max(0, workPerSecond.applyAsDouble(slot * slotUs + slotUs / 2)) * slotUs / US_PER_S;
            capacityUs[indexOf(slot)] = defaultCapacityUs;
        }
        firstFreeSlot = firstSlot;
    }

    /** The place of a slot in the ring, cleared if it held an earlier slot. */
    private int indexOf(long slot) {
        int index = (int) Math.floorMod(slot, (long) scheduledWorkUs.length);
        if (slotNumbers[index] != slot) {
            slotNumbers[index] = slot;
            scheduledWorkUs[index] = 0;
            capacityUs[index] = defaultCapacityUs;
        }
        return index;
    }

    /** Schedules a return that is expected to bring so much work; its Retry-After (us), never over the longest. */
    public long schedule(long nowUs, double workUs) {
        long firstSlot = (nowUs + minUs + slotUs - 1) / slotUs;
        long lastSlot = Math.max(firstSlot, nowUs / slotUs + slotCount - 1);
        long chosenSlot = -1;
        for (long slot = Math.max(firstSlot, firstFreeSlot); slot <= lastSlot && chosenSlot < 0; slot++) {
            int index = indexOf(slot);
            if (scheduledWorkUs[index] + workUs <= capacityUs[index]) {
                chosenSlot = slot;
            } else if (slot == firstFreeSlot && scheduledWorkUs[index] + minWork(workUs) > capacityUs[index]) {
                firstFreeSlot++;
            }
        }
        if (chosenSlot < 0) {
            chosenSlot = emptiestSlotOf(firstSlot + (lastSlot - firstSlot) / 2, lastSlot);
        }
        scheduledWorkUs[indexOf(chosenSlot)] += workUs;
        return Math.max(0, Math.min(chosenSlot * slotUs + random.nextLong(slotUs), nowUs + slotCount * slotUs) - nowUs);
    }

    /** A slot without capacity for a tenth of this work counts as full. */
    private static double minWork(double workUs) {
        return workUs / 10;
    }

    /** The slot with the least excess, ties at random: a fixed choice would attract all of a burst. */
    private long emptiestSlotOf(long firstSlot, long lastSlot) {
        long emptiestSlot = firstSlot;
        double minExcessUs = Double.POSITIVE_INFINITY;
        long offset = random.nextLong(lastSlot - firstSlot + 1);
        for (long step = 0; step <= lastSlot - firstSlot; step++) {
            long slot = firstSlot + (step + offset) % (lastSlot - firstSlot + 1);
            int index = indexOf(slot);
            double excessUs = scheduledWorkUs[index] - capacityUs[index];
            if (excessUs < minExcessUs) {
                minExcessUs = excessUs;
                emptiestSlot = slot;
            }
        }
        return emptiestSlot;
    }

    /** Work expected to return in the slot of a time (us). */
    public double expectedWorkUs(long timeUs) {
        long slot = timeUs / slotUs;
        int index = (int) Math.floorMod(slot, (long) scheduledWorkUs.length);
        return slotNumbers[index] == slot ? scheduledWorkUs[index] : 0;
    }
}
