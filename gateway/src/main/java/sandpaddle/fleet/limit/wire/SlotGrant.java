package sandpaddle.fleet.limit.wire;

/**
 * Quota of one slot.
 *
 * @param limit id of the limit
 * @param tenant a tenant; empty for the gateway's own slot
 * @param version version of the slot in the replicated table
 * @param ceiling the most that the gateway may use with a lease, as the voters agreed on it
 * @param floor the most that it may use without a lease, as the voters agreed on it
 * @param targetCeiling what the leader requests to reduce {@code ceiling} to, under the same version
 * @param targetFloor what the leader requests to reduce {@code floor} to, under the same version
 */
public record SlotGrant(
        String limit, String tenant, long version, long ceiling, long floor, long targetCeiling, long targetFloor) {}
