package sandpaddle.fleet.limit.lease;

/**
 * A floor as stored on the gateway's disk, so that a gateway that restarts while it is partitioned from the leader can
 * use it.
 *
 * @param limit id of the limit
 * @param tenant a tenant; empty for the gateway's own slot
 * @param floor the floor, in the unit of the limit
 */
public record SavedFloor(String limit, String tenant, long floor) {}
