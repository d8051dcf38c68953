package sandpaddle.fleet.limit.search;

/** What may happen in one step of time, at one gateway (or to the voters), beside what always does. */
record Event(What what, int gateway, int which) {
    /** The kinds. */
    enum What {
        /** Nothing but time. */
        NONE,
        /** Its heartbeats are lost from now on. */
        MUTE,
        /** What it is sent is lost from now on. */
        DEAF,
        /** Both. */
        CUT,
        /** It reaches only the one that led before. */
        FORMER,
        /** What it is sent comes two steps late from now on, in any order with what else comes. */
        LATE,
        /** Its links are well again. */
        WELL,
        /** Its process dies. */
        CRASH,
        /** A process starts, with its floors from the disk. */
        START,
        /** Its process dies and another starts at once. */
        RESTART,
        /** Its process stops. */
        STOP,
        /** It goes on. */
        GO,
        /** Demand moves to it. */
        HUNGRY,
        /** An old message to it comes, again or at last. */
        GRANT_AGAIN,
        /** An old heartbeat of it comes to the leader, again or at last. */
        BEAT_AGAIN,
        /** Another voter leads; the former does not know. */
        ELECT,
        /** What leaders propose from now on is agreed on three steps late. */
        LATE_LOG
    }
}
