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
 * Computes the quotas for the decision module: the granted ones less the orphaned attempts. Also computes the
 * Retry-After for clients. Owned by the event loop.
 */
final class AllowanceCalculator {
    private static final int UNLIMITED = Integer.MAX_VALUE;
    private static final int MAX_BLOCKED_QUOTAS = 4096; // beyond it, starts are rejected one by one by tryStartAttempt

    private static final Set<String> ANY_ENGINE = Set.of(""); // the empty name stands for a quota on all engines

    private final RateBuckets buckets;
    private final TenantIndexes tenants;
    private final long leaseUs;

    /** Creates a calculator; {@code leaseUs} is the maximum Retry-After. */
    AllowanceCalculator(RateBuckets buckets, TenantIndexes tenants, long leaseUs) {
        this.buckets = buckets;
        this.tenants = tenants;
        this.leaseUs = leaseUs;
    }

    /**
     * Calculates the current quotas. Orphaned attempts reduce them, since the decision module no longer counts them.
     *
     * @param view the view in force
     * @param counters running attempts by slot
     * @param orphaned attempts that an engine may still run
     * @param listed engines that the endpoint list shows as up
     * @param nowUs monotonic time (us)
     */
    QuotasChanged calculate(
            FleetView view, AttemptCounters counters, OrphanedAttempts orphaned, Set<String> listed, long nowUs) {
        List<Quota> all = new ArrayList<>();
        long[] orphanedBySlot = orphaned.bySlot(counters, view.slots().size());
        long retryAfterUs = 0;
        for (int i = 0; i < view.slots().size(); i++) {
            LimitSlot slot = view.slots().get(i);
            int tenant = slot.tenant() == null ? -1 : tenants.indexOrMinusOne(slot.tenant());
            if (slot.tenant() != null && tenant < 0) {
                continue; // no query of this tenant was received, so the decision module has no index for it
            }
            if (slot.poolScope() != null
                    && (slot.tenant() == null
                            || slot.poolScope().engines() != null
                                    && !slot.poolScope().engines().containsAll(listed))) {
                if (counters.running(i) >= view.quota(i, nowUs)) {
                    addExhausted(slot, listed, all);
                }
            } else if (slot.counts().isRate()) {
                all.add(new Quota(
                        slot.classIndex(), tenant, slot.engine(), UNLIMITED, saturatedInt(buckets.starts(i, nowUs))));
                retryAfterUs = Math.max(retryAfterUs, buckets.nextReadyUs(i, nowUs) - nowUs);
            } else {
                all.add(new Quota(
                        slot.classIndex(),
                        tenant,
                        slot.engine(),
                        saturatedInt(Math.max(0, view.quota(i, nowUs) - orphanedBySlot[i])),
                        UNLIMITED));
            }
        }
        if (!view.perKeySlots().isEmpty()) {
            Set<String> existingIds = new HashSet<>();
            view.slots().forEach(slot -> existingIds.add(slot.id()));
            view.perKeySlots().stream()
                    .filter(perKeySlot -> !perKeySlot.isPrefix())
                    .forEach(perKeySlot -> addMissingSlots(perKeySlot, existingIds, listed, all));
        }
        return new QuotasChanged(all, Math.min(retryAfterUs, leaseUs));
    }

    /**
     * Adds a quota of 0 for each combination of tenant and engine that an exhausted slot of a pool budget covers. The
     * decision module has no quotas on sets of tenants or engines.
     */
    private void addExhausted(LimitSlot slot, Set<String> listed, List<Quota> all) {
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
                        slot.classIndex(),
                        tenants.indexOrMinusOne(tenant),
                        engine.isEmpty() ? null : engine,
                        0,
                        UNLIMITED));
            }
        }
    }

    /** Adds a quota of 0 for each engine or tenant that a per-key limit covers and that has no slot in it yet. */
    private void addMissingSlots(LimitSlot perKeySlot, Set<String> existingIds, Set<String> listed, List<Quota> all) {
        boolean byTenant = LimitSlot.EACH.equals(perKeySlot.tenant());
        boolean byEngine = LimitSlot.EACH.equals(perKeySlot.engine());
        for (String tenant : byTenant ? tenants.all() : List.of("")) {
            for (String engine : byEngine ? listed : Set.of("")) {
                String id = perKeySlot.id() + (byTenant ? "|" + tenant : "") + (byEngine ? "|" + engine : "");
                if (!existingIds.contains(id)) {
                    String slotTenant = byTenant ? tenant : perKeySlot.tenant();
                    all.add(new Quota(
                            perKeySlot.classIndex(),
                            slotTenant == null ? -1 : tenants.indexOrMinusOne(slotTenant),
                            byEngine ? engine : perKeySlot.engine(),
                            0,
                            UNLIMITED));
                }
            }
        }
    }

    private static int saturatedInt(long value) {
        return (int) Math.min(UNLIMITED, value);
    }
}
