package sandpaddle.codec;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.zip.CRC32;
import java.util.zip.DataFormatException;
import java.util.zip.Inflater;

/**
 * Streaming decoder of the content codings gzip (RFC 1952) and deflate (zlib format, RFC 1950). Guards memory against
 * decompression bombs: it fails before output beyond the limit is appended. A gzip body may have several members. A
 * truncated body is detected by {@link #finish}.
 */
public final class ContentDecoder implements AutoCloseable {
    /** The supported content codings. */
    public enum Coding {
        /** One or more gzip members. */
        GZIP,
        /** One zlib stream. */
        DEFLATE
    }

    /** Part of a gzip member that the next byte belongs to; a deflate body is in {@link #DATA} throughout. */
    private enum State {
        HEADER,
        EXTRA_LENGTH,
        EXTRA,
        NAME,
        COMMENT,
        HEADER_CRC,
        DATA,
        TRAILER,
        MEMBER_END
    }

    private static final int STATUS_PAYLOAD_TOO_LARGE = 413;
    private static final int GZIP_HEADER_BYTES = 10;
    private static final int FLAG_CRC = 2;
    private static final int FLAG_EXTRA = 4;
    private static final int FLAG_NAME = 8;
    private static final int FLAG_COMMENT = 16;
    private static final int METHOD_DEFLATE = 8;
    private static final int GZIP_TRAILER_BYTES = 8;
    private static final int OUTPUT_BUFFER_BYTES = 8 * 1024;

    private final Coding coding;
    private final long maxOutputBytes;
    private final CRC32 crc = new CRC32();
    private final byte[] frame = new byte[GZIP_HEADER_BYTES]; // header or trailer received so far
    private final byte[] outputBuffer = new byte[OUTPUT_BUFFER_BYTES];
    private Inflater inflater;
    private State state;
    private int fieldBytes, flags, extraLength; // fieldBytes: bytes received in this state
    private long totalBytes, memberBytes;

    /**
     * Creates a decoder of one body.
     *
     * @param coding the content coding
     * @param maxOutputBytes limit on the decoded body
     */
    public ContentDecoder(Coding coding, long maxOutputBytes) {
        this.coding = coding;
        this.maxOutputBytes = maxOutputBytes;
        inflater = new Inflater(coding == Coding.GZIP);
        state = coding == Coding.GZIP ? State.HEADER : State.DATA;
    }

    /**
     * Decodes a part of the body.
     *
     * @param input the part; consumed completely
     * @param output receives the decoded bytes
     * @throws MalformedHttpException if the body is malformed or exceeds the limit
     */
    public void decode(ByteBuffer input, ByteArrayOutputStream output) throws MalformedHttpException {
        while (input.hasRemaining()) {
            if (state == State.DATA) {
                inflate(input, output);
            } else {
                decodeFraming(input.get() & 0xFF);
            }
        }
    }

    /**
     * Checks that the body is complete; call it after the last part.
     *
     * @throws MalformedHttpException if the body is truncated
     */
    public void finish() throws MalformedHttpException {
        if (coding == Coding.GZIP ? state != State.MEMBER_END : !inflater.finished()) {
            throw new MalformedHttpException("compressed body is truncated");
        }
    }

    private void inflate(ByteBuffer input, ByteArrayOutputStream output) throws MalformedHttpException {
        if (inflater.finished()) { // only for deflate: gzip leaves this state at the end of a member
            throw new MalformedHttpException("data after the end of a deflate body");
        }
        inflater.setInput(input);
        try {
            int count = inflater.inflate(outputBuffer);
            while (count > 0) {
                totalBytes += count;
                memberBytes += count;
                if (totalBytes > maxOutputBytes) {
                    throw new MalformedHttpException(
                            STATUS_PAYLOAD_TOO_LARGE,
                            "decompressed body exceeds the limit of " + maxOutputBytes + " bytes");
                }
                crc.update(outputBuffer, 0, count);
                output.write(outputBuffer, 0, count);
                count = inflater.inflate(outputBuffer);
            }
        } catch (DataFormatException e) {
            throw new MalformedHttpException("invalid compressed data: " + e.getMessage());
        }
        if (inflater.needsDictionary()) {
            throw new MalformedHttpException("compressed body requires a preset dictionary");
        }
        if (inflater.finished() && coding == Coding.GZIP) {
            enter(State.TRAILER);
        }
    }

    private void enter(State next) {
        state = next;
        fieldBytes = 0;
    }

    private void decodeFraming(int next) throws MalformedHttpException {
        switch (state) {
            case HEADER -> {
                frame[fieldBytes++] = (byte) next;
                if (fieldBytes == GZIP_HEADER_BYTES) {
                    checkHeader();
                }
            }
            case EXTRA_LENGTH -> {
                extraLength |= next << 8 * fieldBytes++;
                if (fieldBytes == 2) {
                    enter(extraLength > 0 ? State.EXTRA : afterExtra());
                }
            }
            case EXTRA -> {
                if (++fieldBytes == extraLength) {
                    enter(afterExtra());
                }
            }
            case NAME, COMMENT -> {
                if (next == 0) {
                    enter(state == State.NAME ? afterName() : afterComment());
                }
            }
            case HEADER_CRC -> {
                if (++fieldBytes == 2) {
                    enter(State.DATA);
                }
            }
            case TRAILER -> {
                frame[fieldBytes++] = (byte) next;
                if (fieldBytes == GZIP_TRAILER_BYTES) {
                    checkTrailer();
                }
            }
            case MEMBER_END -> {
                inflater.end();
                inflater = new Inflater(true);
                crc.reset();
                memberBytes = 0;
                enter(State.HEADER);
                decodeFraming(next);
            }
            default -> throw new IllegalStateException(state.name());
        }
    }

    private void checkHeader() throws MalformedHttpException {
        if ((frame[0] & 0xFF) != 0x1F || (frame[1] & 0xFF) != 0x8B || frame[2] != METHOD_DEFLATE) {
            throw new MalformedHttpException("invalid gzip header: expected magic 1f 8b and compression method 8");
        }
        flags = frame[3];
        extraLength = 0;
        enter((flags & FLAG_EXTRA) != 0 ? State.EXTRA_LENGTH : afterExtra());
    }

    private State afterExtra() {
        return (flags & FLAG_NAME) != 0 ? State.NAME : afterName();
    }

    private State afterName() {
        return (flags & FLAG_COMMENT) != 0 ? State.COMMENT : afterComment();
    }

    private State afterComment() {
        return (flags & FLAG_CRC) != 0 ? State.HEADER_CRC : State.DATA;
    }

    private void checkTrailer() throws MalformedHttpException {
        if (littleEndianInt(0) != (int) crc.getValue() || littleEndianInt(4) != (int) memberBytes) {
            throw new MalformedHttpException("CRC-32 or length in the gzip trailer does not match the data");
        }
        enter(State.MEMBER_END);
    }

    /** Reads four bytes of {@link #frame}, least significant first. */
    private int littleEndianInt(int offset) {
        return frame[offset] & 0xFF
                | (frame[offset + 1] & 0xFF) << 8
                | (frame[offset + 2] & 0xFF) << 16
                | (frame[offset + 3] & 0xFF) << 24;
    }

    /** Releases the native memory of the inflater. */
    @Override
    public void close() {
        inflater.end();
    }
}
