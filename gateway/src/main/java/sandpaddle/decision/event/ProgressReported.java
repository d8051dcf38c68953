package sandpaddle.decision.event;

/**
 * An engine reported progress on a running attempt.
 *
 * @param id the request
 * @param attempt number of the attempt, from 0
 * @param topic meaning and unit of {@code value}
 * @param value a share for {@link ProgressTopic#COMPLETED_SHARE}, MB for {@link ProgressTopic#MISSING_MEMORY},
 *     milliseconds for {@link ProgressTopic#WAIT}
 */
public record ProgressReported(String id, int attempt, ProgressTopic topic, double value) implements Event {}
