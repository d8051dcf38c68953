package sandpaddle.decision.action;

/**
 * Writes a line to the log.
 *
 * @param text the line
 */
public record LogMessage(String text) implements Action {}
