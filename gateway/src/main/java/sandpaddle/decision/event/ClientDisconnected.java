package sandpaddle.decision.event;

/**
 * The client of a request disconnected or cancelled it.
 *
 * @param id the request
 */
public record ClientDisconnected(String id) implements Event {}
