package sandpaddle.app;

import java.time.Clock;
import java.time.Duration;
import sandpaddle.eventloop.EventLoop;
import sandpaddle.log.LogEvent;

/**
 * Logs when the wall clock was set, so that the times of the log's lines can be compared across it. Confined to the
 * event loop's thread.
 */
final class WallClockMonitor {
    private static final Duration INTERVAL = Duration.ofSeconds(1);

    /** Smaller changes are those of a clock that is being adjusted gradually. */
    private static final Duration MIN_STEP = Duration.ofMillis(100);

    private final Clock wallClock;
    private final EventLoop loop;
    private Duration offset;

    /**
     * Creates a monitor that is not started.
     *
     * @param wallClock the system's wall clock
     * @param loop gives the monotonic time that the wall clock is compared with
     */
    WallClockMonitor(Clock wallClock, EventLoop loop) {
        this.wallClock = wallClock;
        this.loop = loop;
        offset = currentOffset();
    }

    /** Checks the clock every second from now on. */
    void start() {
        loop.scheduleAfter(INTERVAL, () -> {
            check();
            start();
        });
    }

    private Duration currentOffset() {
        return Duration.between(loop.currentTime(), wallClock.instant());
    }

    private void check() {
        Duration next = currentOffset();
        Duration step = next.minus(offset);
        offset = next;
        if (step.abs().compareTo(MIN_STEP) >= 0) {
            LogEvent.of("wall clock was set").with("by_ms", step.toMillis()).warn();
        }
    }
}
