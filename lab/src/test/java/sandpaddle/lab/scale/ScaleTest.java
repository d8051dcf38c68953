package sandpaddle.lab.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Runs a small fleet of real control machines and simulated gateways; checks invariants that hold under any load. */
class ScaleTest {
    private static final ScalePlan.Size SIZE = new ScalePlan.Size(20, 32, 4, 6, 2, 3);

    @Test
    void invariantsHoldWhileATenthOfTheGatewaysRestart(@TempDir Path folder) throws IOException {
        String classes = System.getProperty("surefire.test.class.path", System.getProperty("java.class.path"));
        Map<String, Object> results = ScaleCommand.execute(
                new ScalePlan(
                        SIZE,
                        Fault.RESTART_TENTH,
                        1,
                        Duration.ofSeconds(1),
                        Duration.ofSeconds(8),
                        7,
                        Path.of(classes),
                        folder),
                "test");

        assertTrue(
                (long) results.get("limitOverMost") <= (long) results.get("limitOverBound"),
                "limit exceeded: " + results);
        assertEquals(0L, results.get("agreedLost"), "agreed version lost: " + results);
        assertEquals(0L, results.get("olderVersions"), "gateway went back to an older version: " + results);
        assertEquals(0L, results.get("wrongVerdicts"), "verdict on a healthy engine: " + results);
        assertTrue((long) results.get("attempts") > 0, "no attempt started: " + results);
        assertTrue(results.get("configLastMs") != null, "no configuration change was received: " + results);
        assertTrue(results.get("restartLastMs") != null, "no restarted gateway got a lease: " + results);
    }
}
