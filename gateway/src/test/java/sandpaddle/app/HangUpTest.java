package sandpaddle.app;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;
import sun.misc.Signal;

/** Handling of SIGHUP. */
public class HangUpTest {
    /** Without a handler, the JVM exits on SIGHUP. */
    @Test
    public void runsTheTaskOnEachSignal() throws Exception {
        CountDownLatch twice = new CountDownLatch(2);
        if (isIgnored()) { // as under nohup; the JVM keeps ignoring the signal
            assertFalse(ServeCommand.handleHangUp(twice::countDown));
            return;
        }
        assertTrue(ServeCommand.handleHangUp(twice::countDown));
        Signal.raise(new Signal("HUP"));
        for (int i = 0; i < 500 && twice.getCount() > 1; i++) { // signals at the same time may be merged into one
            twice.await(10, TimeUnit.MILLISECONDS);
        }
        Signal.raise(new Signal("HUP"));
        assertTrue(twice.await(5, TimeUnit.SECONDS));
    }

    /** Whether this process was started with SIGHUP ignored (proc(5), {@code SigIgn}: the lowest bit is signal 1). */
    private static boolean isIgnored() throws IOException {
        String mask = Files.readAllLines(Path.of("/proc/self/status")).stream()
                .filter(line -> line.startsWith("SigIgn:"))
                .findFirst()
                .orElseThrow()
                .substring("SigIgn:".length())
                .strip();
        return (Long.parseUnsignedLong(mask, 16) & 1) != 0;
    }
}
