package sandpaddle.fleet.store.disk;

import java.util.Arrays;

/** The bytes of a simulated file. */
final class Content {
    private byte[] bytes = {};
    private int length;

    Content copy() {
        Content copy = new Content();
        copy.bytes = bytes();
        copy.length = length;
        return copy;
    }

    byte[] bytes() {
        return Arrays.copyOf(bytes, length);
    }

    int length() {
        return length;
    }

    /** Writes, with zeros before it where the file was shorter. */
    void write(int at, byte[] part) {
        int end = at + part.length;
        if (end > bytes.length) {
            bytes = Arrays.copyOf(bytes, Math.max(end, 2 * bytes.length));
        }
        System.arraycopy(part, 0, bytes, at, part.length);
        length = Math.max(length, end);
    }

    void truncate(int size) {
        if (size < length) {
            Arrays.fill(bytes, size, length, (byte) 0);
            length = size;
        }
    }

    byte[] read(int at, int max) {
        return at >= length ? new byte[0] : Arrays.copyOfRange(bytes, at, Math.min(length, at + max));
    }

    void garble(int at, int count) {
        for (int i = at; i < at + count; i++) {
            bytes[i] ^= 0x5a;
        }
    }
}
