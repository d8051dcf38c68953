package sandpaddle.fleet.pool.solve;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;
import sandpaddle.fleet.pool.model.SolverInput;
import sandpaddle.fleet.pool.model.SolverInput.Engine;
import sandpaddle.fleet.pool.model.Statement.Budget;
import sandpaddle.fleet.pool.model.Statement.Scope;
import sandpaddle.fleet.pool.rule.Budgets;
import sandpaddle.fleet.pool.rule.Capacity;

/**
 * The capacity that each budget leaves for tenants, given the engines that are present.
 *
 * @param fleet capacity of the budget of the whole fleet
 * @param kinds capacities of the budgets of whole kinds, by kind
 * @param engines capacities of single engines, by kind and engine; engines without a budget are absent
 * @param counts number of engines, by kind
 */
record Capacities(
        Optional<Capacity> fleet,
        Map<String, Capacity> kinds,
        Map<String, Map<String, Capacity>> engines,
        Map<String, Integer> counts) {
    static Capacities of(Budgets budgets, SolverInput input) {
        Map<String, Integer> counts = new TreeMap<>();
        Map<String, Map<String, Capacity>> engines = new TreeMap<>();
        List<Engine> sorted = input.engines().stream()
                .sorted((a, b) -> a.name().compareTo(b.name()))
                .toList();
        for (Engine engine : sorted) {
            counts.merge(engine.kind(), 1, Integer::sum);
            budgets.budget(Scope.ENGINE, engine.name())
                    .or(() -> budgets.budget(Scope.EACH_OF_KIND, engine.kind()))
                    .ifPresent(b -> engines.computeIfAbsent(engine.kind(), k -> new LinkedHashMap<>())
                            .put(engine.name(), Capacity.ofEngine(budgets, b, engine.returning())));
        }
        Map<String, Capacity> kinds = new TreeMap<>();
        for (Map.Entry<String, Integer> kind : counts.entrySet()) {
            budgets.budget(Scope.KIND, kind.getKey())
                    .ifPresent(b -> kinds.put(kind.getKey(), Capacity.ofMany(budgets, b, kind.getValue())));
        }
        Optional<Budget> fleetBudget = budgets.budget(Scope.FLEET, "");
        return new Capacities(
                fleetBudget.map(b -> Capacity.ofMany(budgets, b, input.engines().size())), kinds, engines, counts);
    }

    /** The bound of all connections to engines of a kind: 0 if there is no engine, empty if no budget applies. */
    OptionalLong availableForKind(String kind) {
        if (!counts.containsKey(kind)) {
            return OptionalLong.of(0);
        }
        Optional<Capacity> kindCapacity = ofKind(kind);
        return kindCapacity.isPresent() ? OptionalLong.of(kindCapacity.get().available()) : OptionalLong.empty();
    }

    /**
     * The capacity of a kind: that of its own budget or, if each of its engines has a budget and their sum is less,
     * that sum; empty if neither applies.
     */
    Optional<Capacity> ofKind(String kind) {
        Optional<Capacity> kindCapacity = Optional.ofNullable(kinds.get(kind));
        Map<String, Capacity> engineCapacities = engines.getOrDefault(kind, Map.of());
        if (engineCapacities.size() < counts.getOrDefault(kind, 0)) {
            return kindCapacity;
        }
        long available = 0;
        long control = 0;
        long returning = 0;
        for (Capacity engine : engineCapacities.values()) {
            available += engine.available();
            control += engine.control();
            returning += engine.returning();
        }
        Capacity sum = new Capacity(available + control + returning, control, returning);
        return kindCapacity.isPresent() && kindCapacity.get().available() <= sum.available()
                ? kindCapacity
                : Optional.of(sum);
    }
}
