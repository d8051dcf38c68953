package sandpaddle.fleet.pool.solve;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import sandpaddle.fleet.pool.rule.Capacity;
import sandpaddle.fleet.pool.solve.Allocation.Cell;

/**
 * Spreads the connections of each gateway to an engine kind over the engines of that kind, within the budget of each
 * engine. Previous cells are kept as far as they fit and do not exceed an even share; each further connection goes to
 * the engine that the gateway uses least relative to its budget, and among equals to the one preferred by rendezvous
 * hashing (Thaler and Ravishankar) for this gateway. So a gateway that joins or leaves moves few connections of others.
 * O(c log e) for c connections to e engines, and O(g e) for the table of g gateways.
 */
final class EngineSpread {
    private final String kind;
    private final String[] engines;
    private final int[] capacity;
    private final int[] remaining;
    private final long totalCapacity;

    private EngineSpread(String kind, Map<String, Capacity> budgets) {
        this.kind = kind;
        engines = budgets.keySet().toArray(new String[0]);
        capacity = budgets.values().stream().mapToInt(Capacity::available).toArray();
        remaining = capacity.clone();
        totalCapacity = Arrays.stream(capacity).asLongStream().sum();
    }

    /**
     * Computes the cells of one engine kind.
     *
     * @param budgets by engine
     * @param demands connections by gateway; if their sum exceeds the budgets, they are reduced max-min fairly
     */
    static List<Cell> spread(
            String kind, Map<String, Capacity> budgets, TreeMap<String, Long> demands, List<Cell> previous) {
        EngineSpread spread = new EngineSpread(kind, budgets);
        String[] gateways = demands.keySet().toArray(new String[0]);
        int[] targets = spread.scaleToCapacity(
                gateways, demands.values().stream().mapToLong(Long::longValue).toArray());
        int[][] cells = spread.keepPrevious(gateways, targets, previous);
        List<Cell> result = new ArrayList<>();
        for (int gatewayIndex = 0; gatewayIndex < gateways.length; gatewayIndex++) {
            spread.addConnections(
                    gateways[gatewayIndex],
                    cells[gatewayIndex],
                    targets[gatewayIndex] - Arrays.stream(cells[gatewayIndex]).sum());
            for (int engine = 0; engine < cells[gatewayIndex].length; engine++) {
                if (cells[gatewayIndex][engine] > 0) {
                    result.add(new Cell(
                            kind, spread.engines[engine], gateways[gatewayIndex], cells[gatewayIndex][engine]));
                }
            }
        }
        return result;
    }

    private int[] scaleToCapacity(String[] gateways, long[] demands) {
        int rows = demands.length;
        long[] weight = new long[rows];
        Arrays.fill(weight, 1);
        int[] max = Arrays.stream(demands)
                .mapToInt(w -> (int) Math.min(w, totalCapacity))
                .toArray();
        int[][] links = new int[rows][];
        Arrays.fill(links, new int[] {0});
        int[] tieBreakers = new int[rows];
        for (int row = 0; row < rows; row++) {
            tieBreakers[row] = Rows.tieBreaker(new Rows.RowKey(kind, gateways[row], "", ""));
        }
        Network network = new Network(weight, new int[rows], max, links, new long[] {totalCapacity});
        return Rounding.round(network, ProgressiveFilling.fill(network).value(), new int[rows], tieBreakers);
    }

    private int[][] keepPrevious(String[] gateways, int[] targets, List<Cell> previous) {
        Map<String, Integer> engineIndices = new HashMap<>();
        for (int engine = 0; engine < engines.length; engine++) {
            engineIndices.put(engines[engine], engine);
        }
        Map<String, Integer> gatewayIndices = new HashMap<>();
        for (int gatewayIndex = 0; gatewayIndex < gateways.length; gatewayIndex++) {
            gatewayIndices.put(gateways[gatewayIndex], gatewayIndex);
        }
        int[][] cells = new int[gateways.length][engines.length];
        for (Cell cell : previous) {
            Integer gatewayIndex = gatewayIndices.get(cell.gateway());
            Integer engine = engineIndices.get(cell.engine());
            if (gatewayIndex != null && engine != null) {
                long evenShare = (targets[gatewayIndex] * (long) capacity[engine] + totalCapacity - 1)
                        / Math.max(1, totalCapacity);
                int kept = (int) Math.min(Math.min(cell.connections(), evenShare), remaining[engine]);
                cells[gatewayIndex][engine] = kept;
                remaining[engine] -= kept;
            }
        }
        for (int gatewayIndex = 0; gatewayIndex < gateways.length; gatewayIndex++) {
            removeConnections(
                    gateways[gatewayIndex],
                    cells[gatewayIndex],
                    Arrays.stream(cells[gatewayIndex]).sum() - targets[gatewayIndex]);
        }
        return cells;
    }

    private void removeConnections(String gateway, int[] cells, int count) {
        if (count <= 0) {
            return;
        }
        IndexedHeap queue = new IndexedHeap(engines.length);
        int[] preferenceOrder = preferenceOrder(gateway);
        for (int rank = 0; rank < preferenceOrder.length; rank++) {
            if (cells[preferenceOrder[rank]] > 0) {
                queue.putOrUpdate(preferenceOrder.length - 1 - rank, -utilization(cells, preferenceOrder[rank]));
            }
        }
        for (int i = 0; i < count; i++) {
            int rank = queue.peek();
            int engine = preferenceOrder[preferenceOrder.length - 1 - rank];
            cells[engine]--;
            remaining[engine]++;
            if (cells[engine] == 0) {
                queue.remove(rank);
            } else {
                queue.putOrUpdate(rank, -utilization(cells, engine));
            }
        }
    }

    private void addConnections(String gateway, int[] cells, int count) {
        if (count <= 0) {
            return;
        }
        IndexedHeap queue = new IndexedHeap(engines.length);
        int[] preferenceOrder = preferenceOrder(gateway);
        for (int rank = 0; rank < preferenceOrder.length; rank++) {
            if (remaining[preferenceOrder[rank]] > 0) {
                queue.putOrUpdate(rank, utilization(cells, preferenceOrder[rank]));
            }
        }
        for (int i = 0; i < count; i++) {
            int rank = queue.peek();
            int engine = preferenceOrder[rank];
            cells[engine]++;
            remaining[engine]--;
            if (remaining[engine] == 0) {
                queue.remove(rank);
            } else {
                queue.putOrUpdate(rank, utilization(cells, engine));
            }
        }
    }

    private double utilization(int[] cells, int engine) {
        return cells[engine] / (double) Math.max(1, capacity[engine]);
    }

    /** The engines in the order of preference for this gateway, by rendezvous hashing. */
    private int[] preferenceOrder(String gateway) {
        long[] hashes = new long[engines.length];
        for (int engine = 0; engine < engines.length; engine++) {
            hashes[engine] = (long) Rows.tieBreaker(new Rows.RowKey(kind, gateway, engines[engine], "")) << 32 | engine;
        }
        Arrays.sort(hashes);
        return Arrays.stream(hashes).mapToInt(h -> (int) h).toArray();
    }
}
