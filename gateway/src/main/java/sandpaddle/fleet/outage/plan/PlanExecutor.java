package sandpaddle.fleet.outage.plan;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import sandpaddle.fleet.content.ResultId;

/**
 * Executes a plan: which fetches to begin now, within what live capacity leaves. A token bucket in engine work of at
 * most {@value #BURST_US} us keeps a pause from being made up for in one burst. A fetch is begun at most {@value
 * #MAX_TRIES} times in one plan; failed fetches queue behind those not yet tried. Replanning keeps what runs.
 */
public final class PlanExecutor {
    static final long BURST_US = 1_000_000;
    static final int MAX_TRIES = 2;

    private record Waiting(Fetch fetch, int tried) {}

    private final Map<ResultId, Waiting> running = new HashMap<>();
    private final Deque<Waiting> waiting = new ArrayDeque<>();
    private double tokens; // us of work
    private long filledAt = Long.MIN_VALUE;
    private long pausedUs;
    private boolean paused;

    /** Takes a plan in place of the one before; what runs is not begun again by it. */
    public void plan(Plan plan) {
        waiting.clear();
        for (Fetch f : plan.fetches()) {
            if (!running.containsKey(f.what().key().id())) {
                waiting.add(new Waiting(f, 0));
            }
        }
    }

    /** Nothing more is to be begun: the link is lost, or the window gone. What runs ends by itself. */
    public void stop() {
        waiting.clear();
        paused = false;
    }

    /** The fetches to begin now: monotonic time (us), wall clock (ms), what live capacity leaves. */
    public List<Fetch> next(long now, long wall, Allowance allowance) {
        refill(now, allowance);
        List<Fetch> begun = new ArrayList<>();
        paused = false;
        while (!waiting.isEmpty() && waiting.peek().fetch.beginAt() <= wall) {
            Waiting w = waiting.peek();
            boolean room = running.size() < allowance.running() && tokens > 0;
            if (!room) {
                paused = allowance.running() == 0 || allowance.workPerSecond() == 0;
                break;
            }
            waiting.poll();
            tokens -= w.fetch.what().workUs(); // below zero: a large one is paid for by a longer rest after it
            running.put(w.fetch.what().key().id(), new Waiting(w.fetch, w.tried + 1));
            begun.add(w.fetch);
        }
        return begun;
    }

    private void refill(long now, Allowance allowance) {
        if (filledAt == Long.MIN_VALUE) {
            tokens = Math.min(BURST_US, allowance.workPerSecond());
        } else {
            long passed = Math.max(0, now - filledAt);
            tokens = Math.min(
                    Math.min(BURST_US, allowance.workPerSecond()), tokens + passed / 1e6 * allowance.workPerSecond());
            pausedUs += paused ? passed : 0;
        }
        filledAt = now;
    }

    /** A fetch ended; one that gave no answer may be tried again behind the others. */
    public void ended(ResultId id, boolean stored) {
        Waiting w = running.remove(id);
        if (w != null && !stored && w.tried < MAX_TRIES) {
            waiting.add(w);
        }
    }

    public int running() {
        return running.size();
    }

    public int waiting() {
        return waiting.size();
    }

    /** How long (us) fetches that were due have stood still because live traffic or a storm needed the room. */
    public long pausedUs() {
        return pausedUs;
    }
}
