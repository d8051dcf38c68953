package sandpaddle.fleet.pool.solve;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.ToIntFunction;
import sandpaddle.fleet.pool.model.Policy;
import sandpaddle.fleet.pool.model.SolverInput;
import sandpaddle.fleet.pool.model.Statement.Borrow;
import sandpaddle.fleet.pool.rule.Budgets;
import sandpaddle.fleet.pool.rule.Capacity;
import sandpaddle.fleet.pool.rule.Shares;
import sandpaddle.fleet.pool.solve.Allocation.BudgetCapacity;
import sandpaddle.fleet.pool.solve.Allocation.Cell;
import sandpaddle.fleet.pool.solve.Allocation.Row;

/**
 * Divides the fleet's connections according to a policy, by weighted max-min fairness. Each demand (of a tenant on a
 * gateway, for a class, at an engine kind) is a row, which corresponds to a flow in a network; its weight is the
 * product of the weights of tenant, class and place. Budgets and ceilings are links, which bound the sum over their
 * rows. Progressive filling computes the fair shares, first of the floors and then of the remaining capacity; a largest
 * remainder method that favors the previous allocation rounds them to integers. Time O(n k log n) and memory O(n k) for
 * n rows with k links each. Deterministic: without I/O, clock or randomness.
 */
public final class PoolSolver {
    private PoolSolver() {}

    /**
     * Computes the allocation for the given input.
     *
     * @param previous the allocation before, which is kept where fairness allows; {@link Allocation#NONE} if there is
     * none
     */
    public static Allocation solve(Policy policy, SolverInput input, Allocation previous) {
        Budgets budgets = Budgets.of(policy, input.state());
        Capacities capacities = Capacities.of(budgets, input);
        Rows rows = new Rows(policy, Shares.of(policy, input.state()), input, capacities);
        // the shares that rows would get if all demanded as much as their limits allow
        Division.Result entitled =
                Division.divide(rows, upperBounds(rows), previousValues(rows, previous, Row::entitled));
        Optional<Borrow> lending = budgets.idleLending();
        Division.Result result = lending.isPresent()
                ? Division.divide(rows, rows.demand, previousValues(rows, previous, Row::connections))
                : entitled;
        List<Row> divided = new ArrayList<>(rows.keys.size());
        for (int i = 0; i < rows.keys.size(); i++) {
            Rows.RowKey key = rows.keys.get(i);
            divided.add(new Row(
                    key.kind(),
                    key.gateway(),
                    key.tenant(),
                    key.className(),
                    result.connections()[i],
                    entitled.connections()[i],
                    result.floors()[i]));
        }
        return new Allocation(
                List.copyOf(divided),
                cells(capacities, divided, previous),
                budgetCapacities(capacities),
                result.unmetFloors(),
                lending.map(Borrow::reclaimWithin),
                result.steps() + (lending.isPresent() ? entitled.steps() : 0));
    }

    private static int[] previousValues(Rows rows, Allocation previous, ToIntFunction<Row> value) {
        int[] values = new int[rows.keys.size()];
        int index = 0;
        for (Row row : previous.rows()) { // both are sorted by row key
            Rows.RowKey key = new Rows.RowKey(row.kind(), row.gateway(), row.tenant(), row.className());
            while (index < values.length && rows.keys.get(index).compareTo(key) < 0) {
                index++;
            }
            if (index < values.length && rows.keys.get(index).equals(key)) {
                values[index] = value.applyAsInt(row);
            }
        }
        return values;
    }

    /** The least capacity among the links of each row; for a row without links, its demand. */
    private static int[] upperBounds(Rows rows) {
        int[] upper = new int[rows.demand.length];
        for (int row = 0; row < upper.length; row++) {
            long bound = Long.MAX_VALUE;
            for (int link : rows.links[row]) {
                bound = Math.min(bound, rows.capacity[link]);
            }
            upper[row] = bound == Long.MAX_VALUE ? rows.demand[row] : (int) Math.min(bound, Integer.MAX_VALUE / 2);
        }
        return upper;
    }

    private static List<Cell> cells(Capacities capacities, List<Row> rows, Allocation previous) {
        Map<String, TreeMap<String, Long>> connectionsByGateway = new TreeMap<>();
        for (Row row : rows) {
            connectionsByGateway
                    .computeIfAbsent(row.kind(), key -> new TreeMap<>())
                    .merge(row.gateway(), (long) row.connections(), Long::sum);
        }
        List<Cell> cells = new ArrayList<>();
        connectionsByGateway.forEach((kind, gateways) -> {
            Map<String, Capacity> engines = capacities.engines().get(kind);
            if (engines != null) {
                cells.addAll(EngineSpread.spread(
                        kind,
                        engines,
                        gateways,
                        previous.cells().stream()
                                .filter(capacity -> capacity.kind().equals(kind))
                                .toList()));
            }
        });
        return List.copyOf(cells);
    }

    private static List<BudgetCapacity> budgetCapacities(Capacities capacities) {
        List<BudgetCapacity> budgetCapacities = new ArrayList<>();
        capacities.fleet().ifPresent(capacity -> budgetCapacities.add(new BudgetCapacity(Limit.FLEET, capacity)));
        capacities
                .counts()
                .keySet()
                .forEach(kind -> capacities
                        .ofKind(kind)
                        .ifPresent(capacity ->
                                budgetCapacities.add(new BudgetCapacity(new Limit(Limit.Scope.KIND, kind), capacity))));
        capacities
                .engines()
                .values()
                .forEach(engines -> engines.forEach((engine, capacity) ->
                        budgetCapacities.add(new BudgetCapacity(new Limit(Limit.Scope.ENGINE, engine), capacity))));
        return List.copyOf(budgetCapacities);
    }
}
