package sandpaddle.mysql;

import java.nio.ByteBuffer;
import java.time.Instant;

/** What a client has sent and its session has not handled yet: packets, whole or in part, within bounds. */
final class SessionInput {
    /** What a client may send ahead while its query is open: one statement of the largest size. */
    static final int MOST_AHEAD_BYTES = PacketReader.MOST_BYTES + PacketReader.HEADER;
    /** What is discarded of a client that sent more ahead than that, before it counts as gone. */
    private static final long MOST_DISCARDED_BYTES = 8L * 1024 * 1024;

    private final PacketReader packets = new PacketReader();
    private long discardedBytes;

    /** A client that has logged in may send longer packets. */
    void loggedIn() {
        packets.loggedIn();
    }

    /** Takes bytes that came at a time while no query is open. */
    void take(ByteBuffer bytes, Instant arrivedAt) {
        packets.feed(bytes, arrivedAt);
    }

    /**
     * Takes bytes that came while a query is open, so that the end of the connection behind them is seen. Once they
     * are more than a client may send ahead, they are discarded.
     *
     * @return false where more was discarded than is put up with
     */
    boolean takeAhead(ByteBuffer bytes, Instant arrivedAt) {
        if (!isIncomplete() && packets.buffered() + bytes.remaining() <= MOST_AHEAD_BYTES) {
            packets.feed(bytes, arrivedAt);
            return true;
        }
        discardedBytes += bytes.remaining();
        return discardedBytes <= MOST_DISCARDED_BYTES;
    }

    /** Whether something was discarded: the session can't go on behind what is left. */
    boolean isIncomplete() {
        return discardedBytes > 0;
    }

    boolean isEmpty() {
        return packets.buffered() == 0;
    }

    /** The next whole packet; null until it is in, and where what follows was discarded. */
    PacketReader.Packet next() throws ProtocolException {
        return isIncomplete() ? null : packets.next();
    }
}
