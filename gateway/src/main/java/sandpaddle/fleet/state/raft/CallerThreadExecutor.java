package sandpaddle.fleet.state.raft;

import io.microraft.executor.RaftNodeExecutor;
import java.time.Clock;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;
import java.util.ArrayDeque;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.concurrent.TimeUnit;

/**
 * Runs MicroRaft's tasks and timers in {@link #run}, on the caller's thread and clock. Tasks of {@link #submit} run
 * after all others, so that one flush covers all entries of a run. Owned by the consensus thread.
 */
final class CallerThreadExecutor implements RaftNodeExecutor {
    /** Max number of tasks of one run; the others wait for the next, so that every run ends. */
    static final int MAX_TASKS = 10_000;

    private record TimedTask(long dueAtUs, long sequence, Runnable task) implements Comparable<TimedTask> {
        @Override
        public int compareTo(TimedTask other) {
            return dueAtUs != other.dueAtUs
                    ? Long.compare(dueAtUs, other.dueAtUs)
                    : Long.compare(sequence, other.sequence);
        }
    }

    private final Queue<Runnable> ready = new ArrayDeque<>();
    private final Queue<Runnable> deferred = new ArrayDeque<>();
    private final PriorityQueue<TimedTask> timers = new PriorityQueue<>();
    private long nowUs;
    private long timerCount;
    private boolean runNextDirectly;

    CallerThreadExecutor(long nowUs) {
        this.nowUs = nowUs;
    }

    @Override
    public void execute(Runnable task) {
        if (runNextDirectly) {
            runNextDirectly = false;
            task.run();
        } else {
            ready.add(task);
        }
    }

    /** Runs {@code step}, and the first task that it executes immediately instead of in the next {@link #run}. */
    void runDirectly(Runnable step) {
        runNextDirectly = true;
        try {
            step.run();
        } finally {
            runNextDirectly = false;
        }
    }

    @Override
    public void submit(Runnable task) {
        deferred.add(task);
    }

    @Override
    public void schedule(Runnable task, long delay, TimeUnit unit) {
        timers.add(new TimedTask(nowUs + unit.toMicros(delay), timerCount++, task));
    }

    /** Runs the tasks that are due at {@code atUs}; an earlier time than before is ignored. */
    void run(long atUs) {
        nowUs = Math.max(nowUs, atUs);
        for (int i = 0; i < MAX_TASKS; i++) {
            TimedTask timed = timers.peek();
            if (timed != null && timed.dueAtUs() <= nowUs) {
                ready.add(timers.poll().task());
            }
            Runnable task = ready.isEmpty() ? deferred.poll() : ready.poll();
            if (task == null) {
                return;
            }
            task.run();
        }
    }

    /** When to run again (us); now if a task is ready. */
    long nextRunAtUs() {
        if (!ready.isEmpty() || !deferred.isEmpty()) {
            return nowUs;
        }
        return timers.isEmpty() ? Long.MAX_VALUE : timers.peek().dueAtUs();
    }

    /** The clock for MicroRaft: monotonic, from an arbitrary origin. */
    Clock clock() {
        return new Clock() {
            @Override
            public ZoneId getZone() {
                return ZoneOffset.UTC;
            }

            @Override
            public Clock withZone(ZoneId zone) {
                return this;
            }

            @Override
            public Instant instant() {
                return Instant.ofEpochMilli(millis());
            }

            @Override
            public long millis() {
                return nowUs / 1000;
            }
        };
    }
}
