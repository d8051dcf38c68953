package sandpaddle.fleet.node.loop;

import java.util.ArrayList;
import java.util.List;
import sandpaddle.decision.settings.DecisionSettings;
import sandpaddle.decision.settings.Idempotency;
import sandpaddle.fleet.view.AttemptCounters;
import sandpaddle.fleet.view.FleetView;
import sandpaddle.fleet.view.LimitSlot;
import sandpaddle.query.FleetCoordination;

/**
 * Selects the attempts to withdraw after a lease expired: the latest first, until the floors cover the rest. Attempts
 * that are not idempotent stay; their quotas outlive the lease.
 */
final class ExcessAttempts {
    private ExcessAttempts() {}

    /** The ids of the attempts to withdraw; {@code attempts} are in the order of their start. */
    static List<String> of(
            FleetView view,
            AttemptCounters counters,
            TenantNumbers tenants,
            DecisionSettings site,
            List<FleetCoordination.InFlightAttempt> attempts,
            long nowUs) {
        long[] excess = new long[view.slots().size()];
        for (int i = 0; i < excess.length; i++) {
            excess[i] = view.slots().get(i).counts() == LimitSlot.Counts.RUNNING
                    ? counters.running(i) - view.quota(i, nowUs)
                    : 0;
        }
        List<String> withdrawn = new ArrayList<>();
        for (int index = attempts.size() - 1; index >= 0; index--) {
            FleetCoordination.InFlightAttempt attempt = attempts.get(index);
            int[] slots = counters.slots(attempt.classIndex(), tenants.countedName(attempt.tenant()), attempt.engine());
            if (isOver(slots, excess)
                    && site.classes().get(attempt.classIndex()).idempotency() == Idempotency.IDEMPOTENT) {
                withdrawn.add(attempt.id());
                for (int slot : slots) {
                    excess[slot]--;
                }
            }
        }
        return withdrawn;
    }

    private static boolean isOver(int[] slots, long[] excess) {
        for (int slot : slots) {
            if (excess[slot] > 0) {
                return true;
            }
        }
        return false;
    }
}
