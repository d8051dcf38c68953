package sandpaddle.mysql;

/**
 * The account of the memory that clients' statements take, complete and incomplete, in all sessions together. Small
 * holdings are always granted, so that a crowd of clients with long statements does not lock out usual ones.
 *
 * <p>Confined to the event loop's thread. Bounded by {@code maxBytes}, and {@link #ALWAYS_GRANTED_BYTES} for each
 * holding.
 */
final class InputMemory {
    /** Size up to which a holding is not refused, in bytes; statements usually have some hundred. */
    static final int ALWAYS_GRANTED_BYTES = 8 * 1024;

    /** Share of the heap for statements: one in this many bytes. */
    private static final int HEAP_DIVISOR = 6;

    private final long maxBytes;
    private long heldBytes;

    InputMemory(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** An account that grants a share of this process's heap. */
    static InputMemory ofHeap() {
        return new InputMemory(Runtime.getRuntime().maxMemory() / HEAP_DIVISOR);
    }

    /**
     * Changes the size of a holding, in bytes; returns false, and changes nothing, if it is too large for what is left.
     */
    boolean tryResize(int from, int to) {
        if (to > from && to > ALWAYS_GRANTED_BYTES && heldBytes + to - from > maxBytes) {
            return false;
        }
        heldBytes += to - from;
        return true;
    }

    /** Gives a holding up. */
    void release(int bytes) {
        heldBytes -= bytes;
    }

    long heldBytes() {
        return heldBytes;
    }
}
