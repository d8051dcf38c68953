package sandpaddle.decision.event;

/**
 * The first chunk of a streamed answer arrived.
 *
 * @param id the request
 * @param attempt number of the attempt, from 0
 */
public record StreamStarted(String id, int attempt) implements Event {}
