package sandpaddle.fleet.limit.allocator;

import java.util.List;
import sandpaddle.fleet.limit.LimitSpec;

/**
 * Decides how some limits are divided among slots, such as the budgets of pools. Implementations are deterministic and
 * have no side effects; they are called on the fleet's thread.
 */
public interface TargetPolicy {
    /** Whether this policy divides this limit; its slots are then those that gateways opened, by tenant. */
    boolean appliesTo(LimitSpec limit);

    /**
     * The target of each slot, in the order of {@code slotDemands}. The shares sum to {@code amount} at most; a floor
     * is at most its share.
     *
     * @param amount what is available for these slots: the limit without the quotas of gateways that are not alive
     */
    List<Target> targets(long nowUs, LimitSpec limit, long amount, List<SlotDemand> slotDemands);

    /** Divides no limit: all are divided by demand, see {@link FairShares}. */
    TargetPolicy NONE = new TargetPolicy() {
        @Override
        public boolean appliesTo(LimitSpec limit) {
            return false;
        }

        @Override
        public List<Target> targets(long nowUs, LimitSpec limit, long amount, List<SlotDemand> slotDemands) {
            return List.of();
        }
    };
}
