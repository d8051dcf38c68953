package sandpaddle.fleet.pool.solve;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import sandpaddle.fleet.pool.solve.Allocation.Cell;
import sandpaddle.fleet.pool.solve.Allocation.Row;

/**
 * The target quota of one slot of a limit. The sum of the targets in a limit never exceeds its capacity.
 *
 * @param target in connections
 * @param floor the part of the target that is guaranteed to the slot; the rest may be lent
 */
public record Target(Slot slot, int target, int floor) {
    /**
     * The holder of a quota in a limit.
     *
     * @param tenant empty in limits of single engines
     */
    public record Slot(Limit limit, String gateway, String tenant) implements Comparable<Slot> {
        @Override
        public int compareTo(Slot other) {
            int order = limit.id().compareTo(other.limit.id());
            order = order != 0 ? order : gateway.compareTo(other.gateway);
            return order != 0 ? order : tenant.compareTo(other.tenant);
        }
    }

    private Target plus(Target other) {
        return new Target(slot, target + other.target, floor + other.floor);
    }

    /** Derives the targets of all limits from an allocation, sorted by slot. */
    public static List<Target> of(Allocation allocation) {
        Set<Limit> limits = new HashSet<>();
        allocation.budgets().forEach(budget -> limits.add(budget.limit()));
        Map<Slot, Target> targets = new TreeMap<>();
        Map<List<String>, Row> rowsByKindAndGateway = new HashMap<>();
        for (Row row : allocation.rows()) {
            add(targets, limits, Limit.FLEET, row);
            add(targets, limits, new Limit(Limit.Scope.KIND, row.kind()), row);
            rowsByKindAndGateway.merge(
                    List.of(row.kind(), row.gateway()),
                    row,
                    (first, second) -> new Row(
                            first.kind(),
                            first.gateway(),
                            "",
                            "",
                            first.connections() + second.connections(),
                            0,
                            first.floor() + second.floor()));
        }
        for (Cell cell : allocation.cells()) {
            Row total = rowsByKindAndGateway.get(List.of(cell.kind(), cell.gateway()));
            int floor = (int) Math.min(
                    cell.connections(), (long) total.floor() * cell.connections() / Math.max(1, total.connections()));
            Slot slot = new Slot(new Limit(Limit.Scope.ENGINE, cell.engine()), cell.gateway(), "");
            targets.put(slot, new Target(slot, cell.connections(), floor));
        }
        return new ArrayList<>(targets.values());
    }

    private static void add(Map<Slot, Target> targets, Set<Limit> limits, Limit limit, Row row) {
        if (limits.contains(limit)) {
            Slot slot = new Slot(limit, row.gateway(), row.tenant());
            targets.merge(slot, new Target(slot, row.connections(), row.floor()), Target::plus);
        }
    }
}
