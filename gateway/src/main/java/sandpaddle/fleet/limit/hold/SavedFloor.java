package sandpaddle.fleet.limit.hold;

/** A floor that is written down, so that a restart has it while cut off. */
public record SavedFloor(String limit, String sub, long floor) { }
