package sandpaddle.fleet.limit.table;

/** New rights for a slot that has this version still. */
public record SlotChange(String limit, SlotName slot, long version, long held, long floor) { }
