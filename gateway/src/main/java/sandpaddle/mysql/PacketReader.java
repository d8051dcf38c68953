package sandpaddle.mysql;

import java.nio.ByteBuffer;
import java.util.Arrays;

/** Cuts a stream of bytes into packets, however they were split or joined on the way. */
final class PacketReader {
    /** The largest payload that is taken: a login at first, then statements, which are some hundred bytes. */
    static final int MOST_LOGIN_BYTES = 4 * 1024;
    static final int MOST_BYTES = 64 * 1024;
    static final int HEADER = 4;
    private static final int SMALL = 1024;

    record Packet(int seq, byte[] payload) { }

    private byte[] buffer = new byte[SMALL];
    private int from, to;
    private int most = MOST_LOGIN_BYTES;

    /** A client that has logged in may send more. */
    void loggedIn() {
        most = MOST_BYTES;
    }

    void feed(ByteBuffer bytes) {
        if (buffer.length - to < bytes.remaining()) {
            int held = to - from;
            byte[] room = held + bytes.remaining() > buffer.length
                    ? new byte[Math.max(2 * buffer.length, held + bytes.remaining())] : buffer;
            System.arraycopy(buffer, from, room, 0, held);
            buffer = room;
            from = 0;
            to = held;
        }
        int n = bytes.remaining();
        bytes.get(buffer, to, n);
        to += n;
    }

    /** The next whole packet; null until it is in. */
    Packet next() throws ProtocolException {
        if (to - from < HEADER) {
            return null;
        }
        int length = buffer[from] & 0xFF | (buffer[from + 1] & 0xFF) << 8 | (buffer[from + 2] & 0xFF) << 16;
        if (length > most) { // judged at the header: what is too large is never buffered
            throw new ProtocolException(SqlError.ER_NET_PACKET_TOO_LARGE,
                    "packet of " + length + " bytes, more than " + most);
        }
        if (to - from < HEADER + length) {
            return null;
        }
        Packet p = new Packet(buffer[from + 3] & 0xFF,
                Arrays.copyOfRange(buffer, from + HEADER, from + HEADER + length));
        from += HEADER + length;
        if (from == to) {
            from = 0;
            to = 0;
            if (buffer.length > SMALL) {
                buffer = new byte[SMALL]; // an idle session keeps little
            }
        }
        return p;
    }

    int buffered() {
        return to - from;
    }
}
