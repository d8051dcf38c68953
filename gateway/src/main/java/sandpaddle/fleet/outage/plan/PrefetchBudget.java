package sandpaddle.fleet.outage.plan;

/**
 * Limits of a prefetch.
 *
 * @param bytes bytes that may be stored
 * @param workUsPerSecond engine work, in microseconds per second
 * @param plannedFraction fraction of the engine work that a plan may use, above 0 and at most 1; the rest makes up for
 *     times in which fetching is throttled
 * @param safetyMs time between the deadline of the planned fetches and the earliest expected loss of the zone's link
 * @param delayedOnsetMs if less time than this is left until the deadline, or the deadline has passed, a plan starts at
 *     once as much work as the budget allows for this time; 0 to plan no work after the deadline
 */
public record PrefetchBudget(
        long bytes, long workUsPerSecond, double plannedFraction, long safetyMs, long delayedOnsetMs) {
    /**
     * Creates a budget that plans no work after the deadline of the planned fetches.
     *
     * @param bytes bytes that may be stored
     * @param workUsPerSecond engine work, in microseconds per second
     * @param plannedFraction fraction of the engine work that a plan may use
     * @param safetyMs time between the deadline of the planned fetches and the earliest expected loss of the link
     */
    public PrefetchBudget(long bytes, long workUsPerSecond, double plannedFraction, long safetyMs) {
        this(bytes, workUsPerSecond, plannedFraction, safetyMs, 0);
    }

    /**
     * Validates the values.
     *
     * @throws IllegalArgumentException if a value is out of its range
     */
    public PrefetchBudget {
        if (bytes < 0
                || workUsPerSecond < 0
                || !(plannedFraction > 0 && plannedFraction <= 1)
                || safetyMs < 0
                || delayedOnsetMs < 0) {
            throw new IllegalArgumentException(
                    "invalid prefetch budget: bytes " + bytes + ", workUsPerSecond " + workUsPerSecond
                            + ", plannedFraction " + plannedFraction + ", safetyMs " + safetyMs + ", delayedOnsetMs "
                            + delayedOnsetMs + "; expected none negative and 0 < plannedFraction <= 1");
        }
    }

    /** Returns this budget with another {@code delayedOnsetMs}. */
    PrefetchBudget withDelayedOnset(long horizonMs) {
        return new PrefetchBudget(bytes, workUsPerSecond, plannedFraction, safetyMs, horizonMs);
    }

    /** Returns the engine work (us) that may be planned within a duration (ms). */
    double workUs(long durationMs) {
        return Math.max(0, durationMs) / 1000.0 * workUsPerSecond * plannedFraction;
    }

    /** Returns how long the budget needs for planned engine work (us), in milliseconds. */
    long durationMs(double workUs) {
        return workUsPerSecond == 0
                ? Long.MAX_VALUE / 4
                : (long) Math.ceil(workUs / (workUsPerSecond * plannedFraction) * 1000);
    }
}
