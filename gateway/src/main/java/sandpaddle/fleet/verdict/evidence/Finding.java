package sandpaddle.fleet.verdict.evidence;

/** What a gateway observed. The position is the number on the wire: never reorder or remove a constant. */
public enum Finding {
    /** The engine answers as expected: contradicts accusations. */
    HEALTHY,
    /** The engine fails queries. */
    FAILING,
    /** The engine does not answer or accepts no connection. */
    UNRESPONSIVE,
    /** The engine answers much later than expected. */
    SLOW,
    /** The engine started recently. */
    WARMING_UP,
    /** The engine accepts no new work. */
    DRAINING,
    /** The engine list no longer contains what was reported before. */
    WITHDRAWN,
    /** Usage of a tenant. */
    USAGE,
    /** A data load completed. */
    CHANGED,
    /** The reporter has no doubt about itself. */
    SELF_HEALTHY,
    /** The reporter was stalled recently: its timers ran late. */
    STALLED,
    /** Most engines look faulty to the reporter, so the fault may be its own. */
    MOST_ENGINES_FAILING,
    /** An engine outside the reporter's zone answers it. */
    OUTSIDE_REACHABLE,
    /** Only engines of the reporter's zone answer it. */
    ONLY_OWN_ZONE_REACHABLE,
    /** No engine answers the reporter. */
    NONE_REACHABLE;

    /** Whether the finding accuses an engine. */
    public boolean isEngineFault() {
        return this == FAILING || this == UNRESPONSIVE || this == SLOW;
    }

    /** Whether it is sent first if a batch is full, because it protects queries now. */
    public boolean isUrgent() {
        return isEngineFault()
                || this == DRAINING
                || this == WARMING_UP
                || this == CHANGED
                || this == STALLED
                || this == MOST_ENGINES_FAILING;
    }
}
