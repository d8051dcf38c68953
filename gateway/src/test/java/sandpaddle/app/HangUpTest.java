package sandpaddle.app;

import static org.testng.Assert.assertTrue;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;
import sun.misc.Signal;

public class HangUpTest {
    /** Guards against the end of the JVM on SIGHUP. */
    @Test
    public void theSignalRunsTheTaskEachTimeAndTheProcessLives() throws Exception {
        CountDownLatch twice = new CountDownLatch(2);
        assertTrue(ServeCommand.onHangUp(twice::countDown));
        Signal.raise(new Signal("HUP"));
        for (int i = 0; i < 500 && twice.getCount() > 1; i++) { // two at once may count as one
            twice.await(10, TimeUnit.MILLISECONDS);
        }
        Signal.raise(new Signal("HUP"));
        assertTrue(twice.await(5, TimeUnit.SECONDS));
    }
}
