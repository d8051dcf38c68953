package sandpaddle.fleet.outage.plan;

/**
 * Limit on the fetches that may run beside live traffic.
 *
 * @param maxConcurrent largest number of concurrent fetches
 * @param workUsPerSecond engine work that fetches may start, in microseconds per second
 */
public record FetchLimit(int maxConcurrent, long workUsPerSecond) {
    /** No fetch may start: live traffic needs all capacity, or there is a retry storm. */
    public static final FetchLimit NONE = new FetchLimit(0, 0);

    /**
     * Validates the values.
     *
     * @throws IllegalArgumentException if a value is negative
     */
    public FetchLimit {
        if (maxConcurrent < 0 || workUsPerSecond < 0) {
            throw new IllegalArgumentException(
                    "negative fetch limit: maxConcurrent " + maxConcurrent + ", workUsPerSecond " + workUsPerSecond);
        }
    }
}
