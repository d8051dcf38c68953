package sandpaddle.fleet.verdict.judge;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import sandpaddle.fleet.verdict.evidence.EvidenceRecord;

/**
 * Finds the tenants whose usage, summed over the gateways that reported it, exceeds their quota. The usage reported by
 * another gateway counts up to the quota, so that a single wrong report cannot put a tenant over its quota; the usage
 * at this gateway counts in full. Hysteresis: a tenant over its quota stays so until its usage is below {@link
 * #RELEASE_FRACTION} of it. Memory: the tenants with a quota.
 */
final class TenantQuotaRule {
    private static final double RELEASE_FRACTION = 0.9;

    private final Set<String> tenantsOverQuota = new TreeSet<>();

    /**
     * Returns the tenants over their quota.
     *
     * @param quotas quota of each tenant in the whole fleet
     * @param usages usage of the tenants as reported by each gateway
     * @param self name of this gateway
     * @param guards guards that apply
     */
    Set<String> evaluate(
            Map<String, Double> quotas, Iterable<EvidenceRecord> usages, String self, Set<VerdictGuard> guards) {
        Map<String, Double> usageByTenant = new HashMap<>();
        for (EvidenceRecord usage : usages) {
            String tenant = usage.subject().name();
            Double quota = quotas.get(tenant);
            if (quota != null) {
                boolean countsInFull =
                        usage.reporter().equals(self) || !guards.contains(VerdictGuard.NO_SINGLE_REPORTER);
                usageByTenant.merge(tenant, countsInFull ? usage.usage() : Math.min(usage.usage(), quota), Double::sum);
            }
        }
        tenantsOverQuota.retainAll(quotas.keySet());
        quotas.forEach((tenant, quota) -> {
            double totalUsage = usageByTenant.getOrDefault(tenant, 0.0);
            if (totalUsage > quota) {
                tenantsOverQuota.add(tenant);
            } else if (totalUsage < RELEASE_FRACTION * quota || totalUsage == 0) {
                tenantsOverQuota.remove(tenant);
            }
        });
        return Set.copyOf(tenantsOverQuota);
    }
}
