package sandpaddle.mysql;

import java.nio.ByteBuffer;
import java.time.Instant;
import java.util.Arrays;

/** Splits a client's byte stream into packets, independent of the boundaries of the reads. */
final class PacketReader {
    /** Largest payload before the login. */
    static final int MAX_LOGIN_PAYLOAD_BYTES = 4 * 1024;

    /** Largest payload after the login; statements usually have some hundred bytes. */
    static final int MAX_PAYLOAD_BYTES = 64 * 1024;

    static final int HEADER_BYTES = 4;
    private static final int INITIAL_BUFFER_BYTES = 1024;

    /**
     * A complete packet.
     *
     * @param sequenceId the sequence id
     * @param payload the bytes after the header
     * @param arrivedAt when its last byte arrived
     */
    record Packet(int sequenceId, byte[] payload, Instant arrivedAt) {}

    private final InputMemory memory;
    private byte[] buffer = new byte[INITIAL_BUFFER_BYTES];
    private int start, end;
    private int completeEnd; // end of the last complete packet
    private final ArrivalTimes arrivals = new ArrivalTimes();
    private int maxPayloadBytes = MAX_LOGIN_PAYLOAD_BYTES;

    /** Raises the limit on the payload after the login. */
    void onLoggedIn() {
        maxPayloadBytes = MAX_PAYLOAD_BYTES;
    }

    PacketReader(InputMemory memory) {
        this.memory = memory;
        memory.tryResize(0, buffer.length);
    }

    /**
     * Appends the remaining bytes of a buffer, which arrived at the given time.
     *
     * @return false, without effect, if there is no memory for them
     */
    boolean append(ByteBuffer bytes, Instant arrivedAt) {
        if (buffer.length - end < bytes.remaining() && !makeRoom(bytes.remaining())) {
            return false;
        }
        int count = bytes.remaining();
        bytes.get(buffer, end, count);
        end += count;
        while (isCompleteAt(completeEnd)) {
            completeEnd += HEADER_BYTES + payloadLengthAt(completeEnd);
            arrivals.add(arrivedAt);
        }
        return true;
    }

    /** Moves the buffered bytes to the start of the buffer, or of a larger one; returns false if there is none. */
    private boolean makeRoom(int bytes) {
        int kept = end - start;
        byte[] target = buffer;
        if (kept + bytes > buffer.length) {
            int capacity = Math.max(Math.min(2 * buffer.length, HEADER_BYTES + MAX_PAYLOAD_BYTES), kept + bytes);
            if (!memory.tryResize(buffer.length, capacity)) {
                return false;
            }
            target = new byte[capacity];
        }
        System.arraycopy(buffer, start, target, 0, kept);
        buffer = target;
        completeEnd -= start;
        start = 0;
        end = kept;
        return true;
    }

    /** Drops all bytes and gives their memory back; nothing may be appended afterwards. */
    void close() {
        memory.release(buffer.length);
        buffer = new byte[0];
        start = 0;
        end = 0;
        completeEnd = 0;
    }

    private boolean isCompleteAt(int offset) {
        return end - offset >= HEADER_BYTES && end - offset - HEADER_BYTES >= payloadLengthAt(offset);
    }

    /** The payload length in the packet header at an offset: 24 bits, little-endian. */
    private int payloadLengthAt(int offset) {
        return buffer[offset] & 0xFF | (buffer[offset + 1] & 0xFF) << 8 | (buffer[offset + 2] & 0xFF) << 16;
    }

    /** Length of the next packet's payload; -1 if the packet is not complete. */
    int nextPayloadBytes() {
        return isCompleteAt(start) ? payloadLengthAt(start) : -1;
    }

    /** Removes and returns the next packet; null until it is complete. */
    Packet next() throws ProtocolException {
        if (end - start < HEADER_BYTES) {
            return null;
        }
        int length = payloadLengthAt(start);
        if (length > maxPayloadBytes) { // checked by the header, so that an oversized packet is never buffered
            throw new ProtocolException(
                    SqlError.ER_NET_PACKET_TOO_LARGE, "packet of " + length + " bytes, more than " + maxPayloadBytes);
        }
        if (!isCompleteAt(start)) {
            return null;
        }
        Packet packet = new Packet(
                buffer[start + 3] & 0xFF,
                Arrays.copyOfRange(buffer, start + HEADER_BYTES, start + HEADER_BYTES + length),
                arrivals.removeFirst());
        start += HEADER_BYTES + length;
        if (start == end) {
            start = 0;
            end = 0;
            completeEnd = 0;
            if (buffer.length > INITIAL_BUFFER_BYTES) {
                memory.release(buffer.length - INITIAL_BUFFER_BYTES);
                buffer = new byte[INITIAL_BUFFER_BYTES]; // keeps the memory of idle sessions low
            }
        }
        return packet;
    }

    /** Bytes that are buffered, of complete and incomplete packets. */
    int bufferedBytes() {
        return end - start;
    }
}
