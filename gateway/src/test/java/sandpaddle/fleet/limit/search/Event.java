package sandpaddle.fleet.limit.search;

/**
 * An event in one step of time, besides the actions of every step.
 *
 * @param kind what happens
 * @param gateway index of the gateway that it happens to; 0 if it happens to the voters
 * @param index index of the message that is replayed; else 0
 */
record Event(Kind kind, int gateway, int index) {
    /** The kinds of events. */
    enum Kind {
        /** Nothing. */
        NONE,
        /** From now on the gateway's heartbeats are lost. */
        HEARTBEATS_LOST,
        /** From now on grants to the gateway are lost. */
        GRANTS_LOST,
        /** From now on heartbeats and grants are lost. */
        PARTITIONED,
        /** From now on the gateway is connected to the former leader only. */
        ONLY_FORMER_LEADER,
        /** From now on grants to the gateway arrive two steps late, so they may be reordered. */
        GRANTS_DELAYED,
        /** The gateway's links work again. */
        LINKS_HEALED,
        /** The gateway's process crashes. */
        CRASH,
        /** A process of the gateway starts, with the floors from its disk. */
        START,
        /** The gateway's process crashes, and another starts at once. */
        RESTART,
        /** The gateway's process is paused. */
        PAUSE,
        /** The gateway's process resumes. */
        RESUME,
        /** All demand moves to the gateway. */
        DEMAND_MOVED,
        /** An old grant arrives at the gateway: a duplicate, or one that was lost or delayed. */
        GRANT_REPLAYED,
        /** An old heartbeat of the gateway arrives at the leader: a duplicate, or one that was lost. */
        HEARTBEAT_REPLAYED,
        /** Another voter is elected leader; the former leader does not learn of it. */
        LEADER_ELECTED,
        /** From now on proposals are committed three steps late. */
        COMMITS_DELAYED
    }
}
