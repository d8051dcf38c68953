package sandpaddle.decision.event;

/**
 * A timer that the module scheduled has fired.
 *
 * @param token token that the timer was scheduled with
 */
public record TimerFired(String token) implements Event {}
