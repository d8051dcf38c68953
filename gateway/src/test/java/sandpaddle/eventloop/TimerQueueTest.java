package sandpaddle.eventloop;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;

/** Tests of the event loop's timers. */
public class TimerQueueTest {
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
