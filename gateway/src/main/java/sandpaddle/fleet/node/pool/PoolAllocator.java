package sandpaddle.fleet.node.pool;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.tinylog.Logger;
import sandpaddle.fleet.limit.LimitScope;
import sandpaddle.fleet.limit.LimitSpec;
import sandpaddle.fleet.limit.LimitUnit;
import sandpaddle.fleet.limit.allocator.SlotDemand;
import sandpaddle.fleet.limit.allocator.Target;
import sandpaddle.fleet.limit.allocator.TargetPolicy;
import sandpaddle.fleet.limit.table.LimitCommandCodec;
import sandpaddle.fleet.limit.table.LimitRow;
import sandpaddle.fleet.limit.table.QuotaTable;
import sandpaddle.fleet.limit.table.SlotName;
import sandpaddle.fleet.pool.model.FleetState;
import sandpaddle.fleet.pool.model.Policy;
import sandpaddle.fleet.pool.model.SolverInput;
import sandpaddle.fleet.pool.solve.Allocation;
import sandpaddle.fleet.pool.solve.Limit;
import sandpaddle.fleet.pool.solve.PoolSolver;

/**
 * Divides the budgets of the pool policy while this gateway is the leader: makes each budget a limit of the fleet, and
 * computes the target of each slot. It solves at most every {@value #MIN_SOLVE_INTERVAL_US} us after a change of
 * demand, engines, gateways or the policy, otherwise every {@value #MAX_SOLVE_INTERVAL_US} us. Targets are not binding:
 * the quota table enforces that no budget is exceeded. Owned by the fleet's thread.
 */
public final class PoolAllocator implements TargetPolicy {
    static final long MIN_SOLVE_INTERVAL_US = 200_000;
    /** Upper bound of the interval, since conditions such as the time of day change without an event. */
    private static final long MAX_SOLVE_INTERVAL_US = 1_000_000;

    private static final int HEADROOM_DIVISOR = 4; // headroom is a quarter of the demand
    /** Smoothing leaves a rest of a demand that has ended; a rest up to this many connections gets no connection. */
    private static final double NEGLIGIBLE_DEMAND = 0.25;

    /**
     * The inputs besides demand.
     *
     * @param policy the active policy, empty if there is none
     * @param engines engines that budgets apply to
     * @param zones zones of the gateways that take part, by name
     */
    public record Input(Optional<Policy> policy, List<PoolEngine> engines, Map<String, String> zones) {
        /** No policy, engines or members. */
        public static final Input NONE = new Input(Optional.empty(), List.of(), Map.of());
    }

    private final Map<String, Map<SlotName, Integer>> demands = new TreeMap<>(); // by id of the kind's limit
    private final Map<String, Long> capacities = new HashMap<>(); // for tenants, after reserves, by limit id
    private Input input = Input.NONE;
    private Allocation allocation; // null until the active policy was solved
    private PoolTargets targets = PoolTargets.NONE;
    private boolean isInputChanged;
    private boolean isTruncated; // the table has no room for all limits of the policy
    private long lastSolveUs = Long.MIN_VALUE / 2;

    /** Sets the inputs. A change of the policy discards the allocation. */
    public void setInput(Input next) {
        if (!next.equals(input)) {
            if (!next.policy().equals(input.policy())) {
                allocation = null;
                capacities.clear();
            }
            input = next;
            demands.keySet()
                    .removeIf(limit -> next.engines().stream()
                            .noneMatch(engine -> limit.equals(PoolLimitIds.KIND + engine.kind())));
            isInputChanged = true;
        }
    }

    /**
     * Solves if the interval has passed.
     *
     * @param nowUs monotonic time (us)
     * @param state the state by which conditions of the policy are evaluated
     * @return whether the targets may have changed
     */
    public boolean solve(long nowUs, FleetState state) {
        long elapsedUs = nowUs - lastSolveUs;
        if (input.policy().isEmpty()
                || input.engines().isEmpty()
                || elapsedUs < (isInputChanged ? MIN_SOLVE_INTERVAL_US : MAX_SOLVE_INTERVAL_US)) {
            return false;
        }
        isInputChanged = false;
        lastSolveUs = nowUs;
        try {
            Allocation next = PoolSolver.solve(
                    input.policy().get(), solverInput(state), allocation == null ? Allocation.NONE : allocation);
            boolean isDifferent = allocation == null
                    || !next.rows().equals(allocation.rows())
                    || !next.cells().equals(allocation.cells())
                    || !next.budgets().equals(allocation.budgets());
            if (isDifferent && (allocation == null || !next.unmetFloors().equals(allocation.unmetFloors()))) {
                next.unmetFloors()
                        .forEach(unmet -> Logger.warn(
                                "fleet: pool policy, line {}: floor of {}: {} connections requested, {} kept",
                                unmet.line(),
                                unmet.selector(),
                                unmet.demanded(),
                                unmet.allocated()));
            }
            allocation = next;
            next.budgets()
                    .forEach(budget -> capacities.put(
                            budget.limit().id(), (long) budget.capacity().available()));
            targets = new PoolTargets(next, input.engines());
            return isDifferent;
        } catch (IllegalArgumentException e) {
            Logger.error("fleet: pool budgets cannot be divided, the last allocation stays: {}", e.getMessage());
            return false;
        }
    }

    private SolverInput solverInput(FleetState state) {
        List<SolverInput.Gateway> gateways = new ArrayList<>();
        input.zones().forEach((name, zone) -> gateways.add(new SolverInput.Gateway(name, zone)));
        List<SolverInput.Engine> engines = input.engines().stream()
                .filter(PoolEngine::up)
                .map(engine -> new SolverInput.Engine(engine.name(), engine.kind(), false))
                .toList();
        boolean hasHeadroom = hasHeadroom();
        List<SolverInput.Demand> all = new ArrayList<>();
        demands.forEach((limit, demandBySlot) -> demandBySlot.forEach((slot, demand) -> {
            if (input.zones().containsKey(slot.member()) && all.size() < SolverInput.MAX_DEMANDS) {
                all.add(new SolverInput.Demand(
                        slot.tenant(),
                        "",
                        slot.member(),
                        limit.substring(PoolLimitIds.KIND.length()),
                        Math.min(SolverInput.MAX_CONNECTIONS, hasHeadroom ? demand + headroom(demand) : demand)));
            }
        }));
        return new SolverInput(state, gateways, engines, all);
    }

    /** Connections beyond the demand, so that the next query need not wait for a grant: a quarter, at least one. */
    private static int headroom(int demand) {
        return Math.max(1, demand / HEADROOM_DIVISOR);
    }

    /** Whether every budget has room for the headroom of all slots. */
    private boolean hasHeadroom() {
        long fleetDemand = 0;
        for (Map.Entry<String, Map<SlotName, Integer>> entry : demands.entrySet()) {
            long kindDemand = entry.getValue().values().stream()
                    .mapToLong(demand -> (long) demand + headroom(demand))
                    .sum();
            fleetDemand += kindDemand;
            if (kindDemand > capacities.getOrDefault(entry.getKey(), Long.MAX_VALUE)) {
                return false;
            }
        }
        return fleetDemand <= capacities.getOrDefault(Limit.FLEET.id(), Long.MAX_VALUE);
    }

    /**
     * The limits of the policy that the quota table should have. An amount is never below the sum of the floors that
     * gateways hold: floors must be lowered first, since a partitioned gateway uses its own.
     *
     * @param table the quota table
     * @param otherLimits number of limits that do not come from the policy
     */
    public List<LimitSpec> limits(QuotaTable table, int otherLimits) {
        if (input.policy().isPresent() && (input.engines().isEmpty() || allocation == null)) {
            return table.specs().values().stream()
                    .filter(spec -> PoolLimitIds.isPool(spec.id()))
                    .toList();
        }
        List<LimitSpec> specs = new ArrayList<>();
        int maxLimits = Math.max(0, LimitCommandCodec.MAX_LIMITS - otherLimits);
        List<String> ids = input.policy().isEmpty()
                ? List.of()
                : PoolLimitIds.of(input.policy().get(), input.engines()).stream()
                        .sorted((a, b) ->
                                Boolean.compare(a.startsWith(PoolLimitIds.ENGINE), b.startsWith(PoolLimitIds.ENGINE)))
                        .toList();
        if (ids.size() > maxLimits && !isTruncated) {
            Logger.error(
                    "fleet: pool policy needs {} limits, {} are allowed; engines without their limit run no queries",
                    ids.size(),
                    maxLimits);
        }
        isTruncated = ids.size() > maxLimits;
        for (String id : ids.subList(0, Math.min(maxLimits, ids.size()))) {
            LimitRow row = table.limits().get(id);
            long amount = capacities.getOrDefault(id, (long) SolverInput.MAX_CONNECTIONS);
            specs.add(new LimitSpec(
                    id,
                    LimitScope.WHOLE_FLEET,
                    LimitUnit.CONNECTIONS,
                    Math.max(amount, row == null ? 0 : row.floorSum()),
                    0));
        }
        return specs;
    }

    @Override
    public boolean appliesTo(LimitSpec limit) {
        return PoolLimitIds.isPool(limit.id());
    }

    @Override
    public List<Target> targets(long nowUs, LimitSpec limit, long amount, List<SlotDemand> slotDemands) {
        if (limit.id().startsWith(PoolLimitIds.KIND)) {
            Map<SlotName, Integer> demandBySlot = new TreeMap<>();
            slotDemands.forEach(slotDemand -> demandBySlot.put(slotDemand.slot(), (int)
                    Math.min(SolverInput.MAX_CONNECTIONS, Math.ceil(slotDemand.demand() - NEGLIGIBLE_DEMAND))));
            isInputChanged |= !demandBySlot.equals(demands.put(limit.id(), demandBySlot));
        }
        List<Target> result = new ArrayList<>(slotDemands.size());
        double sum = 0;
        for (SlotDemand slotDemand : slotDemands) {
            Target target = targets.target(limit.id(), slotDemand.slot());
            sum += target.share();
            result.add(target);
        }
        long available = Math.min(amount, capacities.getOrDefault(limit.id(), Long.MAX_VALUE));
        if (sum > available) { // gateways that are not alive hold the rest
            double factor = available / sum;
            result.replaceAll(target ->
                    new Target(target.share() * factor, (long) Math.min(target.floor(), target.share() * factor)));
        }
        return result;
    }
}
