package sandpaddle.fleet.outage.phase;

import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import sandpaddle.fleet.outage.margin.WindowOutcome;
import sandpaddle.fleet.outage.schedule.TimeRange;
import sandpaddle.fleet.outage.schedule.Window;

/**
 * One window as it truly goes. Its plan follows the schedule until the loss; from then on only its end does, so that
 * a schedule changed in the middle moves the predicted return and not the recorded loss. Loss and return are told by
 * the wall clock, because the plan is; a clock set in between marks the episode as of no use for learning.
 */
final class Episode {
    private Window window;
    private boolean lost;
    private boolean isBack = true;
    private boolean doubtful;
    private long lossLate; // ms, against the plan at the time of the loss
    private long backAt; // wall, ms: of the last return

    Episode(Window window) {
        this.window = window;
    }

    Window window() {
        return window;
    }

    boolean hasLost() {
        return lost;
    }

    /** The schedule has another window in this one's place. */
    void replan(Window other) {
        window = other;
    }

    void doubtful() {
        doubtful = true;
    }

    void lost(long wall) {
        if (!lost) {
            lost = true;
            lossLate = wall - window.span().from();
        }
        isBack = false;
    }

    /** A break that is over before the window's earliest loss ({@code earliest}, wall, ms) was another's. */
    void back(long wall, long earliest) {
        isBack = true;
        backAt = wall;
        lost &= wall >= earliest;
    }

    /** How it went, once it is over: back, and so for the settling time, and past its planned end and margin. */
    Optional<WindowOutcome> ended(long wall, long afterMs, long settleMs) {
        TimeRange planned = window.span();
        long over = lost ? Math.max(planned.to(), backAt + settleMs) : planned.to() + afterMs;
        if (!isBack || wall < over) {
            return Optional.empty();
        }
        Set<String> rules = new TreeSet<>(window.rules());
        return Optional.of(
                new WindowOutcome(window.zone(), rules, !lost, doubtful, lossLate, lost ? backAt - planned.to() : 0));
    }
}
