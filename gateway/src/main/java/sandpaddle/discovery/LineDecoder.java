package sandpaddle.discovery;

import java.nio.ByteBuffer;
import java.util.Arrays;

/** Splits a stream of bytes into lines. Buffers at most {@link #MAX_LINE_BYTES}. */
final class LineDecoder {
    /** A list of 16,384 engines with a kilobyte each, which allows for long names. */
    static final int MAX_LINE_BYTES = 16_384 * 1024;

    private static final int INITIAL_BYTES = 1024;

    private byte[] line = new byte[INITIAL_BYTES];
    private int length;
    private boolean tooLong;

    /** Consumes bytes up to a line feed; returns the line without it, null while the line is incomplete. */
    byte[] decode(ByteBuffer bytes) {
        while (bytes.hasRemaining() && !tooLong) {
            byte next = bytes.get();
            if (next == '\n') {
                return takeLine();
            }
            append(next);
        }
        return null;
    }

    private byte[] takeLine() {
        byte[] complete = Arrays.copyOf(line, length);
        length = 0;
        if (line.length > INITIAL_BYTES) {
            line = new byte[INITIAL_BYTES]; // frees the memory of a complete list for parsing it
        }
        return complete;
    }

    private void append(byte next) {
        if (length == MAX_LINE_BYTES) {
            tooLong = true;
            return;
        }
        if (length == line.length) {
            line = Arrays.copyOf(line, Math.min(MAX_LINE_BYTES, 2 * length));
        }
        line[length++] = next;
    }

    /** Whether a line has begun and is incomplete. */
    boolean isWithinLine() {
        return length > 0;
    }

    /** Whether a line exceeded the limit; nothing more is decoded after that. */
    boolean isTooLong() {
        return tooLong;
    }
}
