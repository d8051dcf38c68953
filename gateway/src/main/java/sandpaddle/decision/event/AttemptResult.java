package sandpaddle.decision.event;

/** How an attempt or a health check ended. */
public enum AttemptResult {
    /** A complete answer arrived. */
    OK,
    /** The engine answered with an error. */
    ERROR,
    /** The engine rejected the attempt because its queue is full. */
    QUEUE_FULL,
    /** No answer arrived within the timeout; the attempt may still be running. */
    TIMEOUT,
    /** No connection could be established. */
    CONNECT_FAILED,
    /** The connection broke before the answer was complete; the attempt may still be running. */
    RESET,
    /** The attempt was cancelled; it may have had an effect. */
    CANCELLED,
    /** The attempt was cancelled before any of it was written to the engine. */
    CANCELLED_BEFORE_START;

    /** Whether this result proves that the attempt never ran. */
    public boolean neverRan() {
        return this == QUEUE_FULL || this == CONNECT_FAILED || this == CANCELLED_BEFORE_START;
    }
}
