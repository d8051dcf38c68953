package sandpaddle.fleet.limit.table;

/**
 * A new quota for a slot, applied only if the slot still has {@code version} (compare and set).
 *
 * @param limit id of the limit
 * @param slot the slot
 * @param version version that the slot must have
 * @param amount the new amount, in the limit's unit
 * @param floor the part of it that may be used without a lease
 */
public record SlotChange(String limit, SlotName slot, long version, long amount, long floor) {}
