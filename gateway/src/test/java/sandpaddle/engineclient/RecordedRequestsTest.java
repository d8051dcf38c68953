package sandpaddle.engineclient;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.Map;
import org.junit.jupiter.api.Test;
import sandpaddle.query.AttemptSpec;
import sandpaddle.query.Query;
import sandpaddle.recorded.RecordedFile;

/** Compares the encoded calls to engines with recorded ones. */
class RecordedRequestsTest {
    private static AttemptSpec spec(double memoryMb, int priority, String operation, String entity) {
        Query query = new Query(
                "report",
                "t-1",
                Duration.ofSeconds(6),
                Duration.ofMillis(5),
                100,
                7,
                "SELECT 1 /* \u00e9 */".getBytes(StandardCharsets.UTF_8),
                "",
                false,
                "tenant",
                "user",
                operation,
                entity);
        return new AttemptSpec(query, memoryMb, priority, Instant.EPOCH, false, false, Instant.EPOCH, () -> true);
    }

    @Test
    void callsAreWrittenAsRecorded() {
        Map<String, byte[]> calls = new LinkedHashMap<>();
        calls.put("start", RequestEncoder.startQuery("10.0.0.1:80", spec(0, 1, "", ""), Duration.ofMillis(1234)));
        calls.put(
                "start with all",
                RequestEncoder.startQuery("10.0.0.1:80", spec(12.34, 3, "op-1", "asset 2"), Duration.ZERO));
        calls.put("page", RequestEncoder.poll("10.0.0.1:80", "t-1", 3));
        calls.put("delete", RequestEncoder.cancel("10.0.0.1:80", "t-1"));
        calls.put("priority", RequestEncoder.setPriority("10.0.0.1:80", "t-1", 2));
        calls.put("load", RequestEncoder.getLoad("10.0.0.1:80"));
        new RecordedFile("engine-calls.txt").checkBytes(calls);
    }
}
