package sandpaddle.fleet.limit;

/**
 * The rules that keep a limit from being exceeded. All are enforced in production; tests disable one to show that a
 * search then finds a violation.
 */
public enum Guard {
    /** Ignores quotas of an older or the same version, and acknowledgements of another version. */
    VERSION,
    /**
     * Raises quotas only from what is unallocated: reduced quotas count once the gateway acknowledged the reduction.
     */
    SHRINK_FIRST,
    /** Reclaims the quotas of a silent gateway only once engines have dropped its attempts. */
    ENGINE_FORGETS,
    /** Renews leases only after a majority confirmed the leader. */
    MAJORITY,
    /** Counts a lease from when the gateway sent the confirmed heartbeat, not from when the confirmation arrived. */
    FROM_SEND,
    /** Lengthens the waits of the leader by the drift of two clocks. */
    DRIFT,
    /** Gives a new process no quota until engines have dropped the attempts of the former process. */
    FRESH_START,
    /** Applies a renewal only to quotas granted since the last reclaim. */
    SESSION,
    /** Makes a new leader treat every lease as renewed at its own election. */
    ELECTION_RENEWS,
    /** Ignores grants to a former process of the same name. */
    INCARNATION
}
