package sandpaddle.crossing;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import org.testng.annotations.Test;

/** A repeat against the end of its window. Row R1 of crossings.md. */
public class RepeatWindowTest {

    /** R1. Guards against a repeat that was decided in its window and whose connection comes up after it. */
    @Test
    public void aRepeatIsNotWrittenAfterItsWindow() throws Exception {
        for (int late : new int[] {50, 240}) {
            try (Crossing x = new Crossing()) {
                x.list("Ready");
                Caller c = x.ready();
                c.send(Caller.query("window", 1, 9000));
                x.until(() -> x.worker.calls("POST") == 1);
                x.clock.pass(Duration.ofMillis(250)); // the window is 400 ms
                x.worker.answer("POST", Worker.FAILED);
                x.settle(); // it is decided, and waits for its connection
                x.clock.pass(Duration.ofMillis(late));
                x.settle();
                assertEquals(x.worker.calls("POST"), late < 150 ? 1 : 0, "after " + late + " ms");
            }
        }
    }
}
