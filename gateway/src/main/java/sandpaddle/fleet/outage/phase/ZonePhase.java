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
 * The state machine of one zone: from the schedule it learns what to expect, from evidence on the zone's link what is
 * so. The wall clock serves the schedule alone; dwell times run on monotonic time. A wall clock that moves against the
 * monotonic one by more than {@value #STEP_MS} ms between two turns counts as set: what is expected is judged anew, a
 * window under way teaches nothing, and the zone is neither cut off nor back because of it. A turn costs a look at
 * the windows of the next hours; memory is one window and {@value #MAX_ENDINGS} endings.
 */
public final class ZonePhase {
    static final long STEP_MS = 2000;
    static final int MAX_ENDINGS = 64;

    private final String zone;
    private final PhaseSettings settings;
    private final Margins margins;
    private final long maxMarginMs;
    private final Deque<WindowOutcome> endings = new ArrayDeque<>();
    private Schedule schedule;
    private Phase phase = Phase.CONNECTED;
    private long since;
    private boolean ran;
    private long lastNow;
    private long lastWall;
    private long steps;
    private Episode episode;
    private TimeRange done; // the window that ended last, so that its margin does not begin it again

    /** {@code maxMarginMs}: the longest margin that {@code margins} gives; windows so long past still count. */
    public ZonePhase(String zone, Schedule schedule, Margins margins, long maxMarginMs, PhaseSettings settings) {
        this.zone = zone;
        this.schedule = schedule;
        this.margins = margins;
        this.maxMarginMs = maxMarginMs;
        this.settings = settings;
    }

    public Phase phase() {
        return phase;
    }

    /** Since when (us, monotonic) this phase lasts. */
    public long since() {
        return since;
    }

    /** How often the wall clock was seen to be set. */
    public long clockSteps() {
        return steps;
    }

    /** The window that is expected or under way. */
    public Optional<Window> window() {
        return Optional.ofNullable(episode).map(Episode::window);
    }

    /** Takes a changed schedule; what a running outage showed stays. */
    public void reschedule(Schedule changed) {
        schedule = changed;
    }

    /** Windows that ended since this was last asked, for {@link Margins#learn}. */
    public List<WindowOutcome> endings() {
        List<WindowOutcome> all = List.copyOf(endings);
        endings.clear();
        return all;
    }

    /** One turn: monotonic time (us), wall clock (ms), what is known of the link; at most one move. */
    public Optional<PhaseTransition> turn(long now, long wall, Evidence evidence) {
        noticeSteps(now, wall);
        follow(wall);
        boolean open = episode != null && wall >= earliestLoss();
        PhaseInputs s = inputs(now, wall, evidence, open);
        Phase next = phase.next(s);
        if (next == phase) {
            return Optional.empty();
        }
        PhaseTransition move = new PhaseTransition(phase, next, why(next, open));
        if (next == Phase.ISOLATED && episode != null) {
            episode.lost(wall - (now - evidence.since()) / 1000);
        } else if (phase == Phase.ISOLATED && episode != null) {
            episode.back(wall - (now - evidence.since()) / 1000, earliestLoss());
        }
        phase = next;
        since = now;
        return Optional.of(move);
    }

    private PhaseInputs inputs(long now, long wall, Evidence evidence, boolean open) {
        long lossHeld = open || phase == Phase.RETURNING ? settings.lossHeldUs() : settings.lossHeldUnannouncedUs();
        // one that was lost and is back early may be lost again until its planned end, and no longer
        boolean due = episode != null
                && (episode.hasLost() ? wall < episode.window().span().to() : isDue(episode.window(), wall));
        return new PhaseInputs(
                evidence.heldFor(Evidence.Link.UNREACHABLE, now, lossHeld),
                evidence.heldFor(Evidence.Link.REACHABLE, now, settings.returnHeldUs()),
                due,
                due && wall >= earliestLoss() - settings.fillMs(),
                now - since,
                settings);
    }

    private void noticeSteps(long now, long wall) {
        if (ran && Math.abs(wall - lastWall - (now - lastNow) / 1000) > STEP_MS) {
            steps++;
            if (episode != null) {
                episode.doubtful();
            }
            if (done != null && wall < done.from()) {
                done = null; // set back to before it: as far as anybody knows it comes again
            }
        }
        ran = true;
        lastNow = now;
        lastWall = wall;
    }

    /** Ends, replans, begins or drops the episode as the schedule has it. */
    private void follow(long wall) {
        if (episode != null) {
            episode.ended(wall, after(episode.window()), settings.settleMs()).ifPresent(e -> {
                if (endings.size() < MAX_ENDINGS) {
                    endings.add(e);
                }
                done = episode.window().span();
                episode = null;
            });
        }
        List<Window> windows = schedule.windows(zone, wall - maxMarginMs, settings.expectMs() + 2 * maxMarginMs);
        if (episode != null) {
            replan(windows, wall);
        }
        if (episode == null) {
            windows.stream().filter(w -> isDue(w, wall)).findFirst().ifPresent(w -> {
                episode = new Episode(w);
                if (wall > earliestLoss()) {
                    episode.doubtful(); // this process, or this rule, was not there when it began
                }
                if (phase == Phase.ISOLATED || phase == Phase.RETURNING) {
                    episode.doubtful();
                    episode.lost(wall);
                }
            });
        }
    }

    private boolean isDue(Window w, long wall) {
        boolean over = done != null && w.span().from() <= done.to();
        return !over && wall < w.span().to() + after(w) && wall >= w.span().from() - before(w) - settings.expectMs();
    }

    private void replan(List<Window> windows, long wall) {
        Window old = episode.window();
        Window same = windows.stream()
                .filter(w -> w.span().equals(old.span()) || overlap(w.span(), old.span()))
                .findFirst()
                .or(() -> windows.stream()
                        .filter(w -> isDue(w, wall) && w.rules().equals(old.rules()))
                        .findFirst())
                .orElse(null);
        if (same != null && !same.equals(old)) {
            episode.replan(same);
        } else if (same == null && !episode.hasLost()) {
            episode = null;
            return;
        }
        if (phase == Phase.ISOLATED && episode.hasLost()) {
            TimeRange planned = episode.window().span();
            windows.stream()
                    .filter(w -> w.span().from() > planned.to()
                            && w.span().from() <= wall
                            && wall < w.span().to())
                    .findFirst()
                    .ifPresent(w -> {
                        episode.replan(w); // it lasted into the next: that one's end is what can be foreseen now
                        episode.doubtful();
                    });
        }
    }

    private static boolean overlap(TimeRange a, TimeRange b) {
        return a.from() < b.to() && b.from() < a.to();
    }

    private PhaseTransition.Why why(Phase next, boolean open) {
        return switch (next) {
            case CONNECTED -> phase == Phase.RETURNING ? PhaseTransition.Why.SETTLED : PhaseTransition.Why.WINDOW_GONE;
            case EXPECTING ->
                phase == Phase.FILLING ? PhaseTransition.Why.WINDOW_LATER : PhaseTransition.Why.WINDOW_NEARS;
            case FILLING -> PhaseTransition.Why.FILL_DUE;
            case ISOLATED ->
                phase == Phase.RETURNING
                        ? PhaseTransition.Why.LOST_AGAIN
                        : open
                                ? PhaseTransition.Why.LOST_EXPECTED
                                : episode != null
                                        ? PhaseTransition.Why.LOST_EARLY
                                        : PhaseTransition.Why.LOST_UNANNOUNCED;
            case RETURNING -> PhaseTransition.Why.BACK;
        };
    }

    private long before(Window w) {
        return margins.before(zone, w.rules());
    }

    private long after(Window w) {
        return margins.after(zone, w.rules());
    }

    private long earliestLoss() {
        Window w = episode.window();
        return w.span().from() - before(w);
    }

    /** When (wall, ms) the loss may come at the earliest, where a window is expected and the zone is not cut off. */
    public Optional<Long> lossAt() {
        return episode == null || phase == Phase.ISOLATED ? Optional.empty() : Optional.of(earliestLoss());
    }

    /**
     * When (wall, ms) the link is expected back, margins included. Past that, or with no window, an outage is taken to
     * last once more as long as it has overrun, but at least {@code minMs}.
     */
    public long returnAt(long now, long wall, long minMs) {
        long overrun = phase == Phase.ISOLATED ? (now - since) / 1000 : 0;
        if (episode != null && episode.hasLost()) {
            long planned = episode.window().span().to() + after(episode.window());
            if (planned > wall) {
                return planned;
            }
            overrun = Math.min(overrun, wall - planned);
        }
        return wall + Math.max(minMs, overrun);
    }
}
