package sandpaddle.fleet.limit.rate;

/**
 * A gateway's part of a rate limit as a token bucket. It starts empty, so that a restart gives no second burst. It
 * holds at most the configured burst, or one whole unit if the burst is smaller, as otherwise nothing could ever pass.
 * In any time T a gateway admits at most its burst and the sum of its rate over T; the rates of all gateways sum to the
 * limit at most, so the fleet exceeds it by at most one burst per gateway. Not thread-safe: owned by one event loop.
 */
public final class TokenBucket {
    private static final double US_PER_S = 1e6;
    /** One query or unit of work, in the thousandths that rates and bursts are counted in. */
    public static final long UNIT = 1000;

    private final long burst;
    private double tokens;
    private long refilledAtUs;
    private long rate; // thousandths per second

    /** An empty bucket with rate 0. */
    public TokenBucket(long nowUs, long burst) {
        this.burst = Math.max(UNIT, burst);
        refilledAtUs = nowUs;
    }

    /** Sets the rate from now on, in thousandths per second; tokens until now are added at the former rate. */
    public void setRate(long nowUs, long next) {
        refill(nowUs);
        rate = next;
    }

    private void refill(long nowUs) {
        if (nowUs > refilledAtUs) {
            tokens = Math.min(burst, tokens + (nowUs - refilledAtUs) / US_PER_S * rate);
            refilledAtUs = nowUs;
        }
    }

    /** Takes {@code amount} thousandths if they are available now; otherwise takes nothing. */
    public boolean tryTake(long nowUs, long amount) {
        refill(nowUs);
        if (tokens < amount) {
            return false;
        }
        tokens -= amount;
        return true;
    }

    /**
     * When {@code amount} thousandths are available if the rate does not change (us); {@link Long#MAX_VALUE} if never.
     * Used for Retry-After.
     */
    public long availableAtUs(long nowUs, long amount) {
        refill(nowUs);
        if (tokens >= amount) {
            return nowUs;
        }
        if (rate <= 0 || amount > burst) {
            return Long.MAX_VALUE;
        }
        return nowUs + (long) Math.ceil((amount - tokens) * US_PER_S / rate);
    }

    /** The number of whole units that are available now. */
    public long wholeUnits(long nowUs) {
        refill(nowUs);
        return (long) (tokens / UNIT);
    }

    /** The most that is admitted at once, in thousandths. */
    public long burst() {
        return burst;
    }
}
