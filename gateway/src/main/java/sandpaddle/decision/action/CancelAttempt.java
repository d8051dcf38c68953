package sandpaddle.decision.action;

/**
 * Cancels an attempt in flight.
 *
 * @param id the request
 * @param attempt number of the attempt, from 0
 */
public record CancelAttempt(String id, int attempt) implements Action {}
