package sandpaddle.decision.event;

/** The quantity that a progress report states. The order of the constants is part of the simulator's protocol. */
public enum ProgressTopic {
    /** Completed share of the work, from 0 to 1. */
    COMPLETED_SHARE,
    /** Memory that the attempt needs beyond its grant, in MB. */
    MISSING_MEMORY,
    /** Time spent waiting, in milliseconds. */
    WAIT
}
