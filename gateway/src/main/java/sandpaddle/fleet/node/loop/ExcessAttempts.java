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
 * Selects the attempts to withdraw when quotas fell without a valid lease: the latest first, until the quotas cover the
 * rest. Attempts that are not idempotent keep running, since they must not run twice; their quotas stay reserved after
 * the lease.
 */
final class ExcessAttempts {
    private ExcessAttempts() {}

    /** Returns the ids of the attempts to withdraw, the latest first; {@code attempts} must be in order of start. */
    static List<String> select(
            FleetView view,
            AttemptCounters counters,
            TenantIndexes tenants,
            DecisionSettings decisionSettings,
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
            if (isAnyExceeded(slots, excess)
                    && decisionSettings.classes().get(attempt.classIndex()).idempotency() == Idempotency.IDEMPOTENT) {
                withdrawn.add(attempt.id());
                for (int slot : slots) {
                    excess[slot]--;
                }
            }
        }
        return withdrawn;
    }

    /** Whether any of these slots runs more attempts than its quota. */
    private static boolean isAnyExceeded(int[] slots, long[] excess) {
        for (int slot : slots) {
            if (excess[slot] > 0) {
                return true;
            }
        }
        return false;
    }
}
