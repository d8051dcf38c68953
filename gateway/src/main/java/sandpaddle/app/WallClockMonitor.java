package sandpaddle.app;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.function.LongSupplier;
import sandpaddle.log.LogEvent;

/**
 * Logs when the wall clock was set, so that the times of the log's lines can be compared across it. Not thread-safe.
 */
final class WallClockMonitor {
    /** Smaller changes are those of a clock that is being adjusted gradually. */
    private static final Duration MIN_STEP = Duration.ofMillis(100);

    private final Clock wallClock;
    private final LongSupplier nanoTime;
    private Duration offset;

    /**
     * Creates a monitor.
     *
     * @param wallClock the system's wall clock
     * @param nanoTime a monotonic clock in nanoseconds, of any origin
     */
    WallClockMonitor(Clock wallClock, LongSupplier nanoTime) {
        this.wallClock = wallClock;
        this.nanoTime = nanoTime;
        offset = currentOffset();
    }

    private Duration currentOffset() {
        return Duration.between(Instant.EPOCH, wallClock.instant()).minusNanos(nanoTime.getAsLong());
    }

    /** Logs a warning if the wall clock was set since the last check. */
    void check() {
        Duration next = currentOffset();
        Duration step = next.minus(offset);
        offset = next;
        if (step.abs().compareTo(MIN_STEP) >= 0) {
            LogEvent.of("wall clock was set").with("by_ms", step.toMillis()).warn();
        }
    }
}
