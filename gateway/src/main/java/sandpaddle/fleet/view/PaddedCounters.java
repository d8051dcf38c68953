package sandpaddle.fleet.view;

import java.lang.invoke.MethodHandles;
import java.lang.invoke.VarHandle;

/**
 * Counters with one writing thread and any number of readers. Each has a pair of cache lines (128 bytes, since lines
 * are prefetched in pairs), so reading one does not slow writing the next. An addition is a plain read and a release
 * write: no lock, no full fence, no allocation.
 */
public final class PaddedCounters {
    private static final int STRIDE = 16; // longs in a pair of cache lines
    private static final VarHandle CELL = MethodHandles.arrayElementVarHandle(long[].class);

    private final long[] cells;

    /** Creates this number of counters at 0. */
    public PaddedCounters(int size) {
        cells = new long[(size + 2) * STRIDE]; // an unused pair of cache lines before and after the counters
    }

    /** Number of counters. */
    public int size() {
        return cells.length / STRIDE - 2;
    }

    private static int cellIndex(int counter) {
        return (counter + 1) * STRIDE;
    }

    /** Adds to a counter; by the writing thread only. */
    public void add(int counter, long delta) {
        int index = cellIndex(counter);
        CELL.setRelease(cells, index, (long) CELL.get(cells, index) + delta);
    }

    /** Reads a counter; by any thread. */
    public long get(int counter) {
        return (long) CELL.getAcquire(cells, cellIndex(counter));
    }
}
