package sandpaddle.decision.model;

/**
 * Threads that still count as load of an engine after their attempt ended, because the engine may still be running it.
 *
 * @param engine the engine
 * @param classIndex class of the request
 * @param threads threads of the request
 * @param untilUs time until which they count (us)
 */
public record RetainedLoad(EngineState engine, int classIndex, int threads, long untilUs) {}
