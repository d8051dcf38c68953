package sandpaddle.fleet.node.quota;

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
 * This gateway's quotas on the fleet's thread: grants go into the view, the event loop's counts go into the next
 * heartbeat. The view is published before the counts are read, so that nothing starts on quota being given back.
 */
public final class QuotaManager {
    private final QuotaHolder holder;
    private final SlotNumbering numbering;
    private final MeasuredUsage demand;
    private final String zone;
    private final List<String> classes;
    private final Publication<FleetView> views;
    private final PoolSlots pools = new PoolSlots();
    private final Set<String> engines = new HashSet<>();
    private final Set<String> tenants = new HashSet<>();
    private Collection<LimitSpec> localLimits = List.of();
    private boolean behind; // by what this gateway could read, not by what rules

    /** {@code classes}: their names, by number. */
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
        demand = new MeasuredUsage(numbering, shared.usages(), shared.connections());
        holder = new QuotaHolder(member, incarnation, nowUs, settings, demand, floors);
    }

    /** Where no file keeps floors over a restart, one that is lowered is low at once: no older copy could raise it. */
    public static LimitSettings unwritten(LimitSettings s) {
        return new LimitSettings(
                s.heartbeatUs(),
                s.leaseUs(),
                s.engineForgetUs(),
                s.nonIdempotentGraceUs(),
                s.schedulingSlackUs(),
                s.resendIntervalUs(),
                0,
                s.clockDrift(),
                s.floorShare(),
                s.rebalanceBand(),
                s.guards());
    }

    public QuotaHolder holder() {
        return holder;
    }

    /** The limits of this gateway's own file: they bind, with nothing given, until the fleet's are heard. */
    public void localLimits(Collection<LimitSpec> limits) {
        localLimits = List.copyOf(limits);
    }

    /** The engines that are listed now. */
    public void engines(Collection<String> listed) {
        engines.clear();
        engines.addAll(listed);
        demand.engines(listed.size());
    }

    /** The engines as budgets see them. */
    public void poolEngines(List<PoolEngine> all) {
        pools.engines(all);
    }

    /** The pool policy to go by; {@code isBehind}: another one rules, so that no more than floors may be used. */
    public void pool(Optional<Policy> policy, boolean isBehind) {
        pools.policy(policy);
        behind = isBehind;
    }

    /** A tenant that has a query here. */
    public void met(String tenant) {
        tenants.add(tenant);
        pools.met(tenant);
    }

    private Collection<LimitSpec> inForce() {
        Map<String, LimitSpec> limits = holder.limits();
        return limits.isEmpty() ? localLimits : limits.values();
    }

    /** Quotas from the leader. */
    public void granted(long nowUs, QuotaGrant grant) {
        holder.receiveGrant(nowUs, grant);
    }

    /** What to tell the leader; {@link #publish} comes before. */
    public Heartbeat beat(long nowUs) {
        demand.sample(nowUs);
        return holder.nextHeartbeat(nowUs);
    }

    /** The limits that bind here, with one for each engine and tenant that is known, whatever was given for it yet. */
    private Map<String, LimitSpec> all() {
        Map<String, LimitSpec> all = new LinkedHashMap<>();
        for (LimitSpec spec : inForce()) {
            all.put(spec.id(), spec);
            if (spec.scope().hasWildcard()) {
                seen(spec, all);
            }
        }
        return all;
    }

    private void seen(LimitSpec spec, Map<String, LimitSpec> all) {
        LimitScope s = spec.scope();
        for (String engine : LimitScope.EACH.equals(s.engine()) ? engines : Set.of("")) {
            if (!engine.isEmpty() && !LimitScope.isName(engine)) {
                continue; // it cannot be told, and a heartbeat with it could not be read: it stays without a quota
            }
            for (String tenant : LimitScope.EACH.equals(s.tenant()) ? tenants : Set.of("")) {
                for (String cls : LimitScope.EACH.equals(s.requestClass()) ? classes : List.of("")) {
                    holder.limitFor(
                                    spec,
                                    new LimitScope(
                                            zone,
                                            s.requestClass() == null ? null : cls.isEmpty() ? s.requestClass() : cls,
                                            s.tenant() == null ? null : tenant.isEmpty() ? s.tenant() : tenant,
                                            s.engine() == null ? null : engine.isEmpty() ? s.engine() : engine))
                            .ifPresent(made -> all.put(made.id(), made));
                }
            }
        }
    }

    /** The view of now. */
    public FleetView publish(
            List<FleetView.Verdict> verdicts, Map<String, Long> outdated, FleetView.Isolation isolation) {
        Map<String, LimitSpec> byId = all();
        Map<String, List<LimitSlot>> parts = pools.of(byId.keySet());
        if (numbering.use(byId.values(), parts)) {
            parts.values().forEach(of -> of.forEach(slot -> holder.openSlot(slot.id(), slot.sub())));
        }
        Quotas quotas = holder.quotas();
        List<FleetView.SlotQuota> shares = new ArrayList<>();
        for (LimitSlot slot : numbering.latest().slots()) {
            Quotas.SlotCeilings pair = quotas.slotCeilings(new Quotas.Key(slot.id(), slot.sub()));
            boolean pool = parts.containsKey(slot.id());
            shares.add(new FleetView.SlotQuota(
                    pool && behind ? Math.min(pair.leased(), pair.unleased()) : pair.leased(),
                    pair.unleased(),
                    pool ? 0 : byId.get(slot.id()).burst()));
        }
        FleetView view = new FleetView(
                numbering.latest().number(),
                numbering.latest().slots(),
                shares,
                numbering.each(),
                holder.usableFromUs(),
                quotas.leaseExpiresAtUs(),
                verdicts,
                outdated,
                isolation);
        views.publish(view);
        demand.published(view);
        java.lang.invoke.VarHandle.fullFence(); // counts are read after this
        return view;
    }
}
