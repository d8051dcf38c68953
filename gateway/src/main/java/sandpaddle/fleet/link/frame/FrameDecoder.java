package sandpaddle.fleet.link.frame;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Splits a byte stream into frames: a big-endian length of four bytes, then the body. A frame may arrive in any number
 * of pieces. The buffer grows with the bytes received, not with the length in the header, so a peer cannot make this
 * process allocate memory without sending data; at most one frame is buffered. Not thread-safe.
 */
public final class FrameDecoder {
    /** Size of the header, which gives the length of the body after it (bytes). */
    public static final int HEADER_BYTES = 4;

    private static final int INITIAL_CAPACITY = 16 << 10;

    private int maxBodyBytes;
    private int headerRead;
    private int length;
    private byte[] body = new byte[0];
    private int bodyRead;
    private String fault = "";

    /** Creates a decoder that rejects bodies of more than {@code maxBodyBytes} bytes. */
    public FrameDecoder(int maxBodyBytes) {
        this.maxBodyBytes = maxBodyBytes;
    }

    /** Changes the greatest length of a body (bytes); applies to headers that are not complete yet. */
    public void setMaxBodyBytes(int maxBodyBytes) {
        this.maxBodyBytes = maxBodyBytes;
    }

    /**
     * Decodes bytes until none is left, the sink returns false, or a header gives a length above the bound.
     *
     * @param bytes received bytes
     * @param sink receives each complete body; if it returns false, the bytes after that body stay in {@code bytes}
     * @return empty if all is well; otherwise the error, which later calls return too without decoding anything
     */
    public Optional<String> decode(ByteBuffer bytes, Predicate<byte[]> sink) {
        while (bytes.hasRemaining() && fault.isEmpty()) {
            if (headerRead < HEADER_BYTES) {
                readHeaderByte(bytes.get());
            } else {
                readBody(bytes);
            }
            if (fault.isEmpty() && headerRead == HEADER_BYTES && bodyRead == length) {
                byte[] complete = body.length == length ? body : Arrays.copyOf(body, length);
                reset();
                if (!sink.test(complete)) {
                    break;
                }
            }
        }
        return fault.isEmpty() ? Optional.empty() : Optional.of(fault);
    }

    private void readHeaderByte(byte next) {
        length = length << 8 | next & 0xff;
        headerRead++;
        if (headerRead == HEADER_BYTES && (length < 0 || length > maxBodyBytes)) {
            fault = "frame of " + Integer.toUnsignedString(length) + " bytes is over the bound of " + maxBodyBytes;
        }
    }

    private void readBody(ByteBuffer bytes) {
        int count = Math.min(bytes.remaining(), length - bodyRead);
        if (body.length < bodyRead + count) {
            int capacity = Math.max(bodyRead + count, Math.max(INITIAL_CAPACITY, 2 * body.length));
            body = Arrays.copyOf(body, Math.min(length, capacity));
        }
        bytes.get(body, bodyRead, count);
        bodyRead += count;
    }

    private void reset() {
        headerRead = 0;
        length = 0;
        bodyRead = 0;
        body = new byte[0];
    }

    /** Memory used for the incomplete frame (bytes). */
    public int bufferedBytes() {
        return body.length;
    }
}
