package sandpaddle.fleet.outage.margin;

import java.util.Arrays;

/** Ring buffer of the latest offsets (ms) of one rule, with exact quantiles. */
final class OffsetHistory {
    /** Slightly more than a quarter of a year of weekly windows; older ones say little about the next. */
    static final int CAPACITY = 16;

    private final long[] offsetsMs = new long[CAPACITY];
    private int count;
    private int nextIndex;

    void add(long offsetMs) {
        offsetsMs[nextIndex] = offsetMs;
        nextIndex = (nextIndex + 1) % CAPACITY;
        count = Math.min(count + 1, CAPACITY);
    }

    boolean isEmpty() {
        return count == 0;
    }

    /**
     * Returns the smallest offset that at least this fraction of the offsets does not exceed. The history must not be
     * empty.
     */
    long quantile(double fraction) {
        long[] sorted = Arrays.copyOf(offsetsMs, count);
        Arrays.sort(sorted);
        return sorted[Math.max(0, (int) Math.ceil(fraction * count) - 1)];
    }

    /** Returns the offsets, the oldest first. */
    long[] oldestFirst() {
        long[] ordered = new long[count];
        for (int i = 0; i < count; i++) {
            ordered[i] = offsetsMs[(nextIndex - count + i + CAPACITY) % CAPACITY];
        }
        return ordered;
    }
}
