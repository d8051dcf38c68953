package sandpaddle.mysql;

import java.time.Instant;
import java.util.ArrayDeque;

/**
 * Arrival times of the buffered packets, so that the timeout of a pipelined request counts from its own last byte.
 * Packets that were completed by the same read share a batch. Bounded: once there are {@value #MAX_BATCHES} batches,
 * later packets join the last one and get its time, which is earlier than their own and never later.
 */
final class ArrivalTimes {
    private static final int MAX_BATCHES = 64;

    /** Consecutive packets that were completed at the same time. */
    private record Batch(int packets, Instant completedAt) {}

    private final ArrayDeque<Batch> batches = new ArrayDeque<>(2);

    /** Appends a packet whose last byte arrived at the given time. */
    void add(Instant completedAt) {
        Batch last = batches.peekLast();
        if (last != null && (last.completedAt.equals(completedAt) || batches.size() == MAX_BATCHES)) {
            batches.removeLast();
            batches.addLast(new Batch(last.packets + 1, last.completedAt));
        } else {
            batches.addLast(new Batch(1, completedAt));
        }
    }

    /** Removes the first packet and returns its arrival time. */
    Instant removeFirst() {
        Batch first = batches.removeFirst();
        if (first.packets > 1) {
            batches.addFirst(new Batch(first.packets - 1, first.completedAt));
        }
        return first.completedAt;
    }
}
