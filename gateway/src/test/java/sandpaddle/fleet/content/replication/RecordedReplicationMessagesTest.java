package sandpaddle.fleet.content.replication;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;

import java.util.LinkedHashMap;
import java.util.Map;
import org.junit.jupiter.api.Test;
import sandpaddle.fleet.content.CachedResult;
import sandpaddle.fleet.content.SampleResults;
import sandpaddle.recorded.RecordedFile;

/** Compares encoded replication messages and cached results with those recorded from an earlier version. */
class RecordedReplicationMessagesTest {
    private static final RecordedFile MESSAGES = new RecordedFile("replication-messages.txt");
    private static final RecordedFile RESULTS = new RecordedFile("stored-answers.txt");
    private static final int RESULT_COUNT = 4;

    @Test
    void writesAndReadsMessagesAsRecorded() throws Exception {
        Map<String, byte[]> messages = new LinkedHashMap<>();
        ReplicationMessageCodecProperties.MESSAGES.forEach(
                m -> messages.put("message " + messages.size(), ReplicationMessageCodec.write(m)));
        MESSAGES.checkBytes(messages);
        for (byte[] recorded : MESSAGES.bytes().values()) {
            assertArrayEquals(recorded, ReplicationMessageCodec.write(ReplicationMessageCodec.read(recorded)));
        }
    }

    @Test
    void writesAndReadsResultsAsRecorded() throws Exception {
        Map<String, byte[]> results = new LinkedHashMap<>();
        for (int i = 0; i < RESULT_COUNT; i++) {
            results.put(
                    "answer " + i, SampleResults.result(i, 1000 + i, i / 3.0, i).encode());
        }
        RESULTS.checkBytes(results);
        for (byte[] recorded : RESULTS.bytes().values()) {
            assertArrayEquals(recorded, CachedResult.decode(recorded).encode());
        }
    }
}
