package sandpaddle.query;

/**
 * The result of a health check of an engine.
 *
 * @param kind the outcome; {@link Kind#NOT_STARTED} says nothing about the engine
 * @param stats the engine's statistics line, null if none was received
 */
public record HealthCheckResult(Kind kind, String stats) {
    /** The outcome of a health check. */
    public enum Kind {
        /** The engine responded without an error. */
        HEALTHY,
        /** The engine responded with an error. */
        UNHEALTHY,
        /** No connection to the engine was established. */
        NOT_CONNECTED,
        /** The connection was lost before the response. */
        CONNECTION_LOST,
        /** The engine did not respond in time. */
        TIMED_OUT,
        /** Not sent, for a reason that says nothing about the engine. */
        NOT_STARTED
    }
}
