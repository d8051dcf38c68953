package sandpaddle.fleet.view;

/**
 * Running and waiting attempts of one class and tenant on one engine ("" while waiting for one), and the slots that
 * they count in. Owned by the event loop.
 */
final class AttemptCounter {
    final int classIndex;
    final String tenant;
    final String engine;
    int[] slots;
    boolean isBlocked; // a per-key limit has no slot for it yet
    long running;
    long waiting;

    AttemptCounter(int classIndex, String tenant, String engine) {
        this.classIndex = classIndex;
        this.tenant = tenant;
        this.engine = engine;
    }

    boolean isIdle() {
        return running == 0 && waiting == 0;
    }

    /** Finds the slots that cover this counter in a view. */
    void assignSlots(FleetView view) {
        int[] numbers = new int[view.slots().size()];
        int count = 0;
        for (int i = 0; i < numbers.length; i++) {
            if (view.slots().get(i).covers(classIndex, tenant, engine)) {
                numbers[count++] = i;
            }
        }
        slots = java.util.Arrays.copyOf(numbers, count);
        isBlocked = false;
        for (LimitSlot each : view.perKeySlots()) {
            isBlocked |= each.covers(classIndex, tenant, engine) && !hasSlotOf(view, each);
        }
    }

    private boolean hasSlotOf(FleetView view, LimitSlot each) {
        for (int slot : slots) {
            if (view.slots().get(slot).id().startsWith(each.isPrefix() ? each.id() : each.id() + "|")) {
                return true;
            }
        }
        return false;
    }
}
