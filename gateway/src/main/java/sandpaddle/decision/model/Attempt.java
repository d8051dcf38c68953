package sandpaddle.decision.model;

/**
 * An attempt of a request on an engine.
 *
 * @param request the request
 * @param engine the engine that it was sent to
 * @param number attempt number within the request, from 0
 * @param sentAtUs when it was sent (us)
 * @param expectedUs latency expected at that time (us)
 */
public record Attempt(PendingRequest request, EngineState engine, int number, long sentAtUs, long expectedUs) {}
