package sandpaddle.fleet.node.pool;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import sandpaddle.fleet.limit.allocator.Target;
import sandpaddle.fleet.limit.table.SlotName;
import sandpaddle.fleet.pool.solve.Allocation;
import sandpaddle.fleet.pool.solve.Limit;

/** The target of every slot in one allocation. Time and memory are O(rows + cells) of the allocation. */
final class PoolTargets {
    private static final Target ZERO = new Target(0, 0);

    /** Sums over rows of the allocation. */
    private static final class Sum {
        private long connections;
        private long floor;
        private long assignedConnections; // part of the connections already divided among engines
        private long assignedFloor; // part of the floor already divided among engines

        Target toTarget() {
            return new Target(connections, Math.min(floor, connections));
        }
    }

    private final Map<String, Map<SlotName, Sum>> byTenant = new HashMap<>(); // limits of the fleet and of kinds
    private final Map<String, Map<SlotName, Target>> byEngine = new HashMap<>(); // limits of engines
    private final Map<String, Map<String, Sum>> byGateway = new HashMap<>(); // by kind and gateway
    private final Map<String, String> unboundedKindOf = new HashMap<>(); // engines without a budget now

    /** No targets: every slot has a target of 0. */
    static final PoolTargets NONE = new PoolTargets();

    private PoolTargets() {}

    /**
     * Computes the targets. The floor that a gateway has at a kind is divided among the engines of the kind in
     * proportion to its connections there.
     */
    PoolTargets(Allocation allocation, Iterable<PoolEngine> engines) {
        for (Allocation.Row row : allocation.rows()) {
            SlotName slot = new SlotName(row.gateway(), row.tenant());
            add(
                    byTenant.computeIfAbsent(Limit.FLEET.id(), l -> new HashMap<>())
                            .computeIfAbsent(slot, s -> new Sum()),
                    row);
            add(
                    byTenant.computeIfAbsent(PoolLimitIds.KIND + row.kind(), l -> new HashMap<>())
                            .computeIfAbsent(slot, s -> new Sum()),
                    row);
            add(
                    byGateway
                            .computeIfAbsent(row.kind(), k -> new TreeMap<>())
                            .computeIfAbsent(row.gateway(), g -> new Sum()),
                    row);
        }
        Set<String> boundedLimitIds = new HashSet<>();
        allocation
                .budgets()
                .forEach(budget -> boundedLimitIds.add(budget.limit().id()));
        engines.forEach(engine -> {
            if (engine.up() && !boundedLimitIds.contains(PoolLimitIds.ENGINE + engine.name())) {
                unboundedKindOf.put(PoolLimitIds.ENGINE + engine.name(), engine.kind());
            }
        });
        for (Allocation.Cell cell : allocation.cells()) {
            Sum sum = byGateway.getOrDefault(cell.kind(), Map.of()).get(cell.gateway());
            if (sum != null && sum.connections > 0) { // cumulative, so that rounding loses no part of the floor
                sum.assignedConnections += cell.connections();
                long floor = Math.min(
                        cell.connections(), sum.floor * sum.assignedConnections / sum.connections - sum.assignedFloor);
                sum.assignedFloor += floor;
                byEngine.computeIfAbsent(PoolLimitIds.ENGINE + cell.engine(), l -> new HashMap<>())
                        .put(new SlotName(cell.gateway(), PoolLimitIds.ALL), new Target(cell.connections(), floor));
            }
        }
    }

    private static void add(Sum sum, Allocation.Row row) {
        sum.connections += row.connections();
        sum.floor += row.floor();
    }

    /** The target of a slot, 0 if the allocation does not contain it. */
    Target target(String limitId, SlotName slot) {
        String kind = unboundedKindOf.get(limitId);
        if (kind != null) { // no budget bounds this engine now: the target of its kind
            Sum sum = byGateway.getOrDefault(kind, Map.of()).get(slot.member());
            return sum == null ? ZERO : sum.toTarget();
        }
        if (limitId.startsWith(PoolLimitIds.ENGINE)) {
            return byEngine.getOrDefault(limitId, Map.of()).getOrDefault(slot, ZERO);
        }
        Sum sum = byTenant.getOrDefault(limitId, Map.of()).get(slot);
        return sum == null ? ZERO : sum.toTarget();
    }
}
