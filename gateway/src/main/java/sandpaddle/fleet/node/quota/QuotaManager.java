package sandpaddle.fleet.node.quota;

import java.lang.invoke.VarHandle;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import sandpaddle.fleet.limit.LimitScope;
import sandpaddle.fleet.limit.LimitSettings;
import sandpaddle.fleet.limit.LimitSpec;
import sandpaddle.fleet.limit.lease.QuotaHolder;
import sandpaddle.fleet.limit.lease.Quotas;
import sandpaddle.fleet.limit.lease.SavedFloor;
import sandpaddle.fleet.limit.wire.Heartbeat;
import sandpaddle.fleet.limit.wire.QuotaGrant;
import sandpaddle.fleet.node.pool.PoolEngine;
import sandpaddle.fleet.node.pool.PoolSlots;
import sandpaddle.fleet.pool.model.Policy;
import sandpaddle.fleet.view.FleetView;
import sandpaddle.fleet.view.LimitSlot;
import sandpaddle.fleet.view.Publication;
import sandpaddle.fleet.view.SharedState;

/**
 * Manages this gateway's quotas: publishes granted quotas in the view, and reports the event loop's counters in
 * heartbeats. The view is published before the counters are read, so that no attempt starts on quota that a heartbeat
 * gives back. Not thread-safe: owned by the fleet's thread.
 */
public final class QuotaManager {
    private final QuotaHolder holder;
    private final SlotNumbering numbering;
    private final MeasuredUsage usage;
    private final String zone;
    private final List<String> classes;
    private final Publication<FleetView> views;
    private final PoolSlots poolSlots = new PoolSlots();
    private final Set<String> engines = new HashSet<>();
    private final Set<String> tenants = new HashSet<>();
    private Collection<LimitSpec> localLimits = List.of();
    private boolean policyIsBehind; // the policy in force cannot be read here, so pools are restricted to floors

    /**
     * Creates the quotas of a process that starts at {@code nowUs}.
     *
     * @param member name of this gateway
     * @param incarnation the process, not 0
     * @param zone zone of this gateway
     * @param classes names of the request classes, by index
     * @param settings the limits' settings; see {@link #withoutFloorFile}
     * @param floors floors that an earlier process stored
     * @param shared the state that is shared with the event loop
     * @param nowUs monotonic time (us)
     */
    public QuotaManager(
            String member,
            long incarnation,
            String zone,
            List<String> classes,
            LimitSettings settings,
            List<SavedFloor> floors,
            SharedState shared,
            long nowUs) {
        this.zone = zone;
        this.classes = classes;
        views = shared.views();
        numbering = new SlotNumbering(classes, zone);
        usage = new MeasuredUsage(numbering, shared.usages(), shared.connections());
        holder = new QuotaHolder(member, incarnation, nowUs, settings, usage, floors);
    }

    /**
     * The settings for a gateway that stores no floors. The max age of stored floors is 0, so a reduced floor counts at
     * once: there is no file that could restore the former floor after a restart.
     */
    public static LimitSettings withoutFloorFile(LimitSettings settings) {
        return new LimitSettings(
                settings.heartbeatUs(),
                settings.leaseUs(),
                settings.engineForgetUs(),
                settings.nonIdempotentGraceUs(),
                settings.schedulingSlackUs(),
                settings.resendIntervalUs(),
                0,
                settings.clockDrift(),
                settings.floorShare(),
                settings.rebalanceBand(),
                settings.guards());
    }

    /** The quotas of this process by limit and tenant. */
    public QuotaHolder holder() {
        return holder;
    }

    /**
     * Sets the limits of this gateway's own file. They apply until the limits of the fleet are received; until then
     * their quotas are 0.
     */
    public void setLocalLimits(Collection<LimitSpec> limits) {
        localLimits = List.copyOf(limits);
    }

    /** Sets the engines in the endpoint list. */
    public void setEngines(Collection<String> listed) {
        engines.clear();
        engines.addAll(listed);
        usage.setEngineCount(listed.size());
    }

    /** Sets the engines that the budgets of pools apply to. */
    public void setPoolEngines(List<PoolEngine> all) {
        poolSlots.setEngines(all);
    }

    /**
     * Sets the pool policy.
     *
     * @param policy the policy to apply; empty if there is none
     * @param isBehind whether another policy is in force, which cannot be read here: pools are restricted to floors
     */
    public void setPoolPolicy(Optional<Policy> policy, boolean isBehind) {
        poolSlots.setPolicy(policy);
        policyIsBehind = isBehind;
    }

    /** Records a tenant that sent a query to this gateway. */
    public void addTenant(String tenant) {
        tenants.add(tenant);
        poolSlots.addTenant(tenant);
    }

    private Collection<LimitSpec> limitsInForce() {
        Map<String, LimitSpec> limits = holder.limits();
        return limits.isEmpty() ? localLimits : limits.values();
    }

    /** Applies a grant of the leader. */
    public void receiveGrant(long nowUs, QuotaGrant grant) {
        holder.receiveGrant(nowUs, grant);
    }

    /** The next heartbeat to the leader; {@link #publish} must be called before it. */
    public Heartbeat nextHeartbeat(long nowUs) {
        usage.sample(nowUs);
        return holder.nextHeartbeat(nowUs);
    }

    /**
     * The limits in force by id. Limits with wildcards are followed by an instance for each known engine, tenant and
     * class, whether or not it has a quota yet.
     */
    private Map<String, LimitSpec> limitsWithInstances() {
        Map<String, LimitSpec> limitsById = new LinkedHashMap<>();
        for (LimitSpec spec : limitsInForce()) {
            limitsById.put(spec.id(), spec);
            if (spec.scope().hasWildcard()) {
                addInstances(spec, limitsById);
            }
        }
        return limitsById;
    }

    private void addInstances(LimitSpec spec, Map<String, LimitSpec> limitsById) {
        LimitScope scope = spec.scope();
        for (String engine : LimitScope.EACH.equals(scope.engine()) ? engines : Set.of("")) {
            if (!engine.isEmpty() && !LimitScope.isName(engine)) {
                continue; // a heartbeat with this name could not be decoded, so the engine gets no quota
            }
            for (String tenant : LimitScope.EACH.equals(scope.tenant()) ? tenants : Set.of("")) {
                for (String requestClass : LimitScope.EACH.equals(scope.requestClass()) ? classes : List.of("")) {
                    holder.limitFor(
                                    spec,
                                    new LimitScope(
                                            zone,
                                            scope.requestClass() == null
                                                    ? null
                                                    : requestClass.isEmpty() ? scope.requestClass() : requestClass,
                                            scope.tenant() == null ? null : tenant.isEmpty() ? scope.tenant() : tenant,
                                            scope.engine() == null ? null : engine.isEmpty() ? scope.engine() : engine))
                            .ifPresent(instance -> limitsById.put(instance.id(), instance));
                }
            }
        }
    }

    /**
     * Publishes the current view for the event loop.
     *
     * @param verdicts conditions of engines
     * @param outdated data groups whose stored answers are outdated
     * @param isolation whether this gateway's zone is isolated
     * @return the published view
     */
    public FleetView publish(
            List<FleetView.Verdict> verdicts, Map<String, Long> outdated, FleetView.Isolation isolation) {
        Map<String, LimitSpec> limitsById = limitsWithInstances();
        Map<String, List<LimitSlot>> slotsByPool = poolSlots.byLimit(limitsById.keySet());
        if (numbering.update(limitsById.values(), slotsByPool)) {
            slotsByPool.values().forEach(slots -> slots.forEach(slot -> holder.openSlot(slot.id(), slot.poolTenant())));
        }
        Quotas quotas = holder.quotas();
        List<FleetView.SlotQuota> slotQuotas = new ArrayList<>();
        for (LimitSlot slot : numbering.latest().slots()) {
            Quotas.SlotCeilings ceilings = quotas.slotCeilings(new Quotas.Key(slot.id(), slot.poolTenant()));
            boolean isPool = slotsByPool.containsKey(slot.id());
            slotQuotas.add(new FleetView.SlotQuota(
                    isPool && policyIsBehind ? Math.min(ceilings.leased(), ceilings.unleased()) : ceilings.leased(),
                    ceilings.unleased(),
                    isPool ? 0 : limitsById.get(slot.id()).burst()));
        }
        FleetView view = new FleetView(
                numbering.latest().number(),
                numbering.latest().slots(),
                slotQuotas,
                numbering.perKeySlots(),
                holder.usableFromUs(),
                quotas.leaseExpiresAtUs(),
                verdicts,
                outdated,
                isolation);
        views.publish(view);
        usage.onViewPublished(view);
        VarHandle.fullFence(); // the counters are read only after the view is published, see AttemptCounters.tryStart
        return view;
    }
}
