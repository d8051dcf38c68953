package sandpaddle.lab.scale;

import java.time.Duration;
import java.util.SplittableRandom;

/** Generates random queries for one simulated gateway, with Poisson arrivals, and the outcomes at its engines. */
final class SimulatedDemand {
    /** Mean arrival rate of queries at each gateway. */
    static final double QUERIES_PER_SECOND = 5;
    /** Mean number of concurrent queries at each gateway if no limit applied. */
    static final double MEAN_CONCURRENT_QUERIES = 2.5;
    /** How long a query waits for quota before its client gives up. */
    static final Duration QUERY_DEADLINE = Duration.ofMillis(1500);

    private static final double MAX_RUN_SECONDS = 2; // below the time after which engines drop the state of an attempt
    private static final double FAILURE_PROBABILITY = 0.002; // probability, at a healthy engine
    private static final int RETRYABLE_CLASSES = 2; // the request classes that may be retried
    private static final double MICROS_PER_SECOND = 1e6;

    /**
     * One query.
     *
     * @param tenant number of the tenant from 1 on; 0 for none
     * @param run execution time at the engine
     */
    record QuerySpec(int requestClass, int tenant, int engine, Duration run) {}

    private final SplittableRandom random;
    private final int tenants;
    private final int engines;

    SimulatedDemand(SplittableRandom random, int tenants, int engines) {
        this.random = random;
        this.tenants = tenants;
        this.engines = engines;
    }

    /** Draws the time until the next arrival, from an exponential distribution. */
    Duration nextInterval() {
        return exponential(1 / QUERIES_PER_SECOND);
    }

    /** Draws the next query. Its execution time is exponential, truncated at a maximum. */
    QuerySpec nextQuery() {
        Duration run = exponential(MEAN_CONCURRENT_QUERIES / QUERIES_PER_SECOND);
        Duration maximum = Duration.ofNanos((long) (MAX_RUN_SECONDS * 1e9));
        return new QuerySpec(
                random.nextInt(RETRYABLE_CLASSES),
                tenants == 0 ? 0 : 1 + random.nextInt(tenants),
                random.nextInt(engines),
                run.compareTo(maximum) < 0 ? run : maximum);
    }

    /** Draws whether an engine fails a query. */
    boolean fails(boolean engineFailing) {
        return engineFailing || random.nextDouble() < FAILURE_PROBABILITY;
    }

    /** Draws a seed for another random generator. */
    long seed() {
        return random.nextLong();
    }

    private Duration exponential(double meanSeconds) {
        return Duration.ofNanos(1000 * (long) (-Math.log(1 - random.nextDouble()) * meanSeconds * MICROS_PER_SECOND));
    }
}
