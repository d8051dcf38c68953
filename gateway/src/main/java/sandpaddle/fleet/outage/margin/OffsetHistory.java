package sandpaddle.fleet.outage.margin;

import java.util.Arrays;

/** The last few offsets (ms) of one rule, with exact quantiles. */
final class OffsetHistory {
    /** A quarter's worth of weekly windows and a bit: older ones tell little about the next. */
    static final int SIZE = 16;

    private final long[] values = new long[SIZE];
    private int count;
    private int next;

    void add(long value) {
        values[next] = value;
        next = (next + 1) % SIZE;
        count = Math.min(count + 1, SIZE);
    }

    boolean isEmpty() {
        return count == 0;
    }

    /** The least value that so large a part of the values does not exceed. */
    long quantile(double part) {
        long[] sorted = Arrays.copyOf(values, count);
        Arrays.sort(sorted);
        return sorted[Math.max(0, (int) Math.ceil(part * count) - 1)];
    }

    /** Oldest first. */
    long[] oldestFirst() {
        long[] all = new long[count];
        for (int i = 0; i < count; i++) {
            all[i] = values[(next - count + i + SIZE) % SIZE];
        }
        return all;
    }
}
