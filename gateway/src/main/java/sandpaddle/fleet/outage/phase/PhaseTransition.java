package sandpaddle.fleet.outage.phase;

/** A zone's transition from one phase to another, with its reason. */
public record PhaseTransition(Phase from, Phase to, Why why) {
    /** What led there. */
    public enum Why {
        /** A window is near enough. */
        WINDOW_NEARS,
        /** The time to fill has come. */
        FILL_DUE,
        /** The schedule changed or the clock was set: the window is further away. */
        WINDOW_LATER,
        /** The window is over, was withdrawn, or passed without a loss. */
        WINDOW_GONE,
        /** The loss came within a window, margins included. */
        LOST_EXPECTED,
        /** The loss came before the margin of a window that was expected. */
        LOST_EARLY,
        /** The loss came with no window near. */
        LOST_UNANNOUNCED,
        /** The link is back. */
        BACK,
        /** The link was lost again while clients came back. */
        LOST_AGAIN,
        /** Clients have come back. */
        SETTLED
    }
}
