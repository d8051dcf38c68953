package sandpaddle.fleet.outage.phase;

import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import sandpaddle.fleet.outage.margin.WindowOutcome;
import sandpaddle.fleet.outage.schedule.TimeRange;
import sandpaddle.fleet.outage.schedule.Window;

/**
 * Tracks the actual course of one outage window. Until the loss, the window follows the schedule. After it only the
 * planned end does, so a schedule changed during the outage moves the expected return and not the recorded loss. Loss
 * and return are recorded in wall-clock time, since the schedule is in wall-clock time; if the clock is set in between,
 * the outcome is unreliable for learning.
 */
final class WindowTracker {
    private Window window;
    private boolean lossRecorded;
    private boolean isReachable = true;
    private boolean unreliable;
    private long startDelayMs; // relative to the planned start when the loss was recorded
    private long returnedAtMs; // wall clock; the latest return

    WindowTracker(Window window) {
        this.window = window;
    }

    Window window() {
        return window;
    }

    boolean hasLoss() {
        return lossRecorded;
    }

    /** Replaces the window by the one that the changed schedule has in its place. */
    void reschedule(Window newWindow) {
        window = newWindow;
    }

    void markUnreliable() {
        unreliable = true;
    }

    void recordLoss(long wallMs) {
        if (!lossRecorded) {
            lossRecorded = true;
            startDelayMs = wallMs - window.range().startMs();
        }
        isReachable = false;
    }

    /**
     * Records that the link returned. An interruption that ends before the earliest loss of the window does not belong
     * to it and is discarded.
     *
     * @param wallMs time of the return by the wall clock
     * @param earliestLossMs earliest expected loss by the wall clock
     */
    void recordReturn(long wallMs, long earliestLossMs) {
        isReachable = true;
        returnedAtMs = wallMs;
        lossRecorded &= wallMs >= earliestLossMs;
    }

    /**
     * Returns the outcome once the window is over: after a loss, when the link has been back for the settling time and
     * the planned end has passed; without one, when the planned end and its margin have passed.
     */
    Optional<WindowOutcome> outcome(long wallMs, long endMarginMs, long settleMs) {
        TimeRange planned = window.range();
        long completeAtMs =
                lossRecorded ? Math.max(planned.endMs(), returnedAtMs + settleMs) : planned.endMs() + endMarginMs;
        if (!isReachable || wallMs < completeAtMs) {
            return Optional.empty();
        }
        Set<String> rules = new TreeSet<>(window.rules());
        return Optional.of(new WindowOutcome(
                window.zone(),
                rules,
                !lossRecorded,
                unreliable,
                startDelayMs,
                lossRecorded ? returnedAtMs - planned.endMs() : 0));
    }
}
