package sandpaddle.interleaving;

/**
 * One action or observation of a peer, in the order of the run.
 *
 * @param kind what was done or seen
 * @param atMs time since the run began
 * @param detail depends on the kind; may be empty
 * @param callIndex index in the list of observations of the call that was responded to; -1 for other kinds
 */
record Observation(Kind kind, long atMs, String detail, int callIndex) {
    /** Actions of the client and the operator, then of the engine, then what the client and the schedule observed. */
    enum Kind {
        REQUEST_STARTED,
        REQUEST_COMPLETE,
        CLIENT_DISCONNECTED,
        QUERY_KILLED,
        ENGINE_UNAVAILABLE,
        SHUTDOWN_REQUESTED,
        GRACE_PERIOD_OVER,
        POST,
        GET,
        DELETE,
        ENGINE_RESPONSE,
        CLIENT_ANSWER,
        DEADLINE_PASSED,
        PROCESS_STOPPED
    }

    Observation(Kind kind, long atMs, String detail) {
        this(kind, atMs, detail, -1);
    }

    @Override
    public String toString() {
        return "%s@%d%s"
                .formatted(
                        kind,
                        atMs,
                        detail.isEmpty() ? "" : ":" + detail + (callIndex < 0 ? "" : "(" + callIndex + ")"));
    }
}
