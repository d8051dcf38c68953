package sandpaddle.mysql;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.testng.annotations.Test;

/** {@link PacketReader}: fragmented input and arrival times. */
public class PacketReaderTest {
    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
    private static final int MAX_WAITING_PACKETS = 60; // fewer than the batches whose times ArrivalTimes keeps apart

    /** Random packets fed in random fragments: each is returned with the time of the fragment that completed it. */
    @Test
    public void eachPacketHasTheArrivalTimeOfItsLastByte() throws Exception {
        for (int seed = 0; seed < 200; seed++) {
            Random random = new Random(seed);
            List<Integer> ends = new ArrayList<>();
            byte[] bytes = randomPackets(random, ends);
            PacketReader reader = new PacketReader(new InputMemory(Long.MAX_VALUE / 2));
            List<Instant> arrivals = new ArrayList<>();
            int next = 0;
            for (int offset = 0; offset < bytes.length; ) {
                int length = Math.min(bytes.length - offset, 1 + random.nextInt(400));
                Instant now = START.plusSeconds(offset);
                reader.append(ByteBuffer.wrap(bytes, offset, length), now);
                offset += length;
                while (arrivals.size() < ends.size() && ends.get(arrivals.size()) <= offset) {
                    arrivals.add(now);
                }
                boolean isDeferred =
                        arrivals.size() - next < MAX_WAITING_PACKETS && random.nextBoolean() && offset < bytes.length;
                for (; !isDeferred && next < arrivals.size(); next++) {
                    PacketReader.Packet packet = reader.next();
                    assertEquals(packet.sequenceId(), next);
                    assertEquals(packet.payload().length, ends.get(next) - (next == 0 ? 0 : ends.get(next - 1)) - 4);
                    assertEquals(packet.arrivedAt(), arrivals.get(next), "packet " + next + " of seed " + seed);
                }
            }
            assertEquals(next, ends.size());
            assertNull(reader.next());
        }
    }

    private static byte[] randomPackets(Random random, List<Integer> ends) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        for (int i = random.nextInt(40); i >= 0; i--) {
            int length = random.nextInt(random.nextInt(4) == 0 ? 3000 : 30);
            out.writeBytes(new byte[] {(byte) length, (byte) (length >> 8), 0, (byte) ends.size()});
            out.writeBytes(new byte[length]);
            ends.add(out.size());
        }
        return out.toByteArray();
    }
}
