package sandpaddle.fleet.node.loop;

import java.util.HashMap;
import java.util.Map;
import sandpaddle.fleet.limit.rate.TokenBucket;
import sandpaddle.fleet.view.FleetView;
import sandpaddle.fleet.view.LimitSlot;

/**
 * The token buckets of the rate limits, kept by limit id so that they survive a renumbering of the slots. Owned by the
 * event loop.
 */
final class RateBuckets {
    private Map<String, TokenBucket> byLimit = new HashMap<>();
    private TokenBucket[] bySlot = new TokenBucket[0];

    /** Switches to the slots and rates of a view. A bucket whose burst changed is replaced by an empty one. */
    void adoptView(FleetView view, long nowUs) {
        Map<String, TokenBucket> next = new HashMap<>();
        bySlot = new TokenBucket[view.slots().size()];
        for (int i = 0; i < bySlot.length; i++) {
            LimitSlot slot = view.slots().get(i);
            if (slot.counts().isRate()) {
                long burst = view.quotas().get(i).burst();
                TokenBucket previous = byLimit.get(slot.id());
                TokenBucket bucket = previous != null && previous.burst() == Math.max(TokenBucket.UNIT, burst)
                        ? previous
                        : new TokenBucket(nowUs, burst);
                bucket.setRate(nowUs, view.quota(i, nowUs));
                next.put(slot.id(), bucket);
                bySlot[i] = bucket;
            }
        }
        byLimit = next;
    }

    /** Whether the view has no rate limits. */
    boolean isEmpty() {
        return byLimit.isEmpty();
    }

    /** Cost of a start in tokens. Work above the capacity of the bucket is admitted when the bucket is full. */
    private static long cost(TokenBucket bucket, LimitSlot slot, long workMs) {
        long costInTokens =
                slot.counts() == LimitSlot.Counts.WORK ? Math.max(1, workMs) * TokenBucket.UNIT : TokenBucket.UNIT;
        return Math.min(costInTokens, bucket.burst());
    }

    /**
     * Takes the cost of a start from the buckets of all its slots, or from none.
     *
     * @param view the view last adopted
     * @param slots slots that cover the attempt
     * @param workMs estimated work (ms) of the query
     * @param nowUs monotonic time (us)
     * @return whether the start is admitted
     */
    boolean tryTake(FleetView view, int[] slots, long workMs, long nowUs) {
        for (int slot : slots) {
            TokenBucket bucket = bySlot[slot];
            if (bucket != null
                    && bucket.availableAtUs(nowUs, cost(bucket, view.slots().get(slot), workMs)) > nowUs) {
                return false;
            }
        }
        for (int slot : slots) {
            TokenBucket bucket = bySlot[slot];
            if (bucket != null) {
                bucket.tryTake(nowUs, cost(bucket, view.slots().get(slot), workMs));
            }
        }
        return true;
    }

    /** Number of starts, or ms of work, that a slot permits now. */
    long starts(int slot, long nowUs) {
        TokenBucket bucket = bySlot[slot];
        return bucket.availableAtUs(nowUs, TokenBucket.UNIT) > nowUs ? 0 : bucket.wholeUnits(nowUs);
    }

    /** Monotonic time (us) at which a slot permits a start again, {@link Long#MAX_VALUE} if never at this rate. */
    long nextReadyUs(int slot, long nowUs) {
        return bySlot[slot].availableAtUs(nowUs, TokenBucket.UNIT);
    }
}
