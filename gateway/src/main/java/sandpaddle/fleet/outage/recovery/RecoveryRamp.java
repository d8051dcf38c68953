package sandpaddle.fleet.outage.recovery;

import java.util.SplittableRandom;
import java.util.function.LongToDoubleFunction;
import sandpaddle.fleet.outage.plan.FetchLimit;
import sandpaddle.overload.RetryAfterScheduler;

/**
 * Limits the load on the engines after an outage. Clients that were rejected in the outage get a Retry-After from the
 * slot scheduler that also spreads retry storms; refreshes of stored answers get a small fraction of the remaining
 * capacity.
 *
 * <p>Both are limited by the warm capacity: the work per second of engines whose caches are filled, so that a cold
 * engine gets no more than it can serve. Clients have precedence: refreshes get at most their fraction, and nothing
 * while live traffic or a retry storm needs the capacity. Not thread-safe.
 */
public final class RecoveryRamp {
    private final RecoveryRampSettings settings;
    private final RetryAfterScheduler retryScheduler;

    /** Creates a ramp without capacity; {@link #forecast} provides it. */
    public RecoveryRamp(RecoveryRampSettings settings, SplittableRandom random) {
        this.settings = settings;
        retryScheduler = new RetryAfterScheduler(
                settings.slotUs(), settings.minRetryAfterUs(), settings.maxRetryAfterUs(), random);
    }

    /**
     * Updates the forecast of the capacity. Call it several times a second while clients wait.
     *
     * @param nowUs monotonic time in microseconds
     * @param warmCapacity warm capacity in microseconds of work per second, by monotonic time; 0 before the expected
     *     return
     */
    public void forecast(long nowUs, LongToDoubleFunction warmCapacity) {
        retryScheduler.forecast(
                nowUs, timeUs -> settings.clientFraction() * Math.max(0, warmCapacity.applyAsDouble(timeUs)));
    }

    /** Returns the Retry-After (us) of a client whose request brings this work (us). */
    public long retryAfterUs(long nowUs, double workUs) {
        return retryScheduler.schedule(nowUs, workUs);
    }

    /**
     * Returns the limit of refreshes; the work of clients due in the current slot has precedence.
     *
     * @param nowUs monotonic time in microseconds
     * @param warmCapacity current warm capacity in microseconds of work per second
     * @param isBusy whether live traffic or a retry storm needs the capacity
     */
    public FetchLimit refreshLimit(long nowUs, double warmCapacity, boolean isBusy) {
        double clientWorkUsPerSecond = retryScheduler.expectedWorkUs(nowUs) * 1e6 / settings.slotUs();
        double availableRate = Math.min(
                settings.refreshFraction() * warmCapacity,
                (settings.clientFraction() + settings.refreshFraction()) * warmCapacity - clientWorkUsPerSecond);
        if (isBusy || !(availableRate >= 1)) {
            return FetchLimit.NONE;
        }
        return new FetchLimit((int) Math.max(1, Math.min(1024, Math.ceil(availableRate / 1e6))), (long) availableRate);
    }
}
