package sandpaddle.eventloop;

import java.time.Duration;
import java.time.Instant;

/**
 * The time of an {@link EventLoop}: real time that has passed since an arbitrary origin. It never decreases, and it
 * does not change when the wall clock is set. Its instants cannot be compared with the times of other processes, of
 * peers or of files; a {@link java.time.Clock} cannot take its place.
 */
public interface MonotonicTimeSource {
    /** The current time. */
    Instant instant();

    /** A source that reads the machine's monotonic clock; its resolution is that of {@link System#nanoTime}. */
    static MonotonicTimeSource system() {
        // an origin after the epoch, so that a time shortly before the process started is positive
        return startingAt(Instant.EPOCH.plus(Duration.ofDays(1)));
    }

    /** Like {@link #system}, with the present as the given time. */
    static MonotonicTimeSource startingAt(Instant origin) {
        long originNs = System.nanoTime();
        return () -> origin.plusNanos(System.nanoTime() - originNs);
    }
}
