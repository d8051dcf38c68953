package sandpaddle.log;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.tinylog.Level;
import org.tinylog.core.LogEntry;
import org.tinylog.runtime.PreciseTimestamp;

/** {@link LineWriter}: both formats, escaping and limits. */
class LineWriterTest {
    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();

    private String write(LineWriter.Format format, String message, Map<String, String> context, Throwable exception) {
        LineWriter writer = new LineWriter(new PrintStream(bytes, true, StandardCharsets.UTF_8), format);
        writer.write(new LogEntry(
                new PreciseTimestamp(),
                Thread.currentThread(),
                context,
                "sandpaddle.dispatch.Dispatcher",
                "x",
                "Dispatcher.java",
                1,
                null,
                Level.WARN,
                message,
                exception));
        return bytes.toString(StandardCharsets.UTF_8);
    }

    @Test
    void textLineHasTheFieldsAfterTheMessage() {
        String line = write(
                LineWriter.Format.HUMAN, "retry storm", Map.of("bad_per_s", LogEvent.NUMBER_PREFIX + "1.500"), null);
        assertTrue(
                line.matches("\\d\\d:\\d\\d:\\d\\d\\.\\d{3} WARN Dispatcher: retry storm bad_per_s=1\\.500\n"), line);
    }

    @Test
    void jsonLineHasTheFieldsAsMembersAndTraceIdAsString() {
        String line = write(
                LineWriter.Format.JSON,
                "a \"quoted\"\nline\u0000",
                new java.util.TreeMap<>(Map.of("n", LogEvent.NUMBER_PREFIX + "7", "trace", "1111222233334444")),
                null);
        assertTrue(
                line.endsWith("Z\",\"level\":\"warn\",\"from\":\"Dispatcher\","
                        + "\"message\":\"a \\\"quoted\\\"\\nline\\u0000\",\"n\":7,\"trace\":\"1111222233334444\"}\n"),
                line);
        Instant.parse(line.substring("{\"time\":\"".length(), line.indexOf("\",\"level\"")));
    }

    /** Line breaks in input from peers must not forge log lines, nor long input flood the log. */
    @Test
    void entryIsOneLineOfBoundedLength() {
        String line = write(LineWriter.Format.HUMAN, "x\r\nERROR forged: " + "y".repeat(100_000), Map.of(), null);
        assertEquals(1, line.lines().count());
        assertTrue(line.length() < 9000);
    }

    @Test
    void jsonLineContainsTheException() {
        String line = write(LineWriter.Format.JSON, "failed", Map.of(), new IllegalStateException("why"));
        assertTrue(line.contains("\"exception\":\"java.lang.IllegalStateException: why\\n"), line);
        assertEquals(1, line.lines().count());
    }
}
