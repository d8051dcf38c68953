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
        TreeMap<String, Long> demands = new TreeMap<>();
        for (int i = 0; i < sum; i++) {
            demands.merge("g" + random.nextInt(count), 1L, Long::sum);
        }
        return demands;
    }

    private static int movedConnections(List<Cell> a, List<Cell> b) {
        Map<String, Integer> movedConnections = new HashMap<>();
        a.forEach(c -> movedConnections.merge(c.gateway() + "/" + c.engine(), c.connections(), Integer::sum));
        b.forEach(c -> movedConnections.merge(c.gateway() + "/" + c.engine(), -c.connections(), Integer::sum));
        return movedConnections.values().stream().mapToInt(Math::abs).sum();
    }

    /** For any previous cells, each gateway gets its connections, and no engine exceeds its budget. */
    @Property(seed = "61", tries = 300)
    void keepsGatewaySumsAndEngineBudgetsFromAnyPreviousSpread(@ForAll long seed) {
        Random random = new Random(seed);
        List<Cell> cells = List.of();
        for (int round = 0; round < 4; round++) {
            Map<String, Capacity> engines = engines(1 + random.nextInt(6), 1 + random.nextInt(9));
            int available =
                    engines.values().stream().mapToInt(Capacity::available).sum();
            TreeMap<String, Long> demands = gateways(random, 8, random.nextInt(available + 1));
            cells = EngineSpread.spread("k", engines, demands, cells);
            Map<String, Long> sums = new TreeMap<>();
            Map<String, Integer> used = new HashMap<>();
            for (Cell cell : cells) {
                sums.merge(cell.gateway(), (long) cell.connections(), Long::sum);
                used.merge(cell.engine(), cell.connections(), Integer::sum);
            }
            assertEquals(demands, sums);
            used.forEach((engine, sum) -> assertTrue(sum <= engines.get(engine).available(), engine));
        }
    }

    /** One connection moves from one gateway to another; no others move while the engines have capacity. */
    @Property(seed = "62", tries = 300)
    void movingOneConnectionMovesNoOthersWhileEnginesHaveCapacity(@ForAll long seed) {
        Random random = new Random(seed);
        Map<String, Capacity> engines = engines(6, 40);
        TreeMap<String, Long> demands = gateways(random, 8, 180);
        List<Cell> first = EngineSpread.spread("k", engines, demands, List.of());
        assertEquals(0, movedConnections(first, EngineSpread.spread("k", engines, demands, first)));
        demands.merge(demands.firstKey(), -1L, Long::sum);
        demands.merge(demands.lastKey(), 1L, Long::sum);
        assertTrue(movedConnections(first, EngineSpread.spread("k", engines, demands, first)) <= 4);
    }

    /** No engine has more than an even share of a gateway, so the failure of an engine costs each gateway no more. */
    @Property(seed = "63", tries = 100)
    void spreadsEachGatewayEvenlyOverEngines(@ForAll long seed) {
        Random random = new Random(seed);
        TreeMap<String, Long> demands = gateways(random, 6, 120);
        for (Cell cell : EngineSpread.spread("k", engines(10, 30), demands, List.of())) {
            long even = (demands.get(cell.gateway()) + 9) / 10;
            assertTrue(cell.connections() <= even, cell + " of " + demands);
        }
    }
}
