package sandpaddle.fleet.view;

import java.lang.invoke.VarHandle;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Counts the attempts of one gateway against the fleet's limits, on the event loop. A start is counted first and the
 * view is read after, with a full fence between. The fleet's thread publishes a lower quota first and reads the
 * counts after, so one of the two sees the other, and no attempt starts on quota that was returned. Nothing is
 * allocated once an engine, tenant and class have been seen together. Bounded by {@link #MAX_COUNTERS}; past it idle
 * counters are removed.
 */
public final class AttemptCounters {
    /** Number of counters above which idle ones are removed. */
    static final int MAX_COUNTERS = 1 << 15;

    private final Publication<FleetView> views;
    private final Publication<SlotUsage> usages;
    private final int classes;
    private final Map<String, Map<String, AttemptCounter[]>> countersByEngine = new HashMap<>();
    private FleetView view = FleetView.EMPTY;
    private SlotUsage usage = new SlotUsage(0, 0);
    private int counterCount;

    /** Creates counters for this number of query classes. */
    public AttemptCounters(Publication<FleetView> views, Publication<SlotUsage> usages, int classes) {
        this.views = views;
        this.usages = usages;
        this.classes = classes;
    }

    /** Switches to the current view and returns it; counts anew if its slots are numbered differently. */
    public FleetView adoptView() {
        FleetView next = views.current();
        if (next.numbering() != view.numbering()) {
            SlotUsage fresh = new SlotUsage(next.numbering(), next.slots().size());
            forEachCounter(counter -> {
                counter.assignSlots(next);
                fresh.addRunning(counter.slots, counter.running);
                fresh.addWaiting(counter.slots, counter.waiting);
            });
            usage = fresh;
            usages.publish(fresh);
        }
        view = next;
        return next;
    }

    private void forEachCounter(Consumer<AttemptCounter> action) {
        countersByEngine
                .values()
                .forEach(byTenant -> byTenant.values().forEach(row -> {
                    for (AttemptCounter counter : row) {
                        if (counter != null) {
                            action.accept(counter);
                        }
                    }
                }));
    }

    private AttemptCounter counter(int classIndex, String tenant, String engine) {
        Map<String, AttemptCounter[]> byTenant = countersByEngine.get(engine);
        AttemptCounter[] row = byTenant == null ? null : byTenant.get(tenant);
        return row != null && row[classIndex] != null ? row[classIndex] : createCounter(classIndex, tenant, engine);
    }

    private AttemptCounter createCounter(int classIndex, String tenant, String engine) {
        if (counterCount >= MAX_COUNTERS) {
            countersByEngine.values().removeIf(byTenant -> {
                byTenant.values().removeIf(this::isIdle);
                return byTenant.isEmpty();
            });
            counterCount = 0;
            forEachCounter(counter -> counterCount++);
        }
        AttemptCounter counter = new AttemptCounter(classIndex, tenant, engine);
        counter.assignSlots(view);
        countersByEngine.computeIfAbsent(engine, e -> new HashMap<>())
                .computeIfAbsent(tenant, t -> new AttemptCounter[classes])[classIndex] = counter;
        counterCount++;
        return counter;
    }

    private boolean isIdle(AttemptCounter[] row) {
        for (AttemptCounter counter : row) {
            if (counter != null && !counter.isIdle()) {
                return false;
            }
        }
        return true;
    }

    /**
     * Counts an attempt that is about to start, if the current quotas cover it.
     *
     * @return whether they do; otherwise nothing is counted
     */
    public boolean tryStart(int classIndex, String tenant, String engine, long nowUs) {
        AttemptCounter counter = counter(classIndex, tenant, engine);
        counter.running++;
        usage.addRunning(counter.slots, 1);
        VarHandle.fullFence();
        if (!counter.isBlocked && isWithinQuota(counter, nowUs)) {
            return true;
        }
        ended(classIndex, tenant, engine);
        return false;
    }

    private boolean isWithinQuota(AttemptCounter counter, long nowUs) {
        FleetView now = views.current();
        if (now.numbering() != view.numbering()) {
            return false; // the new view numbers its slots differently; the event loop adopts it with its next turn
        }
        for (int slot : counter.slots) {
            if (!now.slots().get(slot).counts().isRate() && usage.running(slot) > now.quota(slot, nowUs)) {
                return false;
            }
        }
        return true;
    }

    /** An attempt ended, and its engine no longer runs it. */
    public void ended(int classIndex, String tenant, String engine) {
        AttemptCounter counter = counter(classIndex, tenant, engine);
        counter.running--;
        usage.addRunning(counter.slots, -1);
    }

    /** A query starts (1) or stops (-1) waiting for an engine. */
    public void addWaiting(int classIndex, String tenant, int delta) {
        AttemptCounter counter = counter(classIndex, tenant, "");
        counter.waiting += delta;
        usage.addWaiting(counter.slots, delta);
    }

    /** A query was received. */
    public void addReceived(int classIndex, String tenant) {
        usage.addReceived(counter(classIndex, tenant, "").slots, 1);
    }

    /** The slots that an attempt counts in; the array is shared and must not be modified. */
    public int[] slots(int classIndex, String tenant, String engine) {
        return counter(classIndex, tenant, engine).slots;
    }

    /** Whether the attempt counts in a per-key limit that has no slot for it yet. */
    public boolean isBlocked(int classIndex, String tenant, String engine) {
        return counter(classIndex, tenant, engine).isBlocked;
    }

    /** Attempts running in a slot. */
    public long running(int slot) {
        return usage.running(slot);
    }
}
