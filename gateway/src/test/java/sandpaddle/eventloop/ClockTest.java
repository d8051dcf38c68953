package sandpaddle.eventloop;

import static org.testng.Assert.assertEquals;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.time.ZoneOffset;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;

/** Tests of the event loop's clock and timers. */
public class ClockTest {
    /** The time of the decision module must not decrease when the system clock is set back. */
    @Test
    public void timeDoesNotDecreaseWhenSystemClockIsSetBack() {
        Instant[] systemTime = {Instant.ofEpochSecond(100)};
        MonotonicUnixClock clock = new MonotonicUnixClock(new Clock() {
            @Override
            public ZoneOffset getZone() {
                return ZoneOffset.UTC;
            }

            @Override
            public Clock withZone(java.time.ZoneId zone) {
                return this;
            }

            @Override
            public Instant instant() {
                return systemTime[0];
            }
        });
        assertEquals(clock.now(), Instant.ofEpochSecond(100));
        systemTime[0] = Instant.ofEpochSecond(90);
        assertEquals(clock.now(), Instant.ofEpochSecond(100));
    }

    @Test
    public void dueTimersRunInOrderUnlessCancelled() {
        TimerQueue timers = new TimerQueue();
        List<String> ran = new ArrayList<>();
        Instant start = Instant.ofEpochSecond(1);
        timers.schedule(start.plusMillis(2), () -> ran.add("late"));
        timers.schedule(start, () -> ran.add("first"));
        timers.schedule(start, () -> ran.add("second"));
        timers.schedule(start, () -> ran.add("never")).cancel();
        timers.runDue(start.plusMillis(1));
        assertEquals(ran, List.of("first", "second"));
        assertEquals(timers.untilNext(start.plusMillis(1), Duration.ofSeconds(1)), Duration.ofMillis(1));
    }
}
