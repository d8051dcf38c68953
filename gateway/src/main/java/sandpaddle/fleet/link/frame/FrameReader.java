package sandpaddle.fleet.link.frame;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Cuts a stream of bytes into frames: four bytes of length, the highest first, then so many bytes of body. It takes any
 * split of the bytes. Room grows with the bytes that came, not with what the header claims, so that a peer must send
 * what it makes this process hold; the most held is one frame.
 */
public final class FrameReader {
    public static final int HEADER = 4;
    private static final int FIRST_ROOM = 16 << 10;

    private int max;
    private int headerRead;
    private int length;
    private byte[] body = new byte[0];
    private int bodyRead;
    private String fault = "";

    public FrameReader(int maxBodyBytes) {
        max = maxBodyBytes;
    }

    /** Another bound from the next header on. */
    public void bound(int maxBodyBytes) {
        max = maxBodyBytes;
    }

    /**
     * Takes bytes until none is left, the sink wants no more, or a header is over the bound.
     *
     * @param sink called with each whole body; false: the rest is left unread
     * @return what is wrong; from then on nothing more is read
     */
    public Optional<String> feed(ByteBuffer bytes, Predicate<byte[]> sink) {
        while (bytes.hasRemaining() && fault.isEmpty()) {
            if (headerRead < HEADER) {
                header(bytes.get());
            } else {
                fill(bytes);
            }
            if (fault.isEmpty() && headerRead == HEADER && bodyRead == length) {
                byte[] whole = body.length == length ? body : Arrays.copyOf(body, length);
                reset();
                if (!sink.test(whole)) {
                    break;
                }
            }
        }
        return fault.isEmpty() ? Optional.empty() : Optional.of(fault);
    }

    private void header(byte b) {
        length = length << 8 | b & 0xff;
        headerRead++;
        if (headerRead == HEADER && (length < 0 || length > max)) {
            fault = "frame of " + Integer.toUnsignedString(length) + " bytes is over the bound of " + max;
        }
    }

    private void fill(ByteBuffer bytes) {
        int n = Math.min(bytes.remaining(), length - bodyRead);
        if (body.length < bodyRead + n) {
            int room = Math.max(bodyRead + n, Math.max(FIRST_ROOM, 2 * body.length));
            body = Arrays.copyOf(body, Math.min(length, room));
        }
        bytes.get(body, bodyRead, n);
        bodyRead += n;
    }

    private void reset() {
        headerRead = 0;
        length = 0;
        bodyRead = 0;
        body = new byte[0];
    }

    /** Bytes of memory for the frame that has begun. */
    public int held() {
        return body.length;
    }
}
