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
 * Executes MicroRaft's tasks and timers in turns that the caller takes: it has no thread and no clock of its own. Tasks
 * put off by {@code submit} run after all others of a turn, so that one flush covers all entries of the turn.
 */
final class TurnExecutor implements RaftNodeExecutor {
    /** Tasks of one turn; the rest waits for the next, so that a turn always ends. */
    static final int MAX_TASKS = 10_000;

    private record Timed(long at, long number, Runnable task) implements Comparable<Timed> {
        @Override
        public int compareTo(Timed other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(number, other.number);
        }
    }

    private final Queue<Runnable> ready = new ArrayDeque<>();
    private final Queue<Runnable> putOff = new ArrayDeque<>();
    private final PriorityQueue<Timed> timers = new PriorityQueue<>();
    private long now;
    private long number;
    private boolean direct;

    TurnExecutor(long now) {
        this.now = now;
    }

    @Override
    public void execute(Runnable task) {
        if (direct) {
            direct = false;
            task.run();
        } else {
            ready.add(task);
        }
    }

    /** Runs {@code step}, and at once the first task that it wants run. */
    void directly(Runnable step) {
        direct = true;
        try {
            step.run();
        } finally {
            direct = false;
        }
    }

    @Override
    public void submit(Runnable task) {
        putOff.add(task);
    }

    @Override
    public void schedule(Runnable task, long delay, TimeUnit unit) {
        timers.add(new Timed(now + unit.toMicros(delay), number++, task));
    }

    /** Runs what is due at {@code now} (us); time never goes back. */
    void run(long at) {
        now = Math.max(now, at);
        for (int i = 0; i < MAX_TASKS; i++) {
            Timed timed = timers.peek();
            if (timed != null && timed.at() <= now) {
                ready.add(timers.poll().task());
            }
            Runnable task = ready.isEmpty() ? putOff.poll() : ready.poll();
            if (task == null) {
                return;
            }
            task.run();
        }
    }

    /** When to run again (us); now where something is ready. */
    long next() {
        if (!ready.isEmpty() || !putOff.isEmpty()) {
            return now;
        }
        return timers.isEmpty() ? Long.MAX_VALUE : timers.peek().at();
    }

    /** This time as MicroRaft asks for it: monotonic, from an origin that means nothing. */
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
                return now / 1000;
            }
        };
    }
}
