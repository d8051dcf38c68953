package sandpaddle.decision.event;

/**
 * An attempt ended.
 *
 * @param id the request
 * @param attempt number of the attempt, from 0
 * @param engine where it ran
 * @param result how it ended
 * @param settled whether the client has received its final answer, so that no retry is needed
 * @param elapsedUs time from sending to its end in microseconds, 0 where unknown
 * @param usedWorkMs work as reported by the engine, in milliseconds over all threads, 0 where unknown
 * @param usedMemoryMb peak memory as reported by the engine in MB, 0 where unknown
 * @param loadReport the engine's load report, null where the answer had none
 */
public record AttemptEnded(
        String id,
        int attempt,
        String engine,
        AttemptResult result,
        boolean settled,
        long elapsedUs,
        double usedWorkMs,
        double usedMemoryMb,
        double[] loadReport)
        implements Event {}
