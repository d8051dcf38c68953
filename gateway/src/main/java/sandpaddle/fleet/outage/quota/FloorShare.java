package sandpaddle.fleet.outage.quota;

/**
 * A gateway's part in one limit: its zone, the floor that is reserved for it, and what it is expected to need at once
 * while its zone is cut off (0 where no outage is near).
 */
public record FloorShare(String gateway, String zone, long floor, long need) {}
