package sandpaddle.fleet.outage.margin;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;

import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import sandpaddle.recorded.RecordedFile;

/**
 * Margins are encoded in the bytes that an earlier version wrote, and those bytes are restored and encoded again
 * unchanged.
 */
class RecordedMarginsTest {
    private static final RecordedFile RECORDED = new RecordedFile("margins.txt");

    @Test
    void encodesAndRestoresRecordedMargins() throws Exception {
        Margins margins = new Margins(MarginSettings.DEFAULT);
        margins.learn(new WindowOutcome("east", Set.of("sunday"), false, false, -5000, 7000));
        margins.learn(new WindowOutcome("east", Set.of("sunday"), false, false, 2000, -1000));
        margins.learn(new WindowOutcome("west", Set.of("daily"), true, false, 0, 0));
        RECORDED.checkBytes(Map.of("margins", margins.encode()));
        Margins restored = new Margins(MarginSettings.DEFAULT);
        byte[] recorded = RECORDED.bytes().get("margins");
        restored.restore(recorded);
        assertArrayEquals(recorded, restored.encode());
    }
}
