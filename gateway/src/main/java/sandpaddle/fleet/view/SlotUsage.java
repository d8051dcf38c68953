package sandpaddle.fleet.view;

/**
 * This gateway's usage of each slot of one numbering: written by the event loop, read by the fleet's thread. {@code
 * waiting} counts queued queries that would use the slot; {@code received} only increases.
 */
public final class SlotUsage {
    private final long numbering;
    private final PaddedCounters running;
    private final PaddedCounters waiting;
    private final PaddedCounters received;

    /** Creates the usage of {@code slots} slots at 0. */
    public SlotUsage(long numbering, int slots) {
        this.numbering = numbering;
        running = new PaddedCounters(slots);
        waiting = new PaddedCounters(slots);
        received = new PaddedCounters(slots);
    }

    /** The numbering of the view that the slots belong to. */
    public long numbering() {
        return numbering;
    }

    /** Adds to the running attempts; on the event loop. */
    void addRunning(int[] slots, long delta) {
        for (int slot : slots) {
            running.add(slot, delta);
        }
    }

    /** Adds to the waiting queries; on the event loop. */
    void addWaiting(int[] slots, long delta) {
        for (int slot : slots) {
            waiting.add(slot, delta);
        }
    }

    /** Adds to the received queries; on the event loop. */
    void addReceived(int[] slots, long delta) {
        for (int slot : slots) {
            received.add(slot, delta);
        }
    }

    /** Running attempts; by any thread. */
    public long running(int slot) {
        return running.get(slot);
    }

    /** Waiting queries; by any thread. */
    public long waiting(int slot) {
        return waiting.get(slot);
    }

    /** Received queries since the start of the numbering; by any thread. */
    public long received(int slot) {
        return received.get(slot);
    }
}
