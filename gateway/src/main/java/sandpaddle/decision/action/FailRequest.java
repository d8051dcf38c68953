package sandpaddle.decision.action;

/**
 * Fails a request that may have run, so that a retry by the client could have a second effect.
 *
 * @param id the request
 */
public record FailRequest(String id) implements Action {}
