package sandpaddle.decision.action;

/**
 * Schedules a {@link sandpaddle.decision.event.TimerFired}.
 *
 * @param token token that identifies the timer
 * @param atUs time at which it fires, in microseconds
 */
public record ScheduleTimer(String token, long atUs) implements Action {}
