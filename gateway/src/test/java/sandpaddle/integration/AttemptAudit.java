package sandpaddle.integration;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;

/**
 * Checks by the machine's monotonic clock, at the engines, that no request has two attempts at once, none is repeated
 * that may have run beyond what its class allows, and none later than its deduplication window. Thread-safe.
 */
final class AttemptAudit {
    /** An engine drops a query that nobody asks for in this time. */
    private static final long FORGOTTEN_AFTER_NS = Duration.ofSeconds(2).toNanos();

    /** Slack of every time limit on sockets. */
    private static final long SLACK_NS = Duration.ofMillis(50).toNanos();

    /** An attempt, from its arrival at an engine on. */
    static final class Attempt {
        private final String engine;
        private final String trace;
        private final long startedNs = System.nanoTime();
        private final long durationMs;
        private final boolean declined;
        private final boolean fails;
        private final CountDownLatch ended = new CountDownLatch(1);
        private boolean losesResponse;
        private boolean reported;
        private long askedNs = startedNs;

        private Attempt(String engine, String trace, SplittableRandom random) {
            this.engine = engine;
            this.trace = trace;
            declined = random.nextInt(12) == 0;
            fails = random.nextInt(6) == 0;
            losesResponse = random.nextInt(5) == 0;
            durationMs = random.nextInt(8) == 0 ? Long.MAX_VALUE / 2 : 10 + random.nextInt(1500);
        }

        String trace() {
            return trace;
        }

        boolean isDeclined() {
            return declined;
        }

        boolean fails() {
            return fails;
        }

        /** Completed when the query is cancelled. */
        CountDownLatch ended() {
            return ended;
        }

        long remainingMs() {
            return durationMs - Duration.ofNanos(System.nanoTime() - startedNs).toMillis();
        }

        synchronized boolean losesNextResponse() {
            boolean loses = losesResponse;
            losesResponse = false;
            return loses;
        }

        private boolean isRunning(long nowNs) {
            return !reported && !declined && ended.getCount() > 0 && nowNs - askedNs < FORGOTTEN_AFTER_NS;
        }
    }

    private final long seed;
    private final String keyedClass;
    private final String unsafeClass;
    private final long windowNs;
    private final Map<String, List<Attempt>> attemptsByTrace = new HashMap<>();
    private final List<String> violations = new ArrayList<>();

    AttemptAudit(long seed, String unsafeClass, String keyedClass, Duration window) {
        this.seed = seed;
        this.unsafeClass = unsafeClass;
        this.keyedClass = keyedClass;
        windowNs = window.toNanos();
    }

    /** Records the arrival of an attempt. */
    synchronized Attempt started(String engine, String trace, String requestClass) {
        List<Attempt> earlier = attemptsByTrace.computeIfAbsent(trace, unknown -> new ArrayList<>());
        SplittableRandom random =
                new SplittableRandom(seed * 31 + Long.parseUnsignedLong(trace, 16) * 7 + earlier.size());
        Attempt attempt = new Attempt(engine, trace, random);
        for (Attempt other : earlier) {
            long apartNs = attempt.startedNs - other.startedNs;
            String times = " %s after %.3f s on %s, asked %.3f s ago on %s"
                    .formatted(trace, apartNs / 1e9, engine, (attempt.startedNs - other.askedNs) / 1e9, other.engine);
            if (other.isRunning(attempt.startedNs)) {
                violations.add("second attempt beside a running one:" + times);
            }
            if (!other.declined && requestClass.equals(unsafeClass)) {
                violations.add("repeated although it may have run:" + times);
            }
            if (!other.declined && requestClass.equals(keyedClass) && apartNs > windowNs + SLACK_NS) {
                violations.add("repeated after its window:" + times);
            }
        }
        earlier.add(attempt);
        return attempt;
    }

    /** Records a poll; returns the latest attempt at the engine, null if there is none or it was dropped. */
    synchronized Attempt polled(String engine, String trace) {
        Attempt attempt = latestAt(engine, trace);
        boolean isDropped = attempt == null || System.nanoTime() - attempt.askedNs >= FORGOTTEN_AFTER_NS;
        if (!isDropped) {
            attempt.askedNs = System.nanoTime();
        }
        return isDropped ? null : attempt;
    }

    /** Records a response. */
    synchronized void answered(Attempt attempt, boolean isEnd) {
        attempt.reported |= isEnd;
    }

    /** Records that an attempt was cancelled. */
    synchronized void cancelled(String engine, String trace) {
        Attempt attempt = latestAt(engine, trace);
        if (attempt != null) {
            attempt.ended.countDown();
        }
    }

    private Attempt latestAt(String engine, String trace) {
        Attempt latest = null;
        for (Attempt attempt : attemptsByTrace.getOrDefault(trace, List.of())) {
            latest = attempt.engine.equals(engine) ? attempt : latest;
        }
        return latest;
    }

    /** Whether an engine may have begun the request. */
    synchronized boolean mayHaveRun(String trace) {
        return attemptsByTrace.getOrDefault(trace, List.of()).stream().anyMatch(attempt -> !attempt.declined);
    }

    /** Adds a violation that a client has seen. */
    synchronized void report(String violation) {
        violations.add(violation);
    }

    synchronized List<String> violations() {
        return List.copyOf(violations);
    }

    synchronized int retries() {
        return attemptsByTrace.values().stream()
                .mapToInt(attempts -> attempts.size() - 1)
                .sum();
    }
}
