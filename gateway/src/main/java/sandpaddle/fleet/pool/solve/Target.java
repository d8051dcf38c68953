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
 * What one slot of a limit is to have. In every limit the targets sum up to its capacity at most.
 *
 * @param floor of the target, the part that is the slot's due; the rest may be lent
 */
public record Target(Slot slot, int target, int floor) {
    /** A holder of a quota in a limit; the tenant is empty in limits of single engines. */
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

    /** The targets of all limits, by slot. */
    public static List<Target> of(Allocation allotment) {
        Set<Limit> limits = new HashSet<>();
        allotment.budgets().forEach(room -> limits.add(room.limit()));
        Map<Slot, Target> targets = new TreeMap<>();
        Map<List<String>, Row> sums = new HashMap<>();
        for (Row row : allotment.rows()) {
            add(targets, limits, Limit.FLEET, row);
            add(targets, limits, new Limit(Limit.Of.KIND, row.kind()), row);
            sums.merge(
                    List.of(row.kind(), row.gateway()),
                    row,
                    (a, b) -> new Row(
                            a.kind(),
                            a.gateway(),
                            "",
                            "",
                            a.connections() + b.connections(),
                            0,
                            a.floor() + b.floor()));
        }
        for (Cell cell : allotment.cells()) {
            Row of = sums.get(List.of(cell.kind(), cell.gateway()));
            int floor = (int) Math.min(
                    cell.connections(), (long) of.floor() * cell.connections() / Math.max(1, of.connections()));
            Slot slot = new Slot(new Limit(Limit.Of.ENGINE, cell.engine()), cell.gateway(), "");
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
