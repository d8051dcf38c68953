package sandpaddle.engineclient;

/**
 * What an engine's response to a call proves about the query. The only class that interprets responses;
 * docs/design/ends-of-attempts.md has the table and its reasons.
 *
 * <p>Only the response to the POST may prove that a query never ran. Later calls are mostly sent because a response was
 * lost, and an engine without a free connection declines new connections without reading the call: to treat that as the
 * end of the query would run non-idempotent work twice.
 */
enum ResponseClassification {
    /** A page of the result; the query has run. */
    RESULT,
    /** The query was accepted and has not finished. */
    IN_PROGRESS,
    /** The engine has no capacity for the query; it never ran. */
    DECLINED,
    /** The query's time was over before it began; it never ran. */
    EXPIRED,
    /** The engine declined the connection without reading the call; proves nothing about the query. */
    CONNECTION_DECLINED,
    /** An error, or a query that the engine no longer knows; the query may have run and is not running. */
    FAILED,
    /** The query may have run and may still be running. */
    UNCERTAIN,
    /** Not a response of the protocol, or not to this call; the query may be running. */
    UNREADABLE;

    private static final int STATUS_OK = 200;
    private static final int STATUS_ACCEPTED = 202;
    private static final int STATUS_ERROR = 500;
    private static final int STATUS_UNAVAILABLE = 503;
    private static final int STATUS_TIMEOUT = 504;

    /**
     * The call that a response belongs to.
     *
     * @param post whether it was the POST, else a GET
     * @param page the page polled; 0 for the end of the query
     * @param newConnection whether the connection was established for this call
     * @param knownToEngine whether an earlier response showed that the engine accepted the query
     * @param responseLost whether an earlier response was lost, so that the engine may still read the POST
     */
    record Call(boolean post, int page, boolean newConnection, boolean knownToEngine, boolean responseLost) {}

    /** Whether the engine declined the call or its connection. */
    static boolean isDeclined(Response response) {
        return (response.status() == STATUS_UNAVAILABLE || response.status() == STATUS_TIMEOUT)
                && "1".equals(response.header("x-declined"));
    }

    /** Classifies the response to a call. */
    static ResponseClassification of(Response response, Call call) {
        if (isDeclined(response)) {
            return ofDecline(response.status() == STATUS_UNAVAILABLE, call);
        }
        return switch (response.status()) {
            case STATUS_OK -> RESULT;
            case STATUS_ACCEPTED -> call.page == 0 ? IN_PROGRESS : UNREADABLE;
            case STATUS_ERROR -> call.knownToEngine || !call.responseLost ? FAILED : UNCERTAIN;
            default -> UNREADABLE;
        };
    }

    private static ResponseClassification ofDecline(boolean unavailable, Call call) {
        if (call.post) {
            return unavailable ? DECLINED : EXPIRED;
        }
        return unavailable && call.newConnection ? CONNECTION_DECLINED : UNCERTAIN;
    }
}
