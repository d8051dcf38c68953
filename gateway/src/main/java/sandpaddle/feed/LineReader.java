package sandpaddle.feed;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;

/** Cuts a stream of bytes into lines. */
final class LineReader {
    static final int MOST_BYTES = 4 * 1024 * 1024; // a list of 4,096 engines with all fields, and long names
    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    private boolean tooLong;

    /** The next whole line without its line feed; null until it is in. */
    byte[] next(ByteBuffer bytes) {
        while (bytes.hasRemaining()) {
            byte b = bytes.get();
            if (b == '\n') {
                byte[] whole = line.toByteArray();
                line.reset();
                return whole;
            }
            tooLong |= line.size() >= MOST_BYTES;
            if (!tooLong) {
                line.write(b);
            }
        }
        return null;
    }

    /** Whether a line came that no list could need. */
    boolean isTooLong() {
        return tooLong;
    }
}
