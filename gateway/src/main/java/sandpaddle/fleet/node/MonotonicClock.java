package sandpaddle.fleet.node;

import java.util.function.LongSupplier;

/**
 * Monotonic time in microseconds since the creation of this clock. Thread-safe. All threads of a gateway share one
 * clock for the decisions of the fleet, so a lease expires at the same time on each of them.
 */
public final class MonotonicClock implements LongSupplier {
    private static final long NANOS_PER_MICRO = 1000;

    private final long startNs = System.nanoTime();

    /** The current time (us). */
    public long now() {
        return (System.nanoTime() - startNs) / NANOS_PER_MICRO;
    }

    @Override
    public long getAsLong() {
        return now();
    }
}
