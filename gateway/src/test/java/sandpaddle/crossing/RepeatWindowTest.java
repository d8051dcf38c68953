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

    /** R2. Guards against work for nobody: its connection comes up in the turn in which its time is over. */
    @Test
    public void anAttemptIsNotWrittenOnceItsTimeIsOver() throws Exception {
        try (Crossing x = new Crossing()) {
            x.list("Ready");
            Caller c = x.ready();
            c.write(Caller.query("once", 1, 600), 0);
            x.clock.pass(Duration.ofMillis(1)); // it opens its connection in the next turn, and that is up at once
            x.turn();
            x.clock.pass(Duration.ofMillis(601));
            x.settle();
            assertEquals(x.worker.connections(), 1);
            assertEquals(x.worker.calls("POST"), 0);
            assertEquals(c.answers().size(), 1);
        }
    }
}
