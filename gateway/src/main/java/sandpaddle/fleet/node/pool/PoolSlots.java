package sandpaddle.fleet.node.pool;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import sandpaddle.fleet.pool.model.Policy;
import sandpaddle.fleet.pool.solve.Limit;
import sandpaddle.fleet.view.LimitSlot;

/**
 * This gateway's slots in the limits of a pool policy. In the limits of the fleet and of kinds it has one for each
 * tenant that the policy names and that sent a query here, and one for all other tenants; in the limit of an engine it
 * has one for all tenants. The slots are created anew only after a change of the policy, engines, tenants or limits.
 * Bounded by {@link #MAX_SLOTS}; tenants beyond it share the slot of the others. Owned by the fleet's thread.
 */
public final class PoolSlots {
    static final int MAX_SLOTS = 16_384;

    /** Per-key limit of a view with a pool policy: no attempt may run on an engine without a slot in a kind's limit. */
    public static final LimitSlot REQUIRED =
            new LimitSlot(PoolLimitIds.KIND, "", -1, null, LimitSlot.EACH, LimitSlot.Counts.CONNECTIONS);

    private Optional<Policy> policy = Optional.empty();
    private List<PoolEngine> engines = List.of();
    private final Set<String> tenants = new TreeSet<>(Set.of(Policy.DEFAULT_TENANT));
    private Set<String> poolIdsInForce = Set.of(); // limits in force that come from a policy
    private Map<String, List<LimitSlot>> slots; // null until created after a change

    /** Sets the active policy, empty if there is none. */
    public void setPolicy(Optional<Policy> next) {
        policy = next;
        slots = null;
    }

    /** Sets the engines that budgets apply to. */
    public void setEngines(List<PoolEngine> next) {
        if (!next.equals(engines)) {
            engines = List.copyOf(next);
            slots = null;
        }
    }

    /** Adds a tenant that sent a query to this gateway. */
    public void addTenant(String tenant) {
        if (tenants.size() < MAX_SLOTS && tenants.add(tenant)) {
            slots = null;
        }
    }

    /**
     * The slots of each limit of the policy by limit id; empty if there is no such limit.
     *
     * @param limitIds ids of the limits in force
     */
    public Map<String, List<LimitSlot>> byLimit(Collection<String> limitIds) {
        Set<String> poolIds = new TreeSet<>();
        limitIds.stream().filter(PoolLimitIds::isPool).forEach(poolIds::add);
        if (slots == null || !poolIds.equals(poolIdsInForce)) {
            poolIdsInForce = poolIds;
            slots = createSlots();
        }
        return slots;
    }

    private Map<String, List<LimitSlot>> createSlots() {
        Set<String> ids = new TreeSet<>(poolIdsInForce);
        policy.ifPresent(active -> ids.addAll(PoolLimitIds.of(active, engines)));
        Map<String, Set<String>> enginesByKindLimit = new TreeMap<>();
        Set<String> engineLimitIds = new TreeSet<>();
        for (PoolEngine engine : engines) {
            engineLimitIds.add(PoolLimitIds.ENGINE + engine.name());
            enginesByKindLimit
                    .computeIfAbsent(PoolLimitIds.KIND + engine.kind(), kind -> new TreeSet<>())
                    .add(engine.name());
        }
        Set<String> policyTenants = policy.map(Policy::tenants).orElse(Set.of());
        Set<String> slotTenants = new TreeSet<>();
        int tenantLimitCount = (int)
                ids.stream().filter(id -> !id.startsWith(PoolLimitIds.ENGINE)).count();
        for (String tenant : tenants) {
            if ((slotTenants.size() + 1L) * tenantLimitCount <= MAX_SLOTS && policyTenants.contains(tenant)) {
                slotTenants.add(tenant);
            }
        }
        Set<String> excluded = Set.copyOf(slotTenants);
        Map<String, List<LimitSlot>> created = new LinkedHashMap<>();
        for (String id : ids) {
            if (engineLimitIds.contains(id)) {
                created.put(
                        id,
                        List.of(new LimitSlot(
                                id,
                                PoolLimitIds.ALL,
                                -1,
                                null,
                                id.substring(PoolLimitIds.ENGINE.length()),
                                LimitSlot.Counts.CONNECTIONS)));
            } else if (id.equals(Limit.FLEET.id()) || enginesByKindLimit.containsKey(id)) {
                Set<String> covered =
                        enginesByKindLimit.containsKey(id) ? Set.copyOf(enginesByKindLimit.get(id)) : null;
                List<LimitSlot> limitSlots = new ArrayList<>();
                for (String tenant : slotTenants) {
                    limitSlots.add(new LimitSlot(
                            id,
                            tenant,
                            -1,
                            tenant,
                            null,
                            LimitSlot.Counts.CONNECTIONS,
                            new LimitSlot.PoolScope(covered, null)));
                }
                limitSlots.add(new LimitSlot(
                        id,
                        Policy.DEFAULT_TENANT,
                        -1,
                        null,
                        null,
                        LimitSlot.Counts.CONNECTIONS,
                        new LimitSlot.PoolScope(covered, excluded)));
                created.put(id, List.copyOf(limitSlots));
            } else {
                created.put(id, List.of()); // counts nothing here, such as an engine that is not listed here
            }
        }
        return created;
    }
}
