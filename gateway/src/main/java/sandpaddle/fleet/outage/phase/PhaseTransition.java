package sandpaddle.fleet.outage.phase;

/**
 * Transition of a zone from one phase to another.
 *
 * @param from phase before the transition
 * @param to phase after the transition
 * @param reason cause of the transition
 */
public record PhaseTransition(Phase from, Phase to, Reason reason) {
    /** Cause of a transition. The constants appear in log lines. */
    public enum Reason {
        /** An outage window is within the lead time. */
        WINDOW_NEARS,
        /** Prefetching for the window is due. */
        FILL_DUE,
        /** The window is further away than before: the schedule was changed or the clock was set. */
        WINDOW_LATER,
        /** The window is over, was withdrawn from the schedule, or passed without a loss. */
        WINDOW_GONE,
        /** The link was lost within a window, margins included. */
        LOST_EXPECTED,
        /** The link was lost before the margin of an expected window. */
        LOST_EARLY,
        /** The link was lost and no window was near. */
        LOST_UNANNOUNCED,
        /** The link returned. */
        BACK,
        /** The link was lost again while clients were returning. */
        LOST_AGAIN,
        /** The time over which clients return has passed. */
        SETTLED
    }
}
