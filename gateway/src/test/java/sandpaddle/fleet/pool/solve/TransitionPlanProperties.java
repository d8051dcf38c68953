package sandpaddle.fleet.pool.solve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import sandpaddle.fleet.pool.solve.Target.Slot;
import sandpaddle.fleet.pool.solve.TransitionPlan.Move;

/** Steps that are lost, late or out of order: no limit is passed, and in the end the targets are reached. */
class TransitionPlanProperties {
    private static final Limit LIMIT = new Limit(Limit.Of.KIND, "k");

    @Property(seed = "41", tries = 500)
    void shrinkingFirstNeverPassesALimit(@ForAll long seed) {
        Random random = new Random(seed);
        int capacity = 10 + random.nextInt(30);
        Map<Slot, Integer> present = draw(random, capacity);
        Map<Slot, Integer> wanted = draw(random, capacity);
        for (int round = 0; round < 200; round++) {
            TransitionPlan moves = TransitionPlan.plan(present, wanted, Map.of(LIMIT, capacity));
            if (moves.isEmpty()) {
                break;
            }
            boolean reliable = round > 100;
            for (Move move : moves.raises()) {
                if (reliable || random.nextInt(3) == 0) {
                    apply(present, move);
                }
            }
            assertTrue(sum(present) <= capacity, "passed before any lower was confirmed");
            for (Move move : moves.lowers()) {
                if (reliable || random.nextInt(3) == 0) {
                    apply(present, move);
                }
            }
        }
        wanted.values().removeIf(v -> v == 0);
        present.values().removeIf(v -> v == 0);
        assertEquals(wanted, present);
    }

    private static void apply(Map<Slot, Integer> present, Move move) {
        assertEquals(move.from(), present.getOrDefault(move.slot(), 0), "compare-and-set");
        present.put(move.slot(), move.to());
    }

    private static Map<Slot, Integer> draw(Random random, int capacity) {
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
