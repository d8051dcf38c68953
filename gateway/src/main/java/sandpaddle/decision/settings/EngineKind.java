package sandpaddle.decision.settings;

/**
 * A machine kind.
 *
 * @param cores cores of an engine
 * @param memoryMb memory in MB, 0 where unknown
 */
public record EngineKind(double cores, double memoryMb) {}
