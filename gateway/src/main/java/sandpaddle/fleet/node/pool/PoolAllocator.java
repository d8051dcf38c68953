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
 * The leader's part in dividing pools: makes each budget of the active policy a limit of the fleet, and computes the
 * target of each slot. It solves every {@value #EVERY_US} us at most, and only where demand, engines, gateways, the
 * policy or the fleet's state changed. Targets are only wishes: that a budget is never exceeded is enforced by the
 * quota table.
 */
public final class PoolAllocator implements TargetPolicy {
    static final long EVERY_US = 200_000;
    private static final long AGAIN_US = 1_000_000; // conditions such as the time of day change without a sign
    private static final int SPARE_PART = 4;
    private static final double FADED = 0.25; // what evening out leaves of a demand that is over takes no connection

    /** What the leader knows besides demand; {@code zones}: of the gateways that take part, by name. */
    public record Known(Optional<Policy> policy, List<PoolEngine> engines, Map<String, String> zones) {
        public static final Known NOTHING = new Known(Optional.empty(), List.of(), Map.of());
    }

    private final Map<String, Map<SlotName, Integer>> demands = new TreeMap<>(); // by the limit of a kind
    private final Map<String, Long> amounts = new HashMap<>(); // what each budget left for tenants last
    private Known known = Known.NOTHING;
    private Allocation allotment;
    private PoolTargets targets = PoolTargets.NONE;
    private boolean changed;
    private boolean isCut;
    private long solvedAt = Long.MIN_VALUE / 2;

    /** What is known from here on. */
    public void known(Known next) {
        if (!next.equals(known)) {
            if (!next.policy().equals(known.policy())) {
                allotment = null;
                amounts.clear();
            }
            known = next;
            demands.keySet()
                    .removeIf(l -> next.engines().stream().noneMatch(e -> l.equals(PoolLimitIds.KIND + e.kind())));
            changed = true;
        }
    }

    /** Solves anew where it is due; whether the targets may be others now. */
    public boolean solve(long nowUs, FleetState state) {
        long since = nowUs - solvedAt;
        if (known.policy().isEmpty() || known.engines().isEmpty() || since < (changed ? EVERY_US : AGAIN_US)) {
            return false;
        }
        changed = false;
        solvedAt = nowUs;
        try {
            Allocation next = PoolSolver.solve(
                    known.policy().get(), solverInput(state), allotment == null ? Allocation.NONE : allotment);
            boolean other = allotment == null
                    || !next.rows().equals(allotment.rows())
                    || !next.cells().equals(allotment.cells())
                    || !next.budgets().equals(allotment.budgets());
            if (other && (allotment == null || !next.unmetFloors().equals(allotment.unmetFloors()))) {
                next.unmetFloors()
                        .forEach(u -> Logger.warn(
                                "fleet: pool policy, line {}: floor of {}: {} asked for, {} kept",
                                u.line(),
                                u.selector(),
                                u.demanded(),
                                u.allocated()));
            }
            allotment = next;
            next.budgets()
                    .forEach(room -> amounts.put(
                            room.limit().id(), (long) room.capacity().available()));
            targets = new PoolTargets(next, known.engines());
            return other;
        } catch (IllegalArgumentException e) {
            Logger.error("fleet: pools stay divided as they are: {}", e.getMessage());
            return false;
        }
    }

    private SolverInput solverInput(FleetState state) {
        List<SolverInput.Gateway> gateways = new ArrayList<>();
        known.zones().forEach((name, zone) -> gateways.add(new SolverInput.Gateway(name, zone)));
        List<SolverInput.Engine> engines = known.engines().stream()
                .filter(PoolEngine::up)
                .map(e -> new SolverInput.Engine(e.name(), e.kind(), false))
                .toList();
        boolean spare = hasSpare();
        List<SolverInput.Demand> all = new ArrayList<>();
        demands.forEach((limit, of) -> of.forEach((slot, n) -> {
            if (known.zones().containsKey(slot.member()) && all.size() < SolverInput.MAX_DEMANDS) {
                all.add(new SolverInput.Demand(
                        slot.tenant(),
                        "",
                        slot.member(),
                        limit.substring(PoolLimitIds.KIND.length()),
                        Math.min(SolverInput.MAX_CONNECTIONS, spare ? n + more(n) : n)));
            }
        }));
        return new SolverInput(state, gateways, engines, all);
    }

    /** So that the next query needs no new quota: one more, or a quarter. */
    private static int more(int demand) {
        return Math.max(1, demand / SPARE_PART);
    }

    /** Whether every budget could carry that for all. */
    private boolean hasSpare() {
        long fleet = 0;
        for (Map.Entry<String, Map<SlotName, Integer>> e : demands.entrySet()) {
            long kind = e.getValue().values().stream()
                    .mapToLong(n -> (long) n + more(n))
                    .sum();
            fleet += kind;
            if (kind > amounts.getOrDefault(e.getKey(), Long.MAX_VALUE)) {
                return false;
            }
        }
        return fleet <= amounts.getOrDefault(Limit.FLEET.id(), Long.MAX_VALUE);
    }

    /**
     * The limits of the policy as they should stand in the table. An amount is never below the floors that gateways
     * hold: these come down first, since whoever is cut off uses them.
     */
    public List<LimitSpec> limits(QuotaTable table, int others) {
        if (known.policy().isPresent() && (known.engines().isEmpty() || allotment == null)) {
            return table.specs().values().stream()
                    .filter(s -> PoolLimitIds.isPool(s.id()))
                    .toList();
        }
        List<LimitSpec> specs = new ArrayList<>();
        int room = Math.max(0, LimitCommandCodec.MAX_LIMITS - others);
        List<String> ids = known.policy().isEmpty()
                ? List.of()
                : PoolLimitIds.of(known.policy().get(), known.engines()).stream()
                        .sorted((a, b) ->
                                Boolean.compare(a.startsWith(PoolLimitIds.ENGINE), b.startsWith(PoolLimitIds.ENGINE)))
                        .toList();
        if (ids.size() > room && !isCut) {
            Logger.error(
                    "fleet: {} budgets of engines, kinds and the fleet, {} limits at most; nothing may run at the "
                            + "engines past that",
                    ids.size(),
                    room);
        }
        isCut = ids.size() > room;
        for (String id : ids.subList(0, Math.min(room, ids.size()))) {
            LimitRow row = table.limits().get(id);
            long amount = amounts.getOrDefault(id, (long) SolverInput.MAX_CONNECTIONS);
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
    public List<Target> targets(long nowUs, LimitSpec limit, long amount, List<SlotDemand> claims) {
        if (limit.id().startsWith(PoolLimitIds.KIND)) {
            Map<SlotName, Integer> asked = new TreeMap<>();
            claims.forEach(c ->
                    asked.put(c.slot(), (int) Math.min(SolverInput.MAX_CONNECTIONS, Math.ceil(c.demand() - FADED))));
            changed |= !asked.equals(demands.put(limit.id(), asked));
        }
        List<Target> wish = new ArrayList<>(claims.size());
        double sum = 0;
        for (SlotDemand claim : claims) {
            Target target = targets.of(limit.id(), claim.slot());
            sum += target.share();
            wish.add(target);
        }
        long max = Math.min(amount, amounts.getOrDefault(limit.id(), Long.MAX_VALUE));
        if (sum > max) { // gateways that are not heard hold some of it
            double part = max / sum;
            wish.replaceAll(t -> new Target(t.share() * part, (long) Math.min(t.floor(), t.share() * part)));
        }
        return wish;
    }
}
