package sandpaddle.engineclient;

/**
 * What an engine's response to a call proves about the query, for example that it has run or never ran. Only this class
 * derives that from a response; docs/design/ends-of-attempts.md has the table and its reasons.
 *
 * <p>Only a response to the POST can prove that a query never ran. By the time of a later call, a GET, the query may
 * have run even if no response arrived. An engine without a free connection declines a new connection without reading
 * the call. If that were taken as proof that the query never ran, it would be sent again, and work that is not
 * idempotent could run twice.
 */
enum ResponseClassification {
    /** A page of the result; the query has run. */
    RESULT,
    /** A page of the result with bytes behind it: whole, or cut short by its stated length. The query has run. */
    OVERLONG_RESULT,
    /** The query was accepted and has not finished. */
    IN_PROGRESS,
    /** The engine has no capacity for the query; it never ran. */
    DECLINED,
    /** The query's timeout passed before the engine began to run it; it never ran. */
    EXPIRED,
    /** The engine declined the connection without reading the call; proves nothing about the query. */
    CONNECTION_DECLINED,
    /** The engine reported an error, or does not know the query any more; it may have run and is not running now. */
    FAILED,
    /** The query may have run and may still be running. */
    UNCERTAIN,
    /** The response does not follow the protocol or does not fit this call; the query may be running. */
    UNREADABLE;

    private static final int STATUS_OK = 200;
    private static final int STATUS_ACCEPTED = 202;
    private static final int STATUS_ERROR = 500;
    private static final int STATUS_UNAVAILABLE = 503;
    private static final int STATUS_TIMEOUT = 504;

    /**
     * The call that a response belongs to.
     *
     * @param post whether the call is the POST, which sends the query; otherwise it is a GET, which polls for its
     *     result
     * @param page number of the result page that the call asks for; page 0 is available when the query has ended
     * @param newConnection whether the connection was established for this call
     * @param knownToEngine whether an earlier response showed that the engine has read the POST
     * @param responseLost whether an earlier call got no readable response: the engine may not have read the POST yet
     */
    record Call(boolean post, int page, boolean newConnection, boolean knownToEngine, boolean responseLost) {}

    /** Whether the response proves that the engine has accepted the query. */
    boolean provesAcceptance() {
        return this == RESULT || this == OVERLONG_RESULT || this == IN_PROGRESS;
    }

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
            case STATUS_OK -> response.excess() == Response.Excess.OTHER_BYTES ? OVERLONG_RESULT : RESULT;
            case STATUS_ACCEPTED -> call.page == 0 ? IN_PROGRESS : UNREADABLE;
            case STATUS_ERROR -> call.knownToEngine || !call.responseLost ? FAILED : UNCERTAIN;
            default -> UNREADABLE;
        };
    }

    private static ResponseClassification ofDecline(boolean isUnavailable, Call call) {
        if (call.post) {
            return isUnavailable ? DECLINED : EXPIRED;
        }
        return isUnavailable && call.newConnection ? CONNECTION_DECLINED : UNCERTAIN;
    }
}
