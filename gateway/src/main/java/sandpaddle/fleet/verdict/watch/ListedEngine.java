package sandpaddle.fleet.verdict.watch;

/**
 * An entry of the engine list; immutable.
 *
 * @param name name of the engine
 * @param zone name of its zone, or empty if unknown
 * @param startedUs start of its process (us, platform time), 0 if it started long ago
 * @param isDraining whether it accepts no new work
 */
public record ListedEngine(String name, String zone, long startedUs, boolean isDraining) {}
