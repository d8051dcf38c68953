package sandpaddle.decision.action;

/**
 * Rejects a request. It has had no effect, or a repeat has none, so the client may retry it.
 *
 * @param id the request
 * @param retryAfterUs Retry-After in microseconds, 0 for none
 */
public record RejectRequest(String id, long retryAfterUs) implements Action {}
