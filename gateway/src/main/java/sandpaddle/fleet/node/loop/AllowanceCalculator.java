package sandpaddle.fleet.node.loop;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import sandpaddle.decision.event.Quota;
import sandpaddle.decision.event.QuotasChanged;
import sandpaddle.fleet.view.AttemptCounters;
import sandpaddle.fleet.view.FleetView;
import sandpaddle.fleet.view.LimitSlot;

/**
 * Computes the quotas for the decision module from the granted ones, minus orphaned attempts, and the Retry-After
 * for clients. Used on the event loop.
 */
final class AllowanceCalculator {
    private static final int UNBOUNDED = Integer.MAX_VALUE;
    private static final int MAX_BLOCKED_QUOTAS = 4096; // further ones are found when an attempt starts

    private static final Set<String> ANY_ENGINE = Set.of("");

    private final RateBuckets buckets;
    private final TenantNumbers tenants;
    private final long leaseUs;

    AllowanceCalculator(RateBuckets buckets, TenantNumbers tenants, long leaseUs) {
        this.buckets = buckets;
        this.tenants = tenants;
        this.leaseUs = leaseUs;
    }

    /** The current quotas; orphaned attempts count although the decision module no longer knows them. */
    QuotasChanged of(
            FleetView view, AttemptCounters counters, OrphanedAttempts orphaned, Set<String> listed, long nowUs) {
        List<Quota> all = new ArrayList<>();
        long[] orphanedBySlot = orphaned.bySlot(counters, view.slots().size());
        long retryAfterUs = 0;
        for (int i = 0; i < view.slots().size(); i++) {
            LimitSlot slot = view.slots().get(i);
            int tenant = slot.tenant() == null ? -1 : tenants.numberOr(slot.tenant());
            if (slot.tenant() != null && tenant < 0) {
                continue; // no query of that tenant was received
            }
            if (slot.poolScope() != null
                    && (slot.tenant() == null
                            || slot.poolScope().engines() != null
                                    && !slot.poolScope().engines().containsAll(listed))) {
                if (counters.running(i) >= view.quota(i, nowUs)) {
                    addFull(slot, listed, all);
                }
            } else if (slot.counts().isRate()) {
                all.add(new Quota(
                        slot.classIndex(), tenant, slot.engine(), UNBOUNDED, saturatedInt(buckets.starts(i, nowUs))));
                retryAfterUs = Math.max(retryAfterUs, buckets.nextReadyUs(i, nowUs) - nowUs);
            } else {
                all.add(new Quota(
                        slot.classIndex(),
                        tenant,
                        slot.engine(),
                        saturatedInt(Math.max(0, view.quota(i, nowUs) - orphanedBySlot[i])),
                        UNBOUNDED));
            }
        }
        if (!view.perKeySlots().isEmpty()) {
            Set<String> existingIds = new HashSet<>();
            view.slots().forEach(slot -> existingIds.add(slot.id()));
            view.perKeySlots().stream()
                    .filter(each -> !each.isPrefix())
                    .forEach(each -> addBlocked(each, existingIds, listed, all));
        }
        return new QuotasChanged(all, Math.min(retryAfterUs, leaseUs));
    }

    /**
     * Blocks each combination of tenant and engine in a used up part of a budget, which the decision module cannot
     * name.
     */
    private void addFull(LimitSlot slot, Set<String> listed, List<Quota> all) {
        boolean coversAllEngines =
                slot.poolScope().engines() == null || slot.poolScope().engines().containsAll(listed);
        int remaining = MAX_BLOCKED_QUOTAS;
        for (String tenant : slot.tenant() != null ? List.of(slot.tenant()) : tenants.all()) {
            if (slot.poolScope().excludedTenants() != null
                    && slot.poolScope().excludedTenants().contains(tenant)) {
                continue;
            }
            for (String engine :
                    coversAllEngines ? ANY_ENGINE : slot.poolScope().engines()) {
                if (remaining-- <= 0) {
                    return;
                }
                all.add(new Quota(
                        slot.classIndex(), tenants.numberOr(tenant), engine.isEmpty() ? null : engine, 0, UNBOUNDED));
            }
        }
    }

    /** Blocks engines or tenants without a slot in a per-key limit. */
    private void addBlocked(LimitSlot each, Set<String> existingIds, Set<String> listed, List<Quota> all) {
        boolean byTenant = LimitSlot.EACH.equals(each.tenant());
        boolean byEngine = LimitSlot.EACH.equals(each.engine());
        for (String tenant : byTenant ? tenants.all() : List.of("")) {
            for (String engine : byEngine ? listed : Set.of("")) {
                String id = each.id() + (byTenant ? "|" + tenant : "") + (byEngine ? "|" + engine : "");
                if (!existingIds.contains(id)) {
                    String whose = byTenant ? tenant : each.tenant();
                    all.add(new Quota(
                            each.classIndex(),
                            whose == null ? -1 : tenants.numberOr(whose),
                            byEngine ? engine : each.engine(),
                            0,
                            UNBOUNDED));
                }
            }
        }
    }

    private static int saturatedInt(long x) {
        return (int) Math.min(UNBOUNDED, x);
    }
}
