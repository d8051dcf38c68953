package sandpaddle.fleet.verdict.judge;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import sandpaddle.fleet.verdict.evidence.Evidence;

/**
 * Tenants over their share: the sum of what the gateways with fresh numbers say. Of each other gateway at most the
 * share itself counts, so a wrong figure of one does not condemn alone; this gateway's own figure counts whole.
 * Hysteresis: over from the share on, no more under nine tenths of it. Bound: the tenants with a share.
 */
final class TenantRule {
    private static final double LEAVE = 0.9; // of the share

    private final Set<String> over = new TreeSet<>();

    Set<String> evaluate(Map<String, Double> shares, Iterable<Evidence> uses, String self, Set<Guard> guards) {
        Map<String, Double> sums = new HashMap<>();
        for (Evidence use : uses) {
            String tenant = use.subject().name();
            Double share = shares.get(tenant);
            if (share != null) {
                boolean whole = use.reporter().equals(self) || !guards.contains(Guard.NOT_ALONE);
                sums.merge(tenant, whole ? use.amount() : Math.min(use.amount(), share), Double::sum);
            }
        }
        over.retainAll(shares.keySet());
        shares.forEach((tenant, share) -> {
            double sum = sums.getOrDefault(tenant, 0.0);
            if (sum > share) {
                over.add(tenant);
            } else if (sum < LEAVE * share || sum == 0) {
                over.remove(tenant);
            }
        });
        return Set.copyOf(over);
    }
}
