package sandpaddle.mysql;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.ByteBuffer;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;

/** {@link InputMemory}: what all sessions together hold of incomplete and complete statements. */
public class InputMemoryTest {
    private static final int SESSIONS = 341; // a third of 1,024 descriptors
    private static final int MAX_BYTES = 4 * 1024 * 1024;
    private static final int CHUNK_BYTES = 16 * 1024;

    /** Half of a statement of the largest size: its header and the given number of bytes. */
    private static ByteBuffer incompletePacket(int bytes) {
        ByteBuffer packet = ByteBuffer.allocate(PacketReader.HEADER_BYTES + bytes);
        packet.put((byte) 0).put((byte) 0).put((byte) 1).put((byte) 0);
        return packet.rewind();
    }

    /** Guards the process's memory limit: hundreds of clients that stop within a statement held 44 MB of the heap. */
    @Test
    public void statementsThatStopHalfWayTakeNoMoreThanTheirShare() {
        InputMemory memory = new InputMemory(MAX_BYTES);
        List<PacketReader> readers = new ArrayList<>();
        int refused = 0;
        for (int i = 0; i < SESSIONS; i++) {
            PacketReader reader = new PacketReader(memory);
            reader.onLoggedIn();
            readers.add(reader);
            boolean granted = reader.append(incompletePacket(CHUNK_BYTES), Instant.EPOCH);
            for (int chunk = 1; granted && chunk < 4; chunk++) {
                granted = reader.append(ByteBuffer.allocate(CHUNK_BYTES), Instant.EPOCH);
            }
            refused += granted ? 0 : 1;
        }
        assertTrue(refused > 0);
        long alwaysGranted = (long) SESSIONS * InputMemory.ALWAYS_GRANTED_BYTES;
        assertTrue(memory.heldBytes() <= MAX_BYTES + alwaysGranted, memory.heldBytes() + " bytes are held");
        PacketReader usual = new PacketReader(memory);
        assertTrue(usual.append(ByteBuffer.allocate(4 * 1024), Instant.EPOCH), "a short statement was refused");
        usual.close();
        readers.forEach(PacketReader::close);
        assertEquals(memory.heldBytes(), 0);
    }

    /** Guards the account itself: what a session gives back must be what it took, or the account leaks. */
    @Test
    public void handledPacketsGiveTheirMemoryBack() throws Exception {
        InputMemory memory = new InputMemory(MAX_BYTES);
        PacketReader reader = new PacketReader(memory);
        reader.onLoggedIn();
        long idleBytes = memory.heldBytes();
        for (int i = 0; i < 100; i++) {
            reader.append(incompletePacket(PacketReader.MAX_PAYLOAD_BYTES), Instant.EPOCH);
            assertEquals(reader.next().payload().length, PacketReader.MAX_PAYLOAD_BYTES);
            assertEquals(memory.heldBytes(), idleBytes);
        }
        reader.close();
        assertEquals(memory.heldBytes(), 0);
    }
}
