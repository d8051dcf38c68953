package sandpaddle.fleet.node.wire;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import sandpaddle.fleet.node.agree.FleetConfig;
import sandpaddle.recorded.RecordedFile;

/** Heartbeats, grants, status messages and the fleet configuration have the same bytes as in an earlier version. */
class RecordedNodeMessagesTest {
    private static final RecordedFile RECORD = new RecordedFile("node-messages.txt");
    private static final int SEEDS = 5;

    @Test
    void encodesMessagesAsRecorded() {
        Map<String, byte[]> messages = new LinkedHashMap<>();
        for (int seed = 0; seed < SEEDS; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            messages.put(
                    "heartbeat " + seed, NodeMessageProperties.heartbeat(random).encode());
            messages.put("grant " + seed, HeartbeatMessage.encode(NodeMessageProperties.grant(random)));
            FleetConfig config = NodeMessageProperties.config(random);
            messages.put("configuration " + seed, config.encode().getBytes(StandardCharsets.US_ASCII));
            messages.put(
                    "status " + seed,
                    new StatusMessage(4, "a", List.of("a", "b"), config.version(), config.encode()).encode());
        }
        RECORD.checkBytes(messages);
    }

    @Test
    void decodesAndEncodesRecordedMessages() throws Exception {
        for (Map.Entry<String, byte[]> recorded : RECORD.bytes().entrySet()) {
            byte[] bytes = recorded.getValue();
            String kind = recorded.getKey().split(" ")[0];
            switch (kind) {
                case "heartbeat" ->
                    assertArrayEquals(bytes, HeartbeatMessage.decode(bytes).encode());
                case "grant" -> assertArrayEquals(bytes, HeartbeatMessage.encode(HeartbeatMessage.decodeGrant(bytes)));
                case "status" ->
                    assertArrayEquals(bytes, StatusMessage.decode(bytes).encode());
                default -> {
                    String text = new String(bytes, StandardCharsets.US_ASCII);
                    assertEquals(text, FleetConfig.parse(text).encode());
                }
            }
        }
    }
}
