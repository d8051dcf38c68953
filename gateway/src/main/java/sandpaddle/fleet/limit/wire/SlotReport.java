package sandpaddle.fleet.limit.wire;

/**
 * A gateway's report on one of its slots, which also acknowledges the quota of {@code version}.
 *
 * @param limit id of the limit
 * @param tenant a tenant; empty for the gateway's own slot
 * @param version version of the quota that the gateway applies
 * @param ceiling under {@code version} the gateway will never again use more than this
 * @param floor under {@code version} the gateway will never again use more than this without a lease
 * @param used what is in use now; 0 for a rate
 * @param demand what would be in use without the limit; at least {@code used}
 */
public record SlotReport(String limit, String tenant, long version, long ceiling, long floor, long used, long demand) {}
