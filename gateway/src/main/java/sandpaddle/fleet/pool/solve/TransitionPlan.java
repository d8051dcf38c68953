package sandpaddle.fleet.pool.solve;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import sandpaddle.fleet.pool.solve.Target.Slot;

/**
 * The next quota changes on the way from the quotas that slots hold to their targets. Decreases may start at once;
 * increases use only the free capacity of their limit, in which each slot counts with all that it still holds. So no
 * limit is ever exceeded, whichever of the changes are lost or delayed. If planning is repeated as decreases are
 * confirmed, the quotas converge to the targets.
 *
 * @param decreases to request now, sorted by slot
 * @param increases to grant now, sorted by slot
 */
public record TransitionPlan(List<QuotaChange> decreases, List<QuotaChange> increases) {
    /**
     * A change of the quota of one slot, to be applied as a compare-and-set.
     *
     * @param current the expected quota
     * @param target the new quota
     */
    public record QuotaChange(Slot slot, int current, int target) {}

    /**
     * Plans the changes that are safe now.
     *
     * @param held upper bounds of the quotas that slots hold: decreases count only once they are confirmed
     * @param targets quotas to reach; the target of a slot that is absent is 0
     * @param capacities of the limits; in a limit that is absent, no quota is increased
     */
    public static TransitionPlan plan(
            Map<Slot, Integer> held, Map<Slot, Integer> targets, Map<Limit, Integer> capacities) {
        Map<Limit, Long> remainingByLimit = new HashMap<>();
        capacities.forEach((limit, capacity) -> remainingByLimit.put(limit, (long) capacity));
        List<QuotaChange> decreases = new ArrayList<>();
        new TreeMap<>(held).forEach((slot, heldBySlot) -> {
            remainingByLimit.computeIfPresent(slot.limit(), (limit, remaining) -> remaining - heldBySlot);
            int target = targets.getOrDefault(slot, 0);
            if (target < heldBySlot) {
                decreases.add(new QuotaChange(slot, heldBySlot, target));
            }
        });
        List<QuotaChange> increases = new ArrayList<>();
        new TreeMap<>(targets).forEach((slot, target) -> {
            int heldBySlot = held.getOrDefault(slot, 0);
            long increase = Math.min(target - heldBySlot, remainingByLimit.getOrDefault(slot.limit(), 0L));
            if (increase > 0) {
                increases.add(new QuotaChange(slot, heldBySlot, (int) (heldBySlot + increase)));
                remainingByLimit.merge(slot.limit(), -increase, Long::sum);
            }
        });
        return new TransitionPlan(List.copyOf(decreases), List.copyOf(increases));
    }

    /** Whether there is nothing to change now. */
    public boolean isEmpty() {
        return decreases.isEmpty() && increases.isEmpty();
    }
}
