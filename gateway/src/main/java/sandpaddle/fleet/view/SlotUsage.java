package sandpaddle.fleet.view;

/**
 * This gateway's usage of each slot of one numbering: written by the loop's thread, read by the fleet's. {@code
 * waiting} counts held queries that would use the slot; {@code taken} and {@code starts} only grow.
 */
public final class SlotUsage {
    private final long numbering;
    private final PaddedCounters running;
    private final PaddedCounters waiting;
    private final PaddedCounters taken;

    public SlotUsage(long numbering, int slots) {
        this.numbering = numbering;
        running = new PaddedCounters(slots);
        waiting = new PaddedCounters(slots);
        taken = new PaddedCounters(slots);
    }

    /** Of the view that its slots are numbered by. */
    public long numbering() {
        return numbering;
    }

    /** By the loop's thread. */
    void addRunning(int[] slots, long more) {
        for (int s : slots) {
            running.add(s, more);
        }
    }

    /** By the loop's thread. */
    void addWaiting(int[] slots, long more) {
        for (int s : slots) {
            waiting.add(s, more);
        }
    }

    /** By the loop's thread. */
    void addTaken(int[] slots, long more) {
        for (int s : slots) {
            taken.add(s, more);
        }
    }

    /** By any thread. */
    public long running(int slot) {
        return running.get(slot);
    }

    /** By any thread. */
    public long waiting(int slot) {
        return waiting.get(slot);
    }

    /** By any thread. */
    public long taken(int slot) {
        return taken.get(slot);
    }
}
