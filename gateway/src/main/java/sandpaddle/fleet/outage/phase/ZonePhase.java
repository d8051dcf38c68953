package sandpaddle.fleet.outage.phase;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import sandpaddle.fleet.outage.margin.Margins;
import sandpaddle.fleet.outage.margin.WindowOutcome;
import sandpaddle.fleet.outage.schedule.Schedule;
import sandpaddle.fleet.outage.schedule.TimeRange;
import sandpaddle.fleet.outage.schedule.Window;

/**
 * State machine of the outage phases of one zone. The schedule tells which outage windows to expect, evidence on the
 * zone's link tells whether an outage is in progress.
 *
 * <p>The wall clock is used for the schedule only; confirmation times are measured in monotonic time. If the wall clock
 * moves against the monotonic clock by more than {@value #CLOCK_STEP_MS} ms between two updates, it counts as set: the
 * expected windows are evaluated again and the outcome of the current window is unreliable, but the zone does not
 * become isolated or connected because of it. An update evaluates the windows of the next hours. Memory is bounded by
 * one window and {@value #MAX_OUTCOMES} outcomes. Not thread-safe.
 */
public final class ZonePhase {
    static final long CLOCK_STEP_MS = 2000;
    static final int MAX_OUTCOMES = 64;

    private final String zone;
    private final PhaseSettings settings;
    private final Margins margins;
    private final long maxMarginMs;
    private final Deque<WindowOutcome> outcomes = new ArrayDeque<>();
    private Schedule schedule;
    private Phase phase = Phase.CONNECTED;
    private long phaseStartUs;
    private boolean hasUpdated;
    private long lastNowUs;
    private long lastWallMs;
    private long clockSteps;
    private WindowTracker tracker;
    private TimeRange lastRange; // the latest finished window; its margin must not start it again

    /**
     * Creates the state machine in {@link Phase#CONNECTED}.
     *
     * @param zone name of the zone
     * @param schedule expected outage windows
     * @param margins learned margins around the windows
     * @param maxMarginMs longest margin that {@code margins} returns; windows that ended this long ago are still
     *     evaluated
     * @param settings confirmation and lead times
     */
    public ZonePhase(String zone, Schedule schedule, Margins margins, long maxMarginMs, PhaseSettings settings) {
        this.zone = zone;
        this.schedule = schedule;
        this.margins = margins;
        this.maxMarginMs = maxMarginMs;
        this.settings = settings;
    }

    /** Returns the current phase. */
    public Phase phase() {
        return phase;
    }

    /** Returns when the current phase began, in microseconds of monotonic time. */
    public long phaseStartUs() {
        return phaseStartUs;
    }

    /** Returns how often the wall clock was found to have been set. */
    public long clockSteps() {
        return clockSteps;
    }

    /** Returns the window that is expected or in progress. */
    public Optional<Window> window() {
        return Optional.ofNullable(tracker).map(WindowTracker::window);
    }

    /** Replaces the schedule. The observations of an outage in progress are kept. */
    public void reschedule(Schedule newSchedule) {
        schedule = newSchedule;
    }

    /** Returns and removes the outcomes of the windows that ended since the last call, for {@link Margins#learn}. */
    public List<WindowOutcome> drainOutcomes() {
        List<WindowOutcome> drained = List.copyOf(outcomes);
        outcomes.clear();
        return drained;
    }

    /**
     * Evaluates schedule and evidence, and makes at most one transition.
     *
     * @param nowUs monotonic time in microseconds
     * @param wallMs wall-clock time in milliseconds
     * @param evidence what is known of the zone's link
     * @return the transition, if there was one
     */
    public Optional<PhaseTransition> update(long nowUs, long wallMs, Evidence evidence) {
        detectClockStep(nowUs, wallMs);
        updateWindow(wallMs);
        boolean isWindowOpen = tracker != null && wallMs >= earliestLossMs();
        PhaseInputs inputs = inputs(nowUs, wallMs, evidence, isWindowOpen);
        Phase next = phase.next(inputs);
        if (next == phase) {
            return Optional.empty();
        }
        PhaseTransition transition = new PhaseTransition(phase, next, reason(next, isWindowOpen));
        if (next == Phase.ISOLATED && tracker != null) {
            tracker.recordLoss(wallMs - (nowUs - evidence.sinceUs()) / 1000);
        } else if (phase == Phase.ISOLATED && tracker != null) {
            tracker.recordReturn(wallMs - (nowUs - evidence.sinceUs()) / 1000, earliestLossMs());
        }
        phase = next;
        phaseStartUs = nowUs;
        return Optional.of(transition);
    }

    private PhaseInputs inputs(long nowUs, long wallMs, Evidence evidence, boolean isWindowOpen) {
        long lossConfirmUs = isWindowOpen || phase == Phase.RETURNING
                ? settings.lossConfirmUs()
                : settings.unannouncedLossConfirmUs();
        // after a loss, a second loss belongs to the window until its planned end only
        boolean windowDue = tracker != null
                && (tracker.hasLoss() ? wallMs < tracker.window().range().endMs() : isDue(tracker.window(), wallMs));
        return new PhaseInputs(
                evidence.hasHeldFor(Evidence.Link.UNREACHABLE, nowUs, lossConfirmUs),
                evidence.hasHeldFor(Evidence.Link.REACHABLE, nowUs, settings.returnConfirmUs()),
                windowDue,
                windowDue && wallMs >= earliestLossMs() - settings.prefetchLeadMs(),
                nowUs - phaseStartUs,
                settings);
    }

    private void detectClockStep(long nowUs, long wallMs) {
        if (hasUpdated && Math.abs(wallMs - lastWallMs - (nowUs - lastNowUs) / 1000) > CLOCK_STEP_MS) {
            clockSteps++;
            if (tracker != null) {
                tracker.markUnreliable();
            }
            if (lastRange != null && wallMs < lastRange.startMs()) {
                lastRange = null; // the clock was set back to before the window, so it is expected again
            }
        }
        hasUpdated = true;
        lastNowUs = nowUs;
        lastWallMs = wallMs;
    }

    /** Finishes, reschedules, starts or drops the tracked window according to the schedule. */
    private void updateWindow(long wallMs) {
        if (tracker != null) {
            tracker.outcome(wallMs, endMarginMs(tracker.window()), settings.settleMs())
                    .ifPresent(outcome -> {
                        if (outcomes.size() < MAX_OUTCOMES) {
                            outcomes.add(outcome);
                        }
                        lastRange = tracker.window().range();
                        tracker = null;
                    });
        }
        List<Window> windows = schedule.windows(zone, wallMs - maxMarginMs, settings.expectLeadMs() + 2 * maxMarginMs);
        if (tracker != null) {
            followSchedule(windows, wallMs);
        }
        if (tracker == null) {
            windows.stream().filter(window -> isDue(window, wallMs)).findFirst().ifPresent(window -> {
                tracker = new WindowTracker(window);
                if (wallMs > earliestLossMs()) {
                    // the start was not observed: the process or the rule is newer than the window
                    tracker.markUnreliable();
                }
                if (phase == Phase.ISOLATED || phase == Phase.RETURNING) {
                    tracker.markUnreliable();
                    tracker.recordLoss(wallMs);
                }
            });
        }
    }

    private boolean isDue(Window window, long wallMs) {
        boolean alreadyEnded = lastRange != null && window.range().startMs() <= lastRange.endMs();
        return !alreadyEnded
                && wallMs < window.range().endMs() + endMarginMs(window)
                && wallMs >= window.range().startMs() - startMarginMs(window) - settings.expectLeadMs();
    }

    private void followSchedule(List<Window> windows, long wallMs) {
        Window current = tracker.window();
        Window replacement = windows.stream()
                .filter(window -> window.range().equals(current.range()) || overlap(window.range(), current.range()))
                .findFirst()
                .or(() -> windows.stream()
                        .filter(window ->
                                isDue(window, wallMs) && window.rules().equals(current.rules()))
                        .findFirst())
                .orElse(null);
        if (replacement != null && !replacement.equals(current)) {
            tracker.reschedule(replacement);
        } else if (replacement == null && !tracker.hasLoss()) {
            tracker = null;
            return;
        }
        if (phase == Phase.ISOLATED && tracker.hasLoss()) {
            TimeRange planned = tracker.window().range();
            windows.stream()
                    .filter(window -> window.range().startMs() > planned.endMs()
                            && window.range().startMs() <= wallMs
                            && wallMs < window.range().endMs())
                    .findFirst()
                    .ifPresent(window -> {
                        // the outage lasts into the next window, whose end is the best estimate
                        tracker.reschedule(window);
                        tracker.markUnreliable();
                    });
        }
    }

    private static boolean overlap(TimeRange first, TimeRange second) {
        return first.startMs() < second.endMs() && second.startMs() < first.endMs();
    }

    private PhaseTransition.Reason reason(Phase next, boolean isWindowOpen) {
        return switch (next) {
            case CONNECTED ->
                phase == Phase.RETURNING ? PhaseTransition.Reason.SETTLED : PhaseTransition.Reason.WINDOW_GONE;
            case EXPECTING ->
                phase == Phase.FILLING ? PhaseTransition.Reason.WINDOW_LATER : PhaseTransition.Reason.WINDOW_NEARS;
            case FILLING -> PhaseTransition.Reason.FILL_DUE;
            case ISOLATED ->
                phase == Phase.RETURNING
                        ? PhaseTransition.Reason.LOST_AGAIN
                        : isWindowOpen
                                ? PhaseTransition.Reason.LOST_EXPECTED
                                : tracker != null
                                        ? PhaseTransition.Reason.LOST_EARLY
                                        : PhaseTransition.Reason.LOST_UNANNOUNCED;
            case RETURNING -> PhaseTransition.Reason.BACK;
        };
    }

    private long startMarginMs(Window window) {
        return margins.startMarginMs(zone, window.rules());
    }

    private long endMarginMs(Window window) {
        return margins.endMarginMs(zone, window.rules());
    }

    private long earliestLossMs() {
        Window window = tracker.window();
        return window.range().startMs() - startMarginMs(window);
    }

    /**
     * Returns the earliest expected loss (wall clock, ms); empty without an expected window and while the zone is
     * isolated.
     */
    public Optional<Long> expectedLossMs() {
        return tracker == null || phase == Phase.ISOLATED ? Optional.empty() : Optional.of(earliestLossMs());
    }

    /**
     * Returns when the link is expected to return (wall clock, ms), margin included. Without a window, or past its end,
     * an outage is expected to last as long again as it has exceeded its expected end.
     *
     * @param nowUs monotonic time in microseconds
     * @param wallMs wall-clock time in milliseconds
     * @param minRemainingMs shortest time until the return where it is extrapolated
     */
    public long expectedReturnMs(long nowUs, long wallMs, long minRemainingMs) {
        long overrunMs = phase == Phase.ISOLATED ? (nowUs - phaseStartUs) / 1000 : 0;
        if (tracker != null && tracker.hasLoss()) {
            long plannedEndMs = tracker.window().range().endMs() + endMarginMs(tracker.window());
            if (plannedEndMs > wallMs) {
                return plannedEndMs;
            }
            overrunMs = Math.min(overrunMs, wallMs - plannedEndMs);
        }
        return wallMs + Math.max(minRemainingMs, overrunMs);
    }
}
