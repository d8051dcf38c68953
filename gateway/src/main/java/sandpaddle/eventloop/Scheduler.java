package sandpaddle.eventloop;

import java.time.Duration;
import java.time.Instant;

/** The monotonic time and the timers of an {@link EventLoop}. Tests implement it with virtual time. */
public interface Scheduler {
    /** The time at the start of this turn; it never decreases. */
    Instant now();

    /** Runs a task once, in the first turn at or after a time. */
    TimerQueue.Timer schedule(Instant at, Runnable task);

    /** Runs a task once, in the first turn after a delay. */
    default TimerQueue.Timer scheduleAfter(Duration delay, Runnable task) {
        return schedule(now().plus(delay), task);
    }

    /** Makes the next turn start without waiting. */
    void requestTurn();
}
