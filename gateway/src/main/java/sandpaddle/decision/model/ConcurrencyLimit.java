package sandpaddle.decision.model;

/** Limit on the concurrent threads of all gateways on one engine or on the fleet, and the signals that adjust it. */
public final class ConcurrencyLimit {
    /** Minimum interval between adjustments (us): about the time until an adjustment affects latencies. */
    public static final long ADJUST_INTERVAL_US = 250_000;

    /** Weight of one attempt in the exponential average of the slowdown, which covers about ten attempts. */
    private static final double SLOWDOWN_WEIGHT = 0.1;

    private double threads;
    private double logSlowdown;
    private long lastAdjustedAtUs = EventContext.NEVER;
    private long lastOverloadAtUs = EventContext.NEVER;
    private long queueFullUntilUs = EventContext.NEVER;

    /** Sets the limit (threads) of an engine that has restarted, and resets its slowdown. */
    public void restart(double newThreads) {
        threads = newThreads;
        logSlowdown = 0;
    }

    /** Sets the limit (threads) after a change of the number of cores. */
    public void resize(double newThreads) {
        threads = newThreads;
    }

    /** Adds the natural logarithm of an attempt's slowdown to the exponential average. */
    public void recordSlowdown(double logOfSlowdown) {
        logSlowdown += SLOWDOWN_WEIGHT * (logOfSlowdown - logSlowdown);
    }

    /** Raises the limit, up to a maximum (threads). */
    public void raise(double increase, double max) {
        threads = Math.min(threads + increase, max);
    }

    /** Multiplies the limit by a factor, down to a minimum (threads), at most once per adjustment interval. */
    public void cut(long nowUs, double factor, double min) {
        if (tryAdjust(nowUs)) {
            threads = Math.max(min, threads * factor);
        }
    }

    /** Returns whether the adjustment interval has passed, and if so records an adjustment. */
    public boolean tryAdjust(long nowUs) {
        if (nowUs - lastAdjustedAtUs <= ADJUST_INTERVAL_US) {
            return false;
        }
        lastAdjustedAtUs = nowUs;
        return true;
    }

    /** Records an overload signal other than latency. */
    public void recordOverload(long nowUs) {
        lastOverloadAtUs = nowUs;
    }

    /** Records that the engine's queue is full, so that nothing is sent until a time (us). */
    public void recordQueueFull(long untilUs) {
        queueFullUntilUs = untilUs;
    }

    /** Returns the limit in threads. */
    public double threads() {
        return threads;
    }

    /** Returns the smoothed natural logarithm of latency over the best latency. */
    public double logSlowdown() {
        return logSlowdown;
    }

    /** Returns the time of the last overload signal other than latency (us). */
    public long lastOverloadAtUs() {
        return lastOverloadAtUs;
    }

    /** Whether the engine is still excluded after it rejected an attempt because its queue is full. */
    public boolean isQueueFull(long nowUs) {
        return nowUs < queueFullUntilUs;
    }
}
