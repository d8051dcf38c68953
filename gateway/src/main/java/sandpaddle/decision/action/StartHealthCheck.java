package sandpaddle.decision.action;

/**
 * Sends an engine a health check, which also returns its load report.
 *
 * @param engine id of the engine
 */
public record StartHealthCheck(String engine) implements Action {}
