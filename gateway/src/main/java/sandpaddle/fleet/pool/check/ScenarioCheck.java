package sandpaddle.fleet.pool.check;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Predicate;
import sandpaddle.fleet.pool.check.FloorSums.FloorFamily;
import sandpaddle.fleet.pool.model.DiagnosticList;
import sandpaddle.fleet.pool.model.FleetState;
import sandpaddle.fleet.pool.model.KnownNames;
import sandpaddle.fleet.pool.model.Policy;
import sandpaddle.fleet.pool.model.Selector;
import sandpaddle.fleet.pool.model.SourcePosition;
import sandpaddle.fleet.pool.model.Statement;
import sandpaddle.fleet.pool.model.Statement.Budget;
import sandpaddle.fleet.pool.model.Statement.Scope;
import sandpaddle.fleet.pool.model.Statement.Share;
import sandpaddle.fleet.pool.rule.Budgets;
import sandpaddle.fleet.pool.rule.Capacity;

/**
 * Reports what cannot be satisfied in some state of the fleet: floors above ceilings or budgets, and budgets that
 * reserves use up.
 */
final class ScenarioCheck {
    /** Limit of the number of scenarios times the number of statements, which bounds the cost for any conditions. */
    private static final int MAX_EVALUATIONS = 2_000_000;

    private static final int MAX_STATES = 4_096;

    private record Excess(FloorFamily family, long capacity) {}

    private final DiagnosticList diagnostics;
    private final Policy policy;
    private final KnownNames known;
    private final Expansion expansion;
    private final FloorSums floorSums;
    private final Map<List<String>, Excess> excesses = new LinkedHashMap<>();
    private Excess totalExcess;

    ScenarioCheck(Policy policy, Expansion expansion, KnownNames known, DiagnosticList diagnostics) {
        this.policy = policy;
        this.expansion = expansion;
        this.known = known;
        this.diagnostics = diagnostics;
        this.floorSums = new FloorSums(
                expansion.sharesBySelector().keySet(), policy.tenants().size(), known);
    }

    void check(List<Statement> statements) {
        int evaluationsPerState =
                statements.size() + expansion.sharesBySelector().size() + 1;
        Scenarios scenarios =
                Scenarios.of(statements, Math.max(16, Math.min(MAX_STATES, MAX_EVALUATIONS / evaluationsPerState)));
        if (!scenarios.complete()) {
            diagnostics.warning(
                    new SourcePosition(1, 1),
                    "more combinations of conditions than are tried",
                    "fewer conditions; each was tried by itself, and all together");
        }
        scenarios.states().forEach(this::check);
        excesses.forEach((family, excess) -> diagnostics.error(
                excess.family.largest().position(),
                "floors by " + String.join(" and ", family) + " of " + excess.family.sum() + " connections in sum",
                excess.capacity + " at most, which the budgets leave"));
        if (totalExcess != null && excesses.isEmpty()) {
            diagnostics.warning(
                    totalExcess.family.largest().position(),
                    "floors by several selections of " + totalExcess.family.sum() + " connections in sum",
                    totalExcess.capacity + ", which the budgets leave, or floors that overlap");
        }
    }

    private void check(FleetState state) {
        Budgets budgets = Budgets.of(policy, state);
        policy.budgets().forEach(budget -> checkCapacityAfterReserves(budgets, budget));
        Map<Selector, Share> floors = effectiveShares(state, s -> s.floor().isPresent());
        Map<Selector, Share> ceilings = effectiveShares(state, s -> s.ceiling().isPresent());
        floors.forEach((selector, floor) -> checkAgainstCeilings(selector, floor, ceilings));
        ceilings.forEach((selector, ceiling) -> FloorSums.generalizations(selector).stream()
                .filter(floors::containsKey)
                .filter(general -> !floors.containsKey(selector))
                .forEach(general -> warnAboutDefaultCeiling(floors.get(general), ceiling)));
        OptionalLong capacity = totalCapacity(budgets);
        if (capacity.isPresent()) {
            checkSums(floorSums.of(floors), capacity.getAsLong());
        }
    }

    private Map<Selector, Share> effectiveShares(FleetState state, Predicate<Share> hasSetting) {
        Map<Selector, Share> effectiveShares = new LinkedHashMap<>();
        expansion.sharesBySelector().forEach((selector, shares) -> {
            for (Share share : shares) {
                if (hasSetting.test(share) && share.holds(state)) {
                    effectiveShares.merge(
                            selector,
                            share,
                            (first, second) -> Statement.PRECEDENCE.compare(first, second) >= 0 ? first : second);
                }
            }
        });
        return effectiveShares;
    }

    private void checkAgainstCeilings(Selector selector, Share floor, Map<Selector, Share> ceilings) {
        Share ceiling = ceilings.get(selector);
        if (ceiling == null) {
            FloorSums.generalizations(selector).stream()
                    .filter(ceilings::containsKey)
                    .forEach(general -> warnAboutDefaultCeiling(floor, ceilings.get(general)));
        } else if (floor.floor().getAsInt() > ceiling.ceiling().getAsInt()) {
            Share later = floor.position().compareTo(ceiling.position()) >= 0 ? floor : ceiling;
            diagnostics.error(
                    later.position(),
                    "floor " + floor.floor().getAsInt() + " of line "
                            + floor.position().line() + " above ceiling "
                            + ceiling.ceiling().getAsInt() + " of line "
                            + ceiling.position().line(),
                    "a floor up to the ceiling of the same selection");
        }
    }

    /** Warns about a floor above a ceiling when one of them is set by a default; the ceiling takes precedence. */
    private void warnAboutDefaultCeiling(Share floor, Share ceiling) {
        if (floor.floor().getAsInt() > ceiling.ceiling().getAsInt()) {
            Share later = floor.position().compareTo(ceiling.position()) >= 0 ? floor : ceiling;
            diagnostics.warning(
                    later.position(),
                    "floor " + floor.floor().getAsInt() + " of line "
                            + floor.position().line()
                            + " above ceiling " + ceiling.ceiling().getAsInt() + " of line "
                            + ceiling.position().line()
                            + ", by a default",
                    "a floor of its own for what has a lower ceiling");
        }
    }

    private void checkCapacityAfterReserves(Budgets budgets, Budget budget) {
        Optional<Budget> effective = budgets.budget(budget.scope(), budget.name());
        if (effective.isEmpty() || effective.get() != budget) {
            return;
        }
        boolean singleEngine = budget.scope() == Scope.ENGINE || budget.scope() == Scope.EACH_OF_KIND;
        Capacity capacity = singleEngine
                ? Capacity.ofEngine(budgets, budget, false)
                : Capacity.ofMany(budgets, budget, engineCount(budget));
        if (capacity.available() == 0) {
            diagnostics.error(
                    budget.position(),
                    "a budget of " + budget.connections() + " connections, of which reserves take "
                            + (capacity.control() + capacity.returning()),
                    "a budget above its reserves");
        } else if (singleEngine && Capacity.ofEngine(budgets, budget, true).available() == 0) {
            diagnostics.warning(
                    budget.position(),
                    "a budget of " + budget.connections()
                            + " connections, all of which reserves take while the engine returns",
                    "a budget above its reserves");
        }
    }

    /** The number of known engines that share the budget, at least 1. */
    private int engineCount(Budget budget) {
        Map<String, Set<String>> kinds = known.engines().orElse(Map.of());
        int engineCount = budget.scope() == Scope.KIND
                ? kinds.getOrDefault(budget.name(), Set.of()).size()
                : kinds.values().stream().mapToInt(Set::size).sum();
        return Math.max(1, engineCount);
    }

    /**
     * The capacity for tenants with all known engines up; empty if the fleet has no budget and some engine is bounded
     * neither by its own budget nor by that of its kind.
     */
    private OptionalLong totalCapacity(Budgets budgets) {
        long max = Long.MAX_VALUE;
        Optional<Budget> fleetBudget = budgets.budget(Scope.FLEET, "");
        if (fleetBudget.isPresent()) {
            max = Capacity.ofMany(budgets, fleetBudget.get(), engineCount(fleetBudget.get()))
                    .available();
        }
        if (known.engines().isPresent()) {
            long kinds = 0;
            for (Map.Entry<String, Set<String>> kind : known.engines().get().entrySet()) {
                OptionalLong kindCapacity = capacityOfKind(budgets, kind.getKey(), kind.getValue());
                if (kindCapacity.isEmpty()) {
                    return max == Long.MAX_VALUE ? OptionalLong.empty() : OptionalLong.of(max);
                }
                kinds += kindCapacity.getAsLong();
            }
            max = Math.min(max, kinds);
        }
        return max == Long.MAX_VALUE ? OptionalLong.empty() : OptionalLong.of(max);
    }

    private OptionalLong capacityOfKind(Budgets budgets, String kind, Set<String> engines) {
        long max = Long.MAX_VALUE;
        Optional<Budget> kindBudget = budgets.budget(Scope.KIND, kind);
        if (kindBudget.isPresent()) {
            max = Capacity.ofMany(budgets, kindBudget.get(), engines.size()).available();
        }
        Optional<Budget> defaultBudget = budgets.budget(Scope.EACH_OF_KIND, kind);
        long sum = 0;
        for (String engine : engines) {
            Optional<Budget> engineBudget = budgets.budget(Scope.ENGINE, engine).or(() -> defaultBudget);
            if (engineBudget.isEmpty()) {
                return max == Long.MAX_VALUE ? OptionalLong.empty() : OptionalLong.of(max);
            }
            sum += Capacity.ofEngine(budgets, engineBudget.get(), false).available();
        }
        return OptionalLong.of(Math.min(max, sum));
    }

    private void checkSums(Map<List<String>, FloorFamily> families, long capacity) {
        long total = 0;
        Share largest = null;
        long maxSum = -1;
        for (Map.Entry<List<String>, FloorFamily> each : families.entrySet()) {
            FloorFamily family = each.getValue();
            total += family.sum();
            if (family.sum() > maxSum) {
                maxSum = family.sum();
                largest = family.largest();
            }
            if (family.sum() > capacity) {
                excesses.merge(each.getKey(), new Excess(family, capacity), ScenarioCheck::larger);
            }
        }
        if (total > capacity) {
            Excess excess = new Excess(new FloorFamily(total, largest), capacity);
            totalExcess = totalExcess == null ? excess : larger(totalExcess, excess);
        }
    }

    private static Excess larger(Excess first, Excess second) {
        return second.family.sum() - second.capacity > first.family.sum() - first.capacity ? second : first;
    }
}
