package sandpaddle.mysql;

import java.nio.charset.StandardCharsets;

/** Reads the fields of one packet's payload in their order, in the encodings of the client protocol 4.1. */
final class PayloadReader {
    private static final int ONE_BYTE_MOST = 0xFA;
    private static final int TWO_BYTES = 0xFC;
    private static final int THREE_BYTES = 0xFD;
    private static final int EIGHT_BYTES = 0xFE;

    private final byte[] payload;
    private int at;

    PayloadReader(byte[] payload) {
        this.payload = payload;
    }

    boolean hasRemaining() {
        return at < payload.length;
    }

    void skip(int bytes) throws ProtocolException {
        require(bytes);
        at += bytes;
    }

    /** An integer of a fixed size, least significant byte first. */
    long integer(int bytes) throws ProtocolException {
        require(bytes);
        long value = 0;
        for (int i = 0; i < bytes; i++) {
            value |= (payload[at++] & 0xFFL) << 8 * i;
        }
        return value;
    }

    /** A length-encoded integer; a small value may come in any of the four forms. */
    long lengthEncoded() throws ProtocolException {
        int first = (int) integer(1);
        if (first <= ONE_BYTE_MOST) {
            return first;
        }
        return switch (first) {
            case TWO_BYTES -> integer(2);
            case THREE_BYTES -> integer(3);
            case EIGHT_BYTES -> integer(8);
            default -> throw new ProtocolException(SqlError.ER_HANDSHAKE_ERROR, "not the length of a field");
        };
    }

    /** So many bytes. */
    byte[] bytes(long length) throws ProtocolException {
        require(length);
        byte[] bytes = java.util.Arrays.copyOfRange(payload, at, at + (int) length);
        at += bytes.length;
        return bytes;
    }

    /** The bytes up to the next zero, which is required and skipped. */
    byte[] zeroEnded() throws ProtocolException {
        byte[] bytes = untilZero();
        skip(1);
        return bytes;
    }

    /** The bytes up to the next zero, which is not skipped, or up to the end of the payload. */
    byte[] untilZero() throws ProtocolException {
        int end = at;
        while (end < payload.length && payload[end] != 0) {
            end++;
        }
        return bytes(end - at);
    }

    static String text(byte[] bytes) {
        return new String(bytes, StandardCharsets.UTF_8);
    }

    private void require(long bytes) throws ProtocolException {
        if (bytes < 0 || bytes > payload.length - at) {
            throw new ProtocolException(SqlError.ER_HANDSHAKE_ERROR, "login cut short");
        }
    }
}
