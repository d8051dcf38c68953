package sandpaddle.mysql;

import java.nio.ByteBuffer;
import java.time.Instant;

/** The bounded buffer of input that a session has not handled yet: complete and incomplete packets. */
final class SessionInput {
    /** Bytes that a client may pipeline while a command is handled: one packet of the largest size. */
    static final int MAX_PIPELINED_BYTES = PacketReader.MAX_PAYLOAD_BYTES + PacketReader.HEADER_BYTES;
    /** Bytes beyond that limit that are read and discarded before the connection is closed. */
    private static final long MAX_DISCARDED_BYTES = 8L * 1024 * 1024;

    private final PacketReader packets;
    private long discardedBytes;

    SessionInput(InputMemory memory) {
        packets = new PacketReader(memory);
    }

    /** Raises the limit on the packet size after the login. */
    void onLoggedIn() {
        packets.onLoggedIn();
    }

    /**
     * Appends bytes that arrived at the given time while no query is open.
     *
     * @return false if there is no memory for them
     */
    boolean append(ByteBuffer bytes, Instant arrivedAt) {
        return packets.append(bytes, arrivedAt);
    }

    /** Drops all input of a session that has ended. */
    void close() {
        packets.close();
    }

    /**
     * Appends bytes that arrived while a query is open; they are read so that a disconnect behind them is detected.
     * Once they exceed {@link #MAX_PIPELINED_BYTES}, or there is no memory for them, they are discarded.
     *
     * @return false if more was discarded than is permitted
     */
    boolean appendPipelined(ByteBuffer bytes, Instant arrivedAt) {
        if (!hasDiscarded()
                && packets.bufferedBytes() + bytes.remaining() <= MAX_PIPELINED_BYTES
                && packets.append(bytes, arrivedAt)) {
            return true;
        }
        discardedBytes += bytes.remaining();
        return discardedBytes <= MAX_DISCARDED_BYTES;
    }

    /** Whether input was discarded, so that the session cannot continue after the buffered packets. */
    boolean hasDiscarded() {
        return discardedBytes > 0;
    }

    /** Whether {@link #MAX_PIPELINED_BYTES} are buffered. */
    boolean isFull() {
        return packets.bufferedBytes() >= MAX_PIPELINED_BYTES;
    }

    /** Whether no byte is buffered. */
    boolean isEmpty() {
        return packets.bufferedBytes() == 0;
    }

    /** Length of the next packet's payload; -1 if it is not complete, or not to be read: {@link #next} tells which. */
    int nextPayloadBytes() {
        return packets.nextPayloadBytes();
    }

    /** Removes and returns the next packet; null until it is complete, and after input was discarded. */
    PacketReader.Packet next() throws ProtocolException {
        return hasDiscarded() ? null : packets.next();
    }
}
