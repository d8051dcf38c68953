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
        Random r = new Random(seed);
        int gateways = 1 + r.nextInt(5);
        long limit = 2000 + r.nextInt(50_000);
        LimitSpec spec = new LimitSpec("r", LimitScope.WHOLE_FLEET, LimitUnit.RATE, limit, r.nextInt(8000));
        long bound = new LimitBounds(LimitSettings.DEFAULTS, 100_000).maxOvershoot(spec, gateways);
        TokenBucket[] buckets = new TokenBucket[gateways];
        long[] rates = new long[gateways];
        for (int i = 0; i < gateways; i++) {
            buckets[i] = new TokenBucket(0, spec.burst());
        }
        long now = 0;
        long passed = 0;
        double min = 0; // of passed minus what the limit allows: any window counts, not the first only
        double max = 0;
        for (int step = 0; step < 2000; step++) {
            now += r.nextInt(20_000);
            int i = r.nextInt(gateways);
            if (r.nextInt(20) == 0) { // quotas move: down first
                long others = 0;
                for (int k = 0; k < gateways; k++) {
                    others += k == i ? 0 : rates[k];
                }
                rates[i] = r.nextLong(limit - others + 1);
                buckets[i].setRate(now, rates[i]);
            }
            if (r.nextInt(500) == 0) {
                buckets[i] = new TokenBucket(now, spec.burst()); // a restart
                buckets[i].setRate(now, rates[i]);
            }
            min = Math.min(min, passed - now * (limit / 1e6));
            while (buckets[i].tryTake(now, TokenBucket.UNIT)) {
                passed += TokenBucket.UNIT;
            }
            max = Math.max(max, passed - now * (limit / 1e6) - min);
        }
        assertTrue(max <= bound + 1e-3, max + " over, stated " + bound);
    }

    @Property(seed = "42", tries = 200)
    void bucketTellsWhenTokensAreAvailable(@ForAll long seed) {
        Random r = new Random(seed);
        TokenBucket bucket = new TokenBucket(0, 5000);
        bucket.setRate(0, 1 + r.nextInt(9000));
        long ready = bucket.availableAtUs(0, 3000);
        assertTrue(!new TokenBucket(0, 5000).tryTake(0, 1), "a start has no burst");
        assertTrue(!bucket.tryTake(ready - 2, 3000) && bucket.tryTake(ready + 1, 3000), "at " + ready);
        assertEquals(Long.MAX_VALUE, bucket.availableAtUs(ready + 1, 9000), "more than it ever holds");
    }

    @Example
    void boundsFollowTheirFormulas() {
        LimitBounds bounds = new LimitBounds(LimitSettings.DEFAULTS, 100_000);
        LimitSpec running = new LimitSpec("q", LimitScope.WHOLE_FLEET, LimitUnit.RUNNING, 200, 0);
        assertEquals(0, bounds.maxOvershoot(running, 100));
        assertEquals(8_531_156, bounds.lowerDelayPartitionedUs()); // (6000 + 200) / 0.995 + 2300 ms
        assertEquals(8_585_428, LimitSettings.DEFAULTS.reclaimDelayUs()); // 8500 * 1.005 / 0.995 ms
        assertTrue(bounds.describe(List.of(running), 10).get(0).startsWith("limit q 200: over at most 0"));
    }
}
