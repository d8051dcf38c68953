package sandpaddle.mysql;

import java.nio.charset.StandardCharsets;

/** Reads the fields of one packet's payload in order, in the encodings of the MySQL client protocol 4.1. */
final class PayloadReader {
    private static final int MAX_ONE_BYTE_INTEGER = 0xFA;
    private static final int TWO_BYTE_MARKER = 0xFC;
    private static final int THREE_BYTE_MARKER = 0xFD;
    private static final int EIGHT_BYTE_MARKER = 0xFE;

    private final byte[] payload;
    private int position;

    PayloadReader(byte[] payload) {
        this.payload = payload;
    }

    boolean hasRemaining() {
        return position < payload.length;
    }

    void skip(int bytes) throws ProtocolException {
        require(bytes);
        position += bytes;
    }

    /** An integer of a fixed size, least significant byte first. */
    long integer(int bytes) throws ProtocolException {
        require(bytes);
        long value = 0;
        for (int i = 0; i < bytes; i++) {
            value |= (payload[position++] & 0xFFL) << 8 * i;
        }
        return value;
    }

    /** A length-encoded integer; a small value may be encoded in any of the four forms. */
    long lengthEncodedInteger() throws ProtocolException {
        int first = (int) integer(1);
        if (first <= MAX_ONE_BYTE_INTEGER) {
            return first;
        }
        return switch (first) {
            case TWO_BYTE_MARKER -> integer(2);
            case THREE_BYTE_MARKER -> integer(3);
            case EIGHT_BYTE_MARKER -> integer(8);
            default -> throw new ProtocolException(SqlError.ER_HANDSHAKE_ERROR, "not the length of a field");
        };
    }

    /** The next {@code length} bytes. */
    byte[] bytes(long length) throws ProtocolException {
        require(length);
        byte[] bytes = java.util.Arrays.copyOfRange(payload, position, position + (int) length);
        position += bytes.length;
        return bytes;
    }

    /** The bytes up to the next zero byte, which is required and skipped. */
    byte[] nullTerminated() throws ProtocolException {
        byte[] bytes = untilNull();
        skip(1);
        return bytes;
    }

    /** The bytes up to the next zero byte, which is not skipped, or up to the end of the payload. */
    byte[] untilNull() throws ProtocolException {
        int end = position;
        while (end < payload.length && payload[end] != 0) {
            end++;
        }
        return bytes(end - position);
    }

    static String utf8(byte[] bytes) {
        return new String(bytes, StandardCharsets.UTF_8);
    }

    private void require(long bytes) throws ProtocolException {
        if (bytes < 0 || bytes > payload.length - position) {
            throw new ProtocolException(SqlError.ER_HANDSHAKE_ERROR, "login cut short");
        }
    }
}
