package sandpaddle.fleet.outage.plan;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import sandpaddle.fleet.content.ResultId;

/**
 * Starts the fetches of a plan within the limit that live traffic leaves. A token bucket of engine work, of at most
 * {@value #MAX_BURST_WORK_US} us, prevents a burst after a time in which fetching was throttled. A fetch is attempted
 * at most {@value #MAX_ATTEMPTS} times in one plan; a failed one is queued behind the others. A new plan does not
 * affect running fetches. Not thread-safe.
 */
public final class PlanExecutor {
    static final long MAX_BURST_WORK_US = 1_000_000;
    static final int MAX_ATTEMPTS = 2;

    private record QueuedFetch(Fetch fetch, int attempts) {}

    private final Map<ResultId, QueuedFetch> running = new HashMap<>();
    private final Deque<QueuedFetch> waiting = new ArrayDeque<>();
    private double tokensUs; // engine work
    private long refilledAtUs = Long.MIN_VALUE;
    private long throttledUs;
    private boolean throttled;

    /** Replaces the plan. Fetches that are running are not started again. */
    public void setPlan(Plan plan) {
        waiting.clear();
        for (Fetch fetch : plan.fetches()) {
            if (!running.containsKey(fetch.candidate().key().id())) {
                waiting.add(new QueuedFetch(fetch, 0));
            }
        }
    }

    /** Clears the queue, after the link was lost or the window is gone. Running fetches continue. */
    public void stop() {
        waiting.clear();
        throttled = false;
    }

    /**
     * Returns the fetches to start now and counts them as running.
     *
     * @param nowUs monotonic time in microseconds
     * @param wallMs wall-clock time in milliseconds
     * @param limit limit that live traffic leaves
     */
    public List<Fetch> startDueFetches(long nowUs, long wallMs, FetchLimit limit) {
        refill(nowUs, limit);
        List<Fetch> started = new ArrayList<>();
        throttled = false;
        while (!waiting.isEmpty() && waiting.peek().fetch.startAtMs() <= wallMs) {
            QueuedFetch queued = waiting.peek();
            boolean hasCapacity = running.size() < limit.maxConcurrent() && tokensUs > 0;
            if (!hasCapacity) {
                throttled = limit.maxConcurrent() == 0 || limit.workUsPerSecond() == 0;
                break;
            }
            waiting.poll();
            tokensUs -= queued.fetch.candidate().workUs(); // may become negative: a large fetch delays the next ones
            running.put(queued.fetch.candidate().key().id(), new QueuedFetch(queued.fetch, queued.attempts + 1));
            started.add(queued.fetch);
        }
        return started;
    }

    private void refill(long nowUs, FetchLimit limit) {
        if (refilledAtUs == Long.MIN_VALUE) {
            tokensUs = Math.min(MAX_BURST_WORK_US, limit.workUsPerSecond());
        } else {
            long elapsedUs = Math.max(0, nowUs - refilledAtUs);
            tokensUs = Math.min(
                    Math.min(MAX_BURST_WORK_US, limit.workUsPerSecond()),
                    tokensUs + elapsedUs / 1e6 * limit.workUsPerSecond());
            throttledUs += throttled ? elapsedUs : 0;
        }
        refilledAtUs = nowUs;
    }

    /** Records the end of a fetch. One that stored no answer is queued again if attempts are left. */
    public void fetchEnded(ResultId id, boolean stored) {
        QueuedFetch queued = running.remove(id);
        if (queued != null && !stored && queued.attempts < MAX_ATTEMPTS) {
            waiting.add(queued);
        }
    }

    /** Returns the number of running fetches. */
    public int runningCount() {
        return running.size();
    }

    /** Returns the number of queued fetches. */
    public int waitingCount() {
        return waiting.size();
    }

    /** Returns for how long (us) due fetches waited because live traffic or a retry storm left no capacity. */
    public long throttledUs() {
        return throttledUs;
    }
}
