package sandpaddle.fleet.state.raft;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;

import io.microraft.model.message.RaftMessage;
import java.util.LinkedHashMap;
import java.util.Map;
import org.junit.jupiter.api.Test;
import sandpaddle.recorded.RecordedFile;

/** Raft messages have the bytes that an earlier version wrote, which are decoded and encoded without a change. */
class RecordedRaftMessagesTest {
    private static final RecordedFile MESSAGES = new RecordedFile("raft-messages.txt");

    @Test
    void messagesAreWrittenAsRecorded() {
        Map<String, byte[]> messages = new LinkedHashMap<>();
        for (RaftMessage message : RaftMessageCodecTest.oneOfEach()) {
            messages.put("message " + messages.size(), RaftMessageCodecTest.write(message));
        }
        MESSAGES.checkBytes(messages);
    }

    @Test
    void recordedMessagesAreReadAndWrittenAgain() throws Exception {
        for (byte[] recorded : MESSAGES.bytes().values()) {
            assertArrayEquals(recorded, RaftMessageCodecTest.write(RaftMessageCodecTest.read(recorded)));
        }
    }
}
