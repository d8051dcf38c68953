package sandpaddle.fleet.limit.table;

/**
 * The quota of one gateway under one limit.
 *
 * @param amount the most that the gateway may use, as far as the leader knows
 * @param floor the part of {@code amount} that it may use without a lease
 * @param version incremented with each change
 */
public record SlotAllocation(long amount, long floor, long version) {
    /** A slot that never got any quota. */
    public static final SlotAllocation NONE = new SlotAllocation(0, 0, 0);
}
