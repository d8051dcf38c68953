package sandpaddle.fleet.content.replication;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import sandpaddle.fleet.content.CachedResult;
import sandpaddle.fleet.content.Candidate;
import sandpaddle.fleet.content.ResultId;
import sandpaddle.fleet.content.SampleResults;
import sandpaddle.fleet.wire.CborIn;

class ReplicationMessageCodecProperties {
    private static final ResultId ID = SampleResults.key(1).id();
    static final List<ReplicationMessage> MESSAGES = List.of(
            new ReplicationMessage.Demand(
                    new Candidate(SampleResults.key(1), -5, Set.of(1L, -1L), 100, 2000, 3000, 1.5, -1), 2.25),
            new ReplicationMessage.Offer(ID, 12, 34, 56, -78),
            new ReplicationMessage.ChunkRequest(ID, 9, 8, 7),
            new ReplicationMessage.Acknowledgement(ID),
            new ReplicationMessage.Chunk(ID, 5, 6, new byte[] {1, 2, 3}),
            new ReplicationMessage.ResultRequest(ID),
            new ReplicationMessage.NotFound(ID));

    @Example
    void decodesEncodedMessages() throws Exception {
        for (ReplicationMessage m : MESSAGES) {
            byte[] bytes = ReplicationMessageCodec.write(m);
            ReplicationMessage decoded = ReplicationMessageCodec.read(bytes);
            assertTrue(decoded.getClass() == m.getClass());
            assertArrayEquals(bytes, ReplicationMessageCodec.write(decoded));
        }
    }

    @Example
    void rejectsTruncatedAndExtendedMessages() {
        for (ReplicationMessage m : MESSAGES) {
            byte[] bytes = ReplicationMessageCodec.write(m);
            for (int n = 0; n < bytes.length; n++) {
                byte[] truncated = Arrays.copyOf(bytes, n);
                assertThrows(CborIn.FaultyMessageException.class, () -> ReplicationMessageCodec.read(truncated));
            }
            byte[] extended = Arrays.copyOf(bytes, bytes.length + 1);
            assertThrows(CborIn.FaultyMessageException.class, () -> ReplicationMessageCodec.read(extended));
        }
    }

    @Example
    void limitsChunkToFrame() {
        ReplicationMessage m =
                new ReplicationMessage.Chunk(ID, 0, 0, new byte[ReplicationMessageCodec.MAX_CHUNK_BYTES]);
        assertTrue(ReplicationMessageCodec.write(m).length < 1 << 20);
        byte[] larger = ReplicationMessageCodec.write(
                new ReplicationMessage.Chunk(ID, 0, 0, new byte[ReplicationMessageCodec.MAX_CHUNK_BYTES + 1]));
        assertThrows(CborIn.FaultyMessageException.class, () -> ReplicationMessageCodec.read(larger));
    }

    /** An exception other than FaultyMessageException would terminate the thread of a link. */
    @Property(tries = 3000, seed = "21")
    void decodesOrRejectsCorruptedBytes(@ForAll int selector, @ForAll long seed) {
        byte[] bytes = selector % 8 == 0
                ? SampleResults.result(1, 5, 1, 3).encode()
                : ReplicationMessageCodec.write(MESSAGES.get(Math.floorMod(selector, MESSAGES.size())));
        Random random = new Random(seed);
        for (int i = 0; i <= random.nextInt(4); i++) {
            bytes[random.nextInt(bytes.length)] = (byte) random.nextInt();
        }
        try {
            if (selector % 8 == 0) {
                assertTrue(CachedResult.decode(bytes).isStorable());
            } else {
                assertTrue(ReplicationMessageCodec.write(ReplicationMessageCodec.read(bytes)).length > 0);
            }
        } catch (CborIn.FaultyMessageException e) {
            assertTrue(e.getMessage().length() > 5);
        }
    }
}
