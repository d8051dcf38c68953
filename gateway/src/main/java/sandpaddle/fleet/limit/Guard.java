package sandpaddle.fleet.limit;

/** The rules that keep a limit from being exceeded. Tests take one away to show that a search then finds a fault. */
public enum Guard {
    /** Rights of an older or the same version are ignored, as are acknowledgements of another version. */
    VERSION,
    /** A raise comes out of what nobody holds; what was asked back counts once it is acknowledged. */
    SHRINK_FIRST,
    /** Rights of a gateway not heard return only when engines have dropped its attempts. */
    ENGINE_FORGETS,
    /** A lease is renewed only after a majority confirmed the leader. */
    MAJORITY,
    /** A lease counts from when the gateway sent its heartbeat, not from when the answer came. */
    FROM_SEND,
    /** The leader waits longer by what two clocks may differ. */
    DRIFT,
    /** A process uses nothing until engines have dropped what its former self left. */
    FRESH_START,
    /** A renewal counts only for the rights given since the last reclaim. */
    SESSION,
    /** A new leader takes every lease as renewed at its own election. */
    ELECTION_RENEWS,
    /** Grants to a former process of the same name are ignored. */
    INCARNATION
}
