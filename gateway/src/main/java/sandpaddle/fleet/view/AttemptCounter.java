package sandpaddle.fleet.view;

/**
 * Attempts of one class and tenant at one engine ("" while they wait for one): how many, and the slots they count in.
 */
final class AttemptCounter {
    final int cls;
    final String tenant;
    final String engine;
    int[] slots;
    boolean barred; // a limit with a slot for each one has none for it yet
    long running;
    long waiting;

    AttemptCounter(int cls, String tenant, String engine) {
        this.cls = cls;
        this.tenant = tenant;
        this.engine = engine;
    }

    boolean isIdle() {
        return running == 0 && waiting == 0;
    }

    /** Finds its slots in a view. */
    void match(FleetView view) {
        int[] numbers = new int[view.slots().size()];
        int n = 0;
        for (int i = 0; i < numbers.length; i++) {
            if (view.slots().get(i).covers(cls, tenant, engine)) {
                numbers[n++] = i;
            }
        }
        slots = java.util.Arrays.copyOf(numbers, n);
        barred = false;
        for (Slot each : view.each()) {
            barred |= each.covers(cls, tenant, engine) && !hasSlotOf(view, each);
        }
    }

    private boolean hasSlotOf(FleetView view, Slot each) {
        for (int s : slots) {
            if (view.slots().get(s).id().startsWith(each.isFamily() ? each.id() : each.id() + "|")) {
                return true;
            }
        }
        return false;
    }
}
