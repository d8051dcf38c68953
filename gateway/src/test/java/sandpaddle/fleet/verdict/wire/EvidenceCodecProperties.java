package sandpaddle.fleet.verdict.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import sandpaddle.fleet.verdict.evidence.EvidenceBatch;
import sandpaddle.fleet.verdict.evidence.EvidenceDissemination;
import sandpaddle.fleet.verdict.evidence.EvidenceMessage;
import sandpaddle.fleet.verdict.evidence.Finding;
import sandpaddle.fleet.verdict.evidence.Subject;
import sandpaddle.fleet.verdict.evidence.Topic;
import sandpaddle.fleet.wire.CborIn.FaultyMessageException;

class EvidenceCodecProperties {
    private static EvidenceBatch batch(int recordCount, Finding finding, String name) {
        List<EvidenceMessage> messages = IntStream.range(0, recordCount)
                .mapToObj(i -> new EvidenceMessage(
                        new Subject(Topic.HEALTH, name + i),
                        "g" + i,
                        i,
                        2L * i,
                        finding,
                        7L * i,
                        i,
                        i / 3.0,
                        10L * i,
                        5L * i))
                .toList();
        return new EvidenceBatch(5, EvidenceBatch.NO_ECHO, 0, 1, 2, 3, 4, messages);
    }

    @Property(seed = "33", tries = 50)
    void encodedBatchesAreDecodedUnchanged(@ForAll @IntRange(max = 200) int recordCount) throws FaultyMessageException {
        EvidenceBatch batch = batch(recordCount, Finding.UNRESPONSIVE, "e");
        assertEquals(batch, EvidenceCodec.decode(EvidenceCodec.encode(batch)));
    }

    /** Corrupt bytes are decoded to a batch or rejected with an error that names a position. */
    @Property(seed = "34", tries = 500)
    void corruptBytesAreDecodedOrRejectedWithAPosition(
            @ForAll @IntRange(max = 100_000) int offset, @ForAll byte value) {
        byte[] message = EvidenceCodec.encode(batch(5, Finding.FAILING, "e"));
        message[offset % message.length] = value;
        try {
            assertTrue(EvidenceCodec.decode(message).messages().size() <= EvidenceDissemination.MAX_RECORDS);
        } catch (FaultyMessageException e) {
            assertTrue(e.getMessage().startsWith("value "), e.getMessage());
        }
    }

    private static String decodingError(EvidenceBatch batch) {
        byte[] message = EvidenceCodec.encode(batch);
        return assertThrows(FaultyMessageException.class, () -> EvidenceCodec.decode(message))
                .getMessage();
    }

    @Test
    void errorsStatePositionFoundAndExpected() {
        assertEquals("value 9 is 201, not from 0 to 200", decodingError(batch(201, Finding.FAILING, "e")));
        assertEquals(
                "value 15 is finding CHANGED, which topic HEALTH does not allow",
                decodingError(batch(1, Finding.CHANGED, "e")));
        assertEquals("value 11 is longer than 128 bytes", decodingError(batch(1, Finding.FAILING, "e".repeat(130))));
    }
}
