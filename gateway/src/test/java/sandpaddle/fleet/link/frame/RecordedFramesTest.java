package sandpaddle.fleet.link.frame;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;
import org.junit.jupiter.api.Test;
import sandpaddle.fleet.link.MessageKind;
import sandpaddle.fleet.member.Member;
import sandpaddle.recorded.RecordedFile;

/** Compatibility with the frames of an earlier version: they are encoded byte for byte, and can be decoded. */
class RecordedFramesTest {
    private static final RecordedFile RECORD = new RecordedFile("frames.txt");
    private static final int HEADER_BYTES = 4;

    private static byte[] bytes(Frame frame) {
        ByteBuffer encoded = frame.encode();
        byte[] bytes = new byte[encoded.remaining()];
        encoded.get(bytes);
        return bytes;
    }

    @Test
    void framesAreEncodedAsRecorded() {
        Greeting greeting =
                new Greeting(1, 3, "paddle", new Member("gw-1", "hall-1", "10.0.0.1", 7000), "gw-2", -5, 17);
        Map<String, byte[]> frames = new LinkedHashMap<>();
        frames.put("hello", bytes(new Frame.Hello(greeting)));
        frames.put("welcome", bytes(new Frame.Welcome(greeting)));
        for (RejectionCode code : RejectionCode.values()) {
            frames.put("rejected " + code.ordinal(), bytes(new Frame.Rejected(code, "why \u00e9")));
        }
        frames.put("ping", bytes(new Frame.Ping(-3)));
        frames.put("pong", bytes(new Frame.Pong(Long.MAX_VALUE)));
        frames.put("bye", bytes(new Frame.Bye("so long")));
        for (MessageKind kind : MessageKind.values()) {
            frames.put("data " + kind.ordinal(), bytes(new Frame.Data(kind, new byte[] {1, 2, (byte) kind.ordinal()})));
        }
        RECORD.checkBytes(frames);
    }

    @Test
    void recordedFramesAreDecodedAndEncodedAgain() throws Exception {
        for (Map.Entry<String, byte[]> recorded : RECORD.bytes().entrySet()) {
            byte[] frame = recorded.getValue();
            byte[] body = Arrays.copyOfRange(frame, HEADER_BYTES, frame.length);
            assertArrayEquals(frame, bytes(Frame.decode(body)), recorded.getKey());
        }
    }
}
