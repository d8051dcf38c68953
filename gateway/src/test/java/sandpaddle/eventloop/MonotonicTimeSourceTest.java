package sandpaddle.eventloop;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import org.testng.annotations.Test;

/** The time of the event loop. */
public class MonotonicTimeSourceTest {
    @Test
    public void timeNeverDecreasesAndRunsWithTheMonotonicClock() {
        MonotonicTimeSource clock = MonotonicTimeSource.system();
        long startedNs = System.nanoTime();
        Instant first = clock.instant();
        Instant last = first;
        for (int i = 0; i < 100_000; i++) {
            Instant now = clock.instant();
            assertFalse(now.isBefore(last));
            last = now;
        }
        Duration elapsed = Duration.ofNanos(System.nanoTime() - startedNs);
        assertTrue(Duration.between(first, last).compareTo(elapsed) <= 0);
        assertTrue(first.isAfter(Instant.EPOCH));
    }
}
