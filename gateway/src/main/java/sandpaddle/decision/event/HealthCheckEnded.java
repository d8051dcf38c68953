package sandpaddle.decision.event;

/**
 * A health check ended.
 *
 * @param engine the engine checked
 * @param result how it ended
 * @param elapsedUs round trip in microseconds
 * @param loadReport the engine's load report, null where none arrived
 */
public record HealthCheckEnded(String engine, AttemptResult result, long elapsedUs, double[] loadReport)
        implements Event {}
