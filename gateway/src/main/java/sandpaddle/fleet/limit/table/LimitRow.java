package sandpaddle.fleet.limit.table;

import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;
import sandpaddle.fleet.limit.LimitSpec;

/**
 * One limit and the quotas that gateways have under it. A limit that was dropped from the operator's file stays until
 * all its quotas are returned. Owned by {@link QuotaTable}.
 */
public final class LimitRow {
    LimitSpec spec;
    String parentId; // id of the limit in the operator's file that this is an instance of
    boolean dropped;
    long allocated; // sum of the slots' amounts
    long floorSum; // sum of the slots' floors
    long revision; // counts changes, so that a leader replans only limits that changed
    final TreeMap<SlotName, SlotAllocation> slots = new TreeMap<>();

    LimitRow(LimitSpec spec, String parentId) {
        this.spec = spec;
        this.parentId = parentId;
    }

    /** The limit as it is in force; of an instance with its names. */
    public LimitSpec spec() {
        return spec;
    }

    /** Id of the limit in the operator's file that this is an instance of; its own id if it has no wildcard. */
    public String parentId() {
        return parentId;
    }

    /** Whether the limit is no longer in the operator's file. */
    public boolean dropped() {
        return dropped;
    }

    /** The most that may be allocated in sum; 0 for a dropped limit. */
    public long amount() {
        return dropped ? 0 : spec.amount();
    }

    /** Sum of the amounts of all slots. */
    public long allocated() {
        return allocated;
    }

    /** Sum of the floors of all slots. */
    public long floorSum() {
        return floorSum;
    }

    /** The quota of a slot; {@link SlotAllocation#NONE} if it never got any. */
    public SlotAllocation slot(SlotName name) {
        return slots.getOrDefault(name, SlotAllocation.NONE);
    }

    /** All slots; a read-only view. */
    public Map<SlotName, SlotAllocation> slots() {
        return Collections.unmodifiableMap(slots);
    }

    /** Incremented with each change of this limit. */
    public long revision() {
        return revision;
    }

    void put(SlotName name, SlotAllocation slot) {
        revision++;
        SlotAllocation before = slot(name);
        allocated += slot.amount() - before.amount();
        floorSum += slot.floor() - before.floor();
        slots.put(name, slot);
    }

    void remove(SlotName name) {
        put(name, SlotAllocation.NONE);
        slots.remove(name);
    }
}
