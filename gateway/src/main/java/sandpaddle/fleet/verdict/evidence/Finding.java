package sandpaddle.fleet.verdict.evidence;

/** What a gateway observed. The ordinal is the number on the wire: never reorder or remove a constant. */
public enum Finding {
    /** The engine answers as expected; counter-evidence to accusations. */
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
    /** The engine no longer drains according to the engine list. */
    WITHDRAWN,
    /** Usage of a tenant. */
    USAGE,
    /** A data load completed. */
    CHANGED,
    /** The reporter does not suspect a fault of its own. */
    SELF_HEALTHY,
    /** The reporter was stalled recently: its timers ran late. */
    STALLED,
    /** Most engines seem faulty to the reporter, so the fault may be its own. */
    MOST_ENGINES_FAILING,
    /** An engine outside the reporter's zone answers it. */
    OUTSIDE_REACHABLE,
    /** Only engines of the reporter's zone answer it. */
    ONLY_OWN_ZONE_REACHABLE,
    /** No engine answers the reporter. */
    NONE_REACHABLE;

    /** Returns whether the finding accuses an engine. */
    public boolean isEngineFault() {
        return this == FAILING || this == UNRESPONSIVE || this == SLOW;
    }

    /** Returns whether evidence of it precedes other evidence in a batch, because it protects running queries. */
    public boolean isUrgent() {
        return isEngineFault()
                || this == DRAINING
                || this == WARMING_UP
                || this == CHANGED
                || this == STALLED
                || this == MOST_ENGINES_FAILING;
    }
}
