package sandpaddle.eventloop;

import java.time.Duration;
import java.time.Instant;
import java.util.PriorityQueue;

/**
 * A priority queue of timers. Timers with the same time run in the order in which they were scheduled. A cancelled
 * timer keeps its entry, without its task, until its time. Not thread-safe.
 */
public final class TimerQueue {
    /** A scheduled task. */
    public static final class Timer implements Comparable<Timer> {
        private final Instant at;
        private final long sequence;
        private Runnable task; // null once cancelled

        private Timer(Instant at, long sequence, Runnable task) {
            this.at = at;
            this.sequence = sequence;
            this.task = task;
        }

        /** Prevents the task from running; no effect once it has run. */
        public void cancel() {
            task = null;
        }

        @Override
        public int compareTo(Timer other) {
            int byTime = at.compareTo(other.at);
            return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
        }
    }

    private final PriorityQueue<Timer> timers = new PriorityQueue<>();
    private long nextSequence;

    /** Schedules a task for a time. */
    public Timer schedule(Instant at, Runnable task) {
        Timer timer = new Timer(at, nextSequence++, task);
        timers.add(timer);
        return timer;
    }

    /** Runs the tasks that are due, including those that are scheduled for {@code now} by these tasks. */
    public void runDue(Instant now) {
        while (!timers.isEmpty() && !timers.peek().at.isAfter(now)) {
            Runnable task = timers.poll().task;
            if (task != null) {
                task.run();
            }
        }
    }

    /** The time until the next timer is due; at least zero, at most {@code max}. */
    public Duration untilNext(Instant now, Duration max) {
        while (!timers.isEmpty() && timers.peek().task == null) {
            timers.poll();
        }
        if (timers.isEmpty()) {
            return max;
        }
        Duration remaining = Duration.between(now, timers.peek().at);
        if (remaining.isNegative()) {
            return Duration.ZERO;
        }
        return remaining.compareTo(max) < 0 ? remaining : max;
    }
}
