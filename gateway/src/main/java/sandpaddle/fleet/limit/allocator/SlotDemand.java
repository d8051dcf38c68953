package sandpaddle.fleet.limit.allocator;

import sandpaddle.fleet.limit.table.SlotName;

/**
 * The demand of a slot whose gateway is alive.
 *
 * @param slot the slot
 * @param demand smoothed over about two seconds, in the unit of the limit
 */
public record SlotDemand(SlotName slot, double demand) {}
