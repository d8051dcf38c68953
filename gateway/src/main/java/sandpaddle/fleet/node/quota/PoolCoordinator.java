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
 * Applies the fleet's pool policy in one gateway: passes the policy, and the engines that it covers, to the components
 * that need them. Not thread-safe: owned by the fleet's thread.
 */
public final class PoolCoordinator {
    private final QuotaManager quotas;
    private final PoolBudget budget;
    private final PoolEngines engines;
    private final ActivePoolPolicy activePolicy = new ActivePoolPolicy();
    private final PoolAllocator allocator = new PoolAllocator();
    private Map<String, String> zones = Map.of();

    /**
     * Creates a coordinator without a policy.
     *
     * @param quotas this gateway's quotas
     * @param budget the pool budgets that the request path reads
     * @param kinds names of the engine kinds, by index
     */
    public PoolCoordinator(QuotaManager quotas, PoolBudget budget, List<String> kinds) {
        this.quotas = quotas;
        this.budget = budget;
        engines = new PoolEngines(kinds);
    }

    /** Divides the budgets of pools while this gateway is the leader. */
    public PoolAllocator allocator() {
        return allocator;
    }

    /** The pool budgets that the request path reads. */
    public PoolBudget budget() {
        return budget;
    }

    /** Applies the configuration in force: its members and its pool policy. */
    public void applyConfig(FleetConfig agreed) {
        Map<String, String> next = new HashMap<>();
        agreed.members().forEach(member -> next.put(member.name(), member.zone()));
        zones = Map.copyOf(next);
        if (activePolicy.applyConfig(agreed)) {
            quotas.setPoolPolicy(activePolicy.policy(), activePolicy.isRestrictedToFloors());
        }
    }

    /** Receives a change of the engine list. */
    public void receiveEngineList(long nowUs, EngineListReceived list) {
        engines.update(nowUs, list);
    }

    /**
     * Passes the policy, engines and zones to the allocator, and returns the state by which it evaluates the conditions
     * of the policy.
     *
     * @param nowUs monotonic time (us)
     * @param verdicts conditions of engines
     * @param isolated names of the isolated zones
     */
    public FleetState updateAllocator(long nowUs, List<FleetView.Verdict> verdicts, Set<String> isolated) {
        allocator.setInput(new PoolAllocator.Input(activePolicy.policy(), engines.all(nowUs), zones));
        return fleetState(engines.all(nowUs), verdicts, isolated);
    }

    private static FleetState fleetState(List<PoolEngine> all, List<FleetView.Verdict> verdicts, Set<String> isolated) {
        Set<String> up = new HashSet<>();
        all.stream().filter(PoolEngine::up).forEach(engine -> up.add(engine.name()));
        long unhealthy = verdicts.stream()
                .filter(verdict -> verdict.condition() == EngineCondition.FAILING
                        || verdict.condition() == EngineCondition.UNRESPONSIVE)
                .map(FleetView.Verdict::engine)
                .filter(up::contains)
                .distinct()
                .count();
        return new FleetState(
                Instant.now(),
                ZoneId.systemDefault(),
                Phase.CALM,
                up.isEmpty() ? 0 : (double) unhealthy / up.size(),
                isolated,
                List.of());
    }

    /** Updates the engines and the control connections; called once per heartbeat, before the view is published. */
    public void tick(long nowUs) {
        List<PoolEngine> all = engines.all(nowUs);
        quotas.setPoolEngines(all);
        Map<String, Integer> controlConnections = new HashMap<>();
        activePolicy
                .policy()
                .filter(policy -> !activePolicy.isRestrictedToFloors() && !zones.isEmpty())
                .ifPresent(policy -> addControlConnections(policy, all, controlConnections));
        budget.setControlConnections(controlConnections);
    }

    /**
     * Adds this gateway's control connections to each engine: an even part of those that the policy reserves, rounded
     * down.
     */
    private void addControlConnections(Policy policy, List<PoolEngine> all, Map<String, Integer> controlConnections) {
        Budgets budgets = Budgets.of(policy, fleetState(all, List.of(), Set.of()));
        for (PoolEngine engine : all) {
            budgets.budget(Scope.ENGINE, engine.name())
                    .or(() -> budgets.budget(Scope.EACH_OF_KIND, engine.kind()))
                    .map(engineBudget -> (int) Math.min(
                                    engineBudget.connections(),
                                    Capacity.ofEngine(budgets, engineBudget, false)
                                            .control())
                            / zones.size())
                    .filter(count -> count > 0)
                    .ifPresent(count -> controlConnections.put(engine.name(), count));
        }
    }
}
