package sandpaddle.fleet.node.loop;

import java.util.ArrayDeque;
import sandpaddle.fleet.view.AttemptCounters;

/**
 * Attempts that ended in this gateway while the engine may still run them, because their withdrawal is in flight or was
 * lost. Each counts against its limits until the engine has dropped it, as engines do with a query that nobody polls.
 * Owned by the event loop.
 */
final class OrphanedAttempts {
    private record Attempt(int classIndex, String tenant, String engine, long untilUs) {}

    /** The counters of running attempts. */
    interface Counter {
        /** Removes an attempt from the counters. */
        void end(int classIndex, String tenant, String engine);
    }

    private final long retentionUs;
    private final ArrayDeque<Attempt> all = new ArrayDeque<>(); // by time of release

    /** Creates an empty collection; an attempt is released {@code retentionUs} after its end. */
    OrphanedAttempts(long retentionUs) {
        this.retentionUs = retentionUs;
    }

    /** Adds an attempt that ended at {@code nowUs}, which must not decrease. */
    void add(int classIndex, String tenant, String engine, long nowUs) {
        all.add(new Attempt(classIndex, tenant, engine, nowUs + retentionUs));
    }

    /** Releases the attempts whose retention time has passed; returns whether there were any. */
    boolean release(long nowUs, Counter counter) {
        boolean hasReleased = false;
        for (Attempt attempt = all.peek(); attempt != null && attempt.untilUs <= nowUs; attempt = all.peek()) {
            all.poll();
            counter.end(attempt.classIndex, attempt.tenant, attempt.engine);
            hasReleased = true;
        }
        return hasReleased;
    }

    /** Number of orphaned attempts by slot. */
    long[] bySlot(AttemptCounters counters, int slots) {
        long[] counts = new long[slots];
        for (Attempt attempt : all) {
            for (int slot : counters.slots(attempt.classIndex, attempt.tenant, attempt.engine)) {
                counts[slot]++;
            }
        }
        return counts;
    }

    /** Monotonic time (us) at which the next attempt is released, {@link Long#MAX_VALUE} if there is none. */
    long nextReleaseUs() {
        return all.isEmpty() ? Long.MAX_VALUE : all.peek().untilUs;
    }
}
