package sandpaddle.fleet.pool.solve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import sandpaddle.fleet.pool.solve.Target.Slot;
import sandpaddle.fleet.pool.solve.TransitionPlan.QuotaChange;

/** With changes lost, delayed or reordered, no capacity is exceeded and the quotas converge to the targets. */
class TransitionPlanProperties {
    private static final Limit LIMIT = new Limit(Limit.Scope.KIND, "k");

    @Property(seed = "41", tries = 500)
    void lostOrLateChangesNeverExceedTheCapacity(@ForAll long seed) {
        Random random = new Random(seed);
        int capacity = 10 + random.nextInt(30);
        Map<Slot, Integer> held = drawSlots(random, capacity);
        Map<Slot, Integer> targets = drawSlots(random, capacity);
        for (int round = 0; round < 200; round++) {
            TransitionPlan plan = TransitionPlan.plan(held, targets, Map.of(LIMIT, capacity));
            if (plan.isEmpty()) {
                break;
            }
            boolean reliable = round > 100;
            for (QuotaChange change : plan.increases()) {
                if (reliable || random.nextInt(3) == 0) {
                    apply(held, change);
                }
            }
            assertTrue(sum(held) <= capacity, "capacity exceeded before a decrease was confirmed");
            for (QuotaChange change : plan.decreases()) {
                if (reliable || random.nextInt(3) == 0) {
                    apply(held, change);
                }
            }
        }
        targets.values().removeIf(v -> v == 0);
        held.values().removeIf(v -> v == 0);
        assertEquals(targets, held);
    }

    private static void apply(Map<Slot, Integer> held, QuotaChange change) {
        assertEquals(change.current(), held.getOrDefault(change.slot(), 0), "compare-and-set");
        held.put(change.slot(), change.target());
    }

    private static Map<Slot, Integer> drawSlots(Random random, int capacity) {
        Map<Slot, Integer> slots = new HashMap<>();
        int left = capacity;
        for (int g = 0; g < 5; g++) {
            int holds = random.nextInt(left + 1);
            slots.put(new Slot(LIMIT, "g" + random.nextInt(8), "t"), holds);
            left = capacity - sum(slots);
        }
        return slots;
    }

    private static int sum(Map<Slot, Integer> slots) {
        return slots.values().stream().mapToInt(Integer::intValue).sum();
    }
}
