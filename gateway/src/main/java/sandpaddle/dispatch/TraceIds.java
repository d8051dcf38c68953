package sandpaddle.dispatch;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * The trace ids that a new request must not have, since engines identify queries by them alone: those of open
 * requests, those of attempts that an engine may still run after the request was answered or its client disconnected,
 * and those of requests that must not run twice and may have run. Clients use a new id for each request; one that
 * repeats an id could otherwise have two attempts at once, or run a load twice.
 *
 * <p>Confined to the event loop's thread. Open ids are bounded by the requests, running ones by the calls that cancel
 * them, each for some seconds, and spent ones by {@link #MAX_SPENT} and by their retention.
 */
final class TraceIds {
    /** Limit on the ids of requests that may have run; past it the oldest is forgotten. */
    static final int MAX_SPENT = 16 * 1024;

    private final Set<String> open = new HashSet<>();
    private final Map<String, Integer> runningAttempts = new HashMap<>();
    private final Map<String, Instant> spentUntil = new LinkedHashMap<>(); // oldest first

    /** Why a new request cannot have this id; null if it can. */
    String conflict(String traceId, Instant now) {
        if (open.contains(traceId) || runningAttempts.containsKey(traceId)) {
            return "trace " + traceId + " is that of an open query";
        }
        Instant until = spentUntil.get(traceId);
        return until != null && now.isBefore(until)
                ? "trace " + traceId + " is that of a query that may have run"
                : null;
    }

    /** A request with this id was accepted. */
    void opened(String traceId) {
        open.add(traceId);
    }

    /** A request has its answer, or its client disconnected, and no attempt in flight. */
    void closed(String traceId) {
        open.remove(traceId);
    }

    /**
     * An attempt starts.
     *
     * @return to be run once it is proven that no engine runs it any more; holds nothing of the request but its id
     */
    Runnable attemptStarted(String traceId) {
        runningAttempts.merge(traceId, 1, Integer::sum);
        return () -> runningAttempts.computeIfPresent(traceId, (id, count) -> count == 1 ? null : count - 1);
    }

    /** A request that must not run twice may have run; its id is not accepted again for a while. */
    void spent(String traceId, Instant now, Duration retention) {
        forgetOldest(now);
        spentUntil.remove(traceId); // so that it becomes the latest entry
        spentUntil.put(traceId, now.plus(retention));
    }

    private void forgetOldest(Instant now) {
        Iterator<Instant> oldest = spentUntil.values().iterator();
        while (oldest.hasNext()) {
            boolean isOver = !oldest.next().isAfter(now);
            if (!isOver && spentUntil.size() < MAX_SPENT) {
                return;
            }
            oldest.remove();
        }
    }

    /** Number of ids that are retained after their requests. */
    int retained() {
        return runningAttempts.size() + spentUntil.size();
    }
}
