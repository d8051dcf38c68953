package sandpaddle.fleet.verdict.wire;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import sandpaddle.fleet.verdict.evidence.EvidenceBatch;
import sandpaddle.fleet.verdict.evidence.EvidenceMessage;
import sandpaddle.fleet.verdict.evidence.Finding;
import sandpaddle.fleet.verdict.evidence.Subject;
import sandpaddle.fleet.verdict.evidence.Topic;
import sandpaddle.recorded.RecordedFile;

/** Batches of evidence with every topic and finding are encoded as by earlier versions. */
class RecordedEvidenceTest {
    private static final RecordedFile RECORD = new RecordedFile("evidence.txt");

    @Test
    void batchesAreEncodedAndDecodedAsRecorded() throws Exception {
        Map<String, byte[]> batches = new LinkedHashMap<>();
        batches.put(
                "empty", EvidenceCodec.encode(new EvidenceBatch(5, EvidenceBatch.NO_ECHO, 0, 0, 0, 0, 0, List.of())));
        for (Topic topic : Topic.values()) {
            List<EvidenceMessage> messages = new ArrayList<>();
            for (Finding finding : Finding.values()) {
                if (topic.allows(finding)) {
                    int i = finding.ordinal();
                    messages.add(new EvidenceMessage(
                            new Subject(topic, "e" + i),
                            "g" + i,
                            i,
                            2L * i,
                            finding,
                            7L * i,
                            i,
                            i / 3.0,
                            10L * i,
                            5L * i));
                }
            }
            batches.put(
                    "topic " + topic.ordinal(), EvidenceCodec.encode(new EvidenceBatch(5, 4, 3, 1, 2, 3, 4, messages)));
        }
        RECORD.checkBytes(batches);
        for (byte[] recorded : RECORD.bytes().values()) {
            assertArrayEquals(recorded, EvidenceCodec.encode(EvidenceCodec.decode(recorded)));
        }
    }
}
