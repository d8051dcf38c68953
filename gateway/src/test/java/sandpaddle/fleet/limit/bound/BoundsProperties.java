package sandpaddle.fleet.limit.bound;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import sandpaddle.fleet.limit.LimitScope;
import sandpaddle.fleet.limit.LimitSettings;
import sandpaddle.fleet.limit.LimitSpec;
import sandpaddle.fleet.limit.LimitUnit;
import sandpaddle.fleet.limit.rate.TokenBucket;

class BoundsProperties {
    @Property(seed = "41", tries = 200)
    void ratesAreExceededByOneBurstPerGatewayAtMost(@ForAll long seed) {
        Random random = new Random(seed);
        int gateways = 1 + random.nextInt(5);
        long limit = 2000 + random.nextInt(50_000);
        LimitSpec spec = new LimitSpec("r", LimitScope.WHOLE_FLEET, LimitUnit.RATE, limit, random.nextInt(8000));
        long bound = new LimitBounds(LimitSettings.DEFAULTS, 100_000).maxOvershoot(spec, gateways);
        TokenBucket[] buckets = new TokenBucket[gateways];
        long[] rates = new long[gateways];
        for (int i = 0; i < gateways; i++) {
            buckets[i] = new TokenBucket(0, spec.burst());
        }
        long nowUs = 0;
        long admitted = 0;
        double min = 0; // of admitted minus the limit until then, so that the bound is checked for every window
        double max = 0;
        for (int step = 0; step < 2000; step++) {
            nowUs += random.nextInt(20_000);
            int i = random.nextInt(gateways);
            if (random.nextInt(20) == 0) { // quotas move; the sum never exceeds the limit
                long others = 0;
                for (int k = 0; k < gateways; k++) {
                    others += k == i ? 0 : rates[k];
                }
                rates[i] = random.nextLong(limit - others + 1);
                buckets[i].setRate(nowUs, rates[i]);
            }
            if (random.nextInt(500) == 0) {
                buckets[i] = new TokenBucket(nowUs, spec.burst()); // the gateway restarts
                buckets[i].setRate(nowUs, rates[i]);
            }
            min = Math.min(min, admitted - nowUs * (limit / 1e6));
            while (buckets[i].tryTake(nowUs, TokenBucket.UNIT)) {
                admitted += TokenBucket.UNIT;
            }
            max = Math.max(max, admitted - nowUs * (limit / 1e6) - min);
        }
        assertTrue(max <= bound + 1e-3, "limit exceeded by " + max + "; bound " + bound);
    }

    @Property(seed = "42", tries = 200)
    void bucketStatesWhenTokensAreAvailable(@ForAll long seed) {
        Random random = new Random(seed);
        TokenBucket bucket = new TokenBucket(0, 5000);
        bucket.setRate(0, 1 + random.nextInt(9000));
        long readyAtUs = bucket.availableAtUs(0, 3000);
        assertTrue(!new TokenBucket(0, 5000).tryTake(0, 1), "a new bucket is empty");
        assertTrue(
                !bucket.tryTake(readyAtUs - 2, 3000) && bucket.tryTake(readyAtUs + 1, 3000),
                "available at " + readyAtUs);
        assertEquals(
                Long.MAX_VALUE, bucket.availableAtUs(readyAtUs + 1, 9000), "more than the burst is never available");
    }

    @Example
    void boundsFollowTheirFormulas() {
        LimitBounds bounds = new LimitBounds(LimitSettings.DEFAULTS, 100_000);
        LimitSpec running = new LimitSpec("q", LimitScope.WHOLE_FLEET, LimitUnit.RUNNING, 200, 0);
        assertEquals(0, bounds.maxOvershoot(running, 100));
        assertEquals(8_531_156, bounds.lowerDelayPartitionedUs()); // (6000 + 200) / 0.995 + 2300 ms
        assertEquals(8_585_428, LimitSettings.DEFAULTS.reclaimDelayUs()); // 8500 * 1.005 / 0.995 ms
        assertTrue(bounds.describe(List.of(running), 10).get(0).startsWith("limit q 200: exceeded by at most 0"));
    }
}
