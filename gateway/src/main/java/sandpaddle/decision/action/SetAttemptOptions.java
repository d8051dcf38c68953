package sandpaddle.decision.action;

/**
 * Sets the priority and memory grant of the next attempts of a request; the priority also applies to the attempt in
 * flight.
 *
 * @param id the request
 * @param priority from 0 to 3
 * @param memoryMb memory grant in MB; 0 lets the engine decide
 */
public record SetAttemptOptions(String id, int priority, double memoryMb) implements Action {}
