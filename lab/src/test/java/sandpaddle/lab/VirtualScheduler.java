package sandpaddle.lab;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import sandpaddle.eventloop.Scheduler;
import sandpaddle.eventloop.TimerQueue;

/** A scheduler with simulated time that advances from one due timer to the next. */
final class VirtualScheduler implements Scheduler {
    private static final Duration MAX_STEP = Duration.ofHours(1);

    private final TimerQueue timers = new TimerQueue();
    private final List<Runnable> turnEnds = new ArrayList<>();
    private Instant now = Instant.ofEpochSecond(1_700_000_000L);
    private boolean turnRequested;

    /** Adds a task that runs at the end of each turn. */
    void atTurnEnd(Runnable task) {
        turnEnds.add(task);
    }

    @Override
    public Instant now() {
        return now;
    }

    @Override
    public TimerQueue.Timer schedule(Instant at, Runnable task) {
        return timers.schedule(at, task);
    }

    @Override
    public void requestTurn() {
        turnRequested = true;
    }

    /** Advances the time without running due timers, as if the process were suspended. */
    void freeze(Duration span) {
        now = now.plus(span);
    }

    void run(Duration span) {
        Instant until = now.plus(span);
        while (now.isBefore(until)) {
            timers.runDue(now);
            do {
                turnRequested = false;
                List.copyOf(turnEnds).forEach(Runnable::run);
            } while (turnRequested);
            Duration next = timers.untilNext(now, MAX_STEP);
            Instant dueAt = now.plus(next);
            now = dueAt.isAfter(until) ? until : dueAt;
        }
    }
}
