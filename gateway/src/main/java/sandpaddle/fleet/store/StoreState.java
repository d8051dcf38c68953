package sandpaddle.fleet.store;

/**
 * The health of the store.
 *
 * @param condition which operations are possible
 * @param reason a sentence for the log; empty while the store works
 */
public record StoreState(Condition condition, String reason) {
    /** Which operations are possible. Logs show the constant's name. */
    public enum Condition {
        /** Reads and writes succeed. */
        WORKING,
        /** The disk is full or has too little free space, or a bound of the store was reached. */
        FULL,
        /** The directory is not writable. */
        READ_ONLY,
        /** The disk fails. */
        FAILING,
        /** Reads and writes succeed, but syncs exceed the limit of the settings: the voter should not be the leader. */
        SLOW,
        /** The store is closed, or was not opened yet. */
        CLOSED
    }

    static final StoreState WORKING = new StoreState(Condition.WORKING, "");

    /** Whether the store accepts writes; while it does not, the gateway neither votes nor acknowledges. */
    public boolean isWritable() {
        return condition == Condition.WORKING || condition == Condition.SLOW;
    }
}
