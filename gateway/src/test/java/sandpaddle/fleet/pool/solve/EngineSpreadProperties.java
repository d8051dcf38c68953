package sandpaddle.fleet.pool.solve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import sandpaddle.fleet.pool.rule.Capacity;
import sandpaddle.fleet.pool.solve.Allocation.Cell;

class EngineSpreadProperties {
    private static Map<String, Capacity> engines(int count, int each) {
        Map<String, Capacity> engines = new LinkedHashMap<>();
        for (int e = 0; e < count; e++) {
            engines.put("e" + e, new Capacity(each, 0, 0));
        }
        return engines;
    }

    private static TreeMap<String, Long> gateways(Random random, int count, int sum) {
        TreeMap<String, Long> wanted = new TreeMap<>();
        for (int i = 0; i < sum; i++) {
            wanted.merge("g" + random.nextInt(count), 1L, Long::sum);
        }
        return wanted;
    }

    private static int moved(List<Cell> a, List<Cell> b) {
        Map<String, Integer> moved = new HashMap<>();
        a.forEach(c -> moved.merge(c.gateway() + "/" + c.engine(), c.connections(), Integer::sum));
        b.forEach(c -> moved.merge(c.gateway() + "/" + c.engine(), -c.connections(), Integer::sum));
        return moved.values().stream().mapToInt(Math::abs).sum();
    }

    /** From any earlier spread: every gateway has what it should, and no engine has more than its budget. */
    @Property(seed = "61", tries = 300)
    void sumsHoldFromAnyEarlierSpread(@ForAll long seed) {
        Random random = new Random(seed);
        List<Cell> cells = List.of();
        for (int round = 0; round < 4; round++) {
            Map<String, Capacity> engines = engines(1 + random.nextInt(6), 1 + random.nextInt(9));
            int room = engines.values().stream().mapToInt(Capacity::left).sum();
            TreeMap<String, Long> wanted = gateways(random, 8, random.nextInt(room + 1));
            cells = EngineSpread.spread("k", engines, wanted, cells);
            Map<String, Long> sums = new TreeMap<>();
            Map<String, Integer> used = new HashMap<>();
            for (Cell cell : cells) {
                sums.merge(cell.gateway(), (long) cell.connections(), Long::sum);
                used.merge(cell.engine(), cell.connections(), Integer::sum);
            }
            assertEquals(wanted, sums);
            used.forEach((engine, sum) -> assertTrue(sum <= engines.get(engine).left(), engine));
        }
    }

    /** A gateway gives one up and another takes it: nothing else moves, as long as engines have room. */
    @Property(seed = "62", tries = 300)
    void oneConnectionMovesAlone(@ForAll long seed) {
        Random random = new Random(seed);
        Map<String, Capacity> engines = engines(6, 40);
        TreeMap<String, Long> wanted = gateways(random, 8, 180);
        List<Cell> first = EngineSpread.spread("k", engines, wanted, List.of());
        assertEquals(0, moved(first, EngineSpread.spread("k", engines, wanted, first)));
        wanted.merge(wanted.firstKey(), -1L, Long::sum);
        wanted.merge(wanted.lastKey(), 1L, Long::sum);
        assertTrue(moved(first, EngineSpread.spread("k", engines, wanted, first)) <= 4);
    }

    /** No engine carries much more of a gateway than another: a dead engine costs each gateway its part only. */
    @Property(seed = "63", tries = 100)
    void everyGatewayIsSpreadOverTheEngines(@ForAll long seed) {
        Random random = new Random(seed);
        TreeMap<String, Long> wanted = gateways(random, 6, 120);
        for (Cell cell : EngineSpread.spread("k", engines(10, 30), wanted, List.of())) {
            long even = (wanted.get(cell.gateway()) + 9) / 10;
            assertTrue(cell.connections() <= even, cell + " of " + wanted);
        }
    }
}
