package sandpaddle.fleet.node.quota;

import java.time.Instant;
import java.time.ZoneId;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import sandpaddle.decision.event.EngineCondition;
import sandpaddle.decision.event.EngineListReceived;
import sandpaddle.fleet.node.agree.FleetConfig;
import sandpaddle.fleet.node.loop.PoolBudget;
import sandpaddle.fleet.node.pool.ActivePoolPolicy;
import sandpaddle.fleet.node.pool.PoolAllocator;
import sandpaddle.fleet.node.pool.PoolEngine;
import sandpaddle.fleet.node.pool.PoolEngines;
import sandpaddle.fleet.pool.model.FleetState;
import sandpaddle.fleet.pool.model.Phase;
import sandpaddle.fleet.pool.model.Policy;
import sandpaddle.fleet.pool.model.Statement.Scope;
import sandpaddle.fleet.pool.rule.Budgets;
import sandpaddle.fleet.pool.rule.Capacity;
import sandpaddle.fleet.view.FleetView;

/**
 * The pool policy in one gateway, on the fleet's thread: passes it, and the engines that it covers, to the components
 * that need them.
 */
public final class PoolCoordinator {
    private final QuotaManager quotas;
    private final PoolBudget budget;
    private final PoolEngines engines;
    private final ActivePoolPolicy ruling = new ActivePoolPolicy();
    private final PoolAllocator allocator = new PoolAllocator();
    private Map<String, String> zones = Map.of();

    /** {@code kinds}: of engines, their names by number. */
    public PoolCoordinator(QuotaManager quotas, PoolBudget budget, List<String> kinds) {
        this.quotas = quotas;
        this.budget = budget;
        engines = new PoolEngines(kinds);
    }

    public PoolAllocator allocator() {
        return allocator;
    }

    public PoolBudget budget() {
        return budget;
    }

    /** What the fleet goes by now. */
    public void rules(FleetConfig agreed) {
        Map<String, String> next = new HashMap<>();
        agreed.members().forEach(member -> next.put(member.name(), member.zone()));
        zones = Map.copyOf(next);
        if (ruling.agreed(agreed)) {
            quotas.pool(ruling.policy(), ruling.isBehind());
        }
    }

    public void listed(long nowUs, EngineListReceived list) {
        engines.listed(nowUs, list);
    }

    /** What conditions are judged by, once all that is known here was handed on. */
    public FleetState state(long nowUs, List<FleetView.Verdict> verdicts, Set<String> isolated) {
        allocator.known(new PoolAllocator.Known(ruling.policy(), engines.all(nowUs), zones));
        return state(engines.all(nowUs), verdicts, isolated);
    }

    private static FleetState state(List<PoolEngine> all, List<FleetView.Verdict> verdicts, Set<String> isolated) {
        Set<String> up = new HashSet<>();
        all.stream().filter(PoolEngine::up).forEach(e -> up.add(e.name()));
        long ill = verdicts.stream()
                .filter(v -> v.condition() == EngineCondition.FAILING || v.condition() == EngineCondition.UNRESPONSIVE)
                .map(FleetView.Verdict::engine)
                .filter(up::contains)
                .distinct()
                .count();
        return new FleetState(
                Instant.now(),
                ZoneId.systemDefault(),
                Phase.CALM,
                up.isEmpty() ? 0 : (double) ill / up.size(),
                isolated,
                List.of());
    }

    /** With each heartbeat, before the view is published. */
    public void tick(long nowUs) {
        List<PoolEngine> all = engines.all(nowUs);
        quotas.poolEngines(all);
        Map<String, Integer> control = new HashMap<>();
        ruling.policy().filter(p -> !ruling.isBehind() && !zones.isEmpty()).ifPresent(p -> control(p, all, control));
        budget.control(control);
    }

    /** Each gateway has an even part of what is kept back at an engine, rounded down. */
    private void control(Policy policy, List<PoolEngine> all, Map<String, Integer> control) {
        Budgets budgets = Budgets.at(policy, state(all, List.of(), Set.of()));
        for (PoolEngine e : all) {
            budgets.budget(Scope.ENGINE, e.name())
                    .or(() -> budgets.budget(Scope.EACH_OF_KIND, e.kind()))
                    .map(b -> (int) Math.min(
                                    b.connections(),
                                    Capacity.ofEngine(budgets, b, false).control())
                            / zones.size())
                    .filter(n -> n > 0)
                    .ifPresent(n -> control.put(e.name(), n));
        }
    }
}
