package sandpaddle.decision.settings;

/**
 * What the engines support.
 *
 * @param memoryGrants whether attempts may request a memory grant
 * @param priorities whether attempts have a priority
 * @param maxMemoryGrantRatio greatest share of an engine's memory that one query is granted
 * @param pages whether results are paged
 * @param reportsCost whether answers state the work and memory used
 * @param progressIntervalUs time between progress reports of an attempt in microseconds, 0 where there are none
 */
public record EngineFeatures(
        boolean memoryGrants,
        boolean priorities,
        double maxMemoryGrantRatio,
        boolean pages,
        boolean reportsCost,
        long progressIntervalUs) {}
