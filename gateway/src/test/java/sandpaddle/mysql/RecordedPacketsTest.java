package sandpaddle.mysql;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import sandpaddle.query.Answer;
import sandpaddle.query.ResultSet;
import sandpaddle.recorded.RecordedFile;

/** The bytes of packets to clients equal those recorded from an earlier version. */
class RecordedPacketsTest {
    private static ResultSet rows(String... pages) {
        return new ResultSet(java.util.Arrays.stream(pages)
                .map(p -> p.getBytes(StandardCharsets.UTF_8))
                .toList());
    }

    @Test
    void packetsEqualTheRecordedBytes() {
        byte[] scramble = new byte[20];
        java.util.Arrays.fill(scramble, (byte) 7);
        Map<String, byte[]> packets = new LinkedHashMap<>();
        packets.put("greeting", ServerPackets.handshake(123_456, scramble));
        packets.put("ok", ServerPackets.ok(2));
        for (SqlError error : SqlError.values()) {
            packets.put("error " + error.code, ServerPackets.error(1, error, "text \u00e9"));
        }
        packets.put(
                "served",
                ServerPackets.answer(new Answer.Served(rows("a\tb\tc\n", "", "d\t\t" + "e".repeat(300) + "\n"))));
        packets.put("served with a note", ServerPackets.answer(new Answer.Served(rows(""), "cached")));
        packets.put("rejected", ServerPackets.answer(new Answer.Rejected(Duration.ZERO)));
        packets.put("rejected with advice", ServerPackets.answer(new Answer.Rejected(Duration.ofMillis(250))));
        packets.put("failed", ServerPackets.answer(new Answer.Failed("why")));
        packets.put("invalid", ServerPackets.answer(new Answer.Invalid("why")));
        packets.put("warnings", ServerPackets.warnings("a\tnote\nof two lines"));
        packets.put("no warnings", ServerPackets.warnings(""));
        packets.put("result set", ServerPackets.resultSet(4, new ResultSet(List.of()), 3, "x", "y"));
        new RecordedFile("client-packets.txt").checkBytes(packets);
    }
}
