package sandpaddle.fleet.store.disk;

import java.util.Arrays;

/** The bytes of a simulated file. */
final class FileContent {
    private byte[] bytes = {};
    private int length;

    FileContent copy() {
        FileContent copy = new FileContent();
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

    /** Writes at a position; a gap after the end of the file reads as zeros. */
    void write(int position, byte[] data) {
        int end = position + data.length;
        if (end > bytes.length) {
            bytes = Arrays.copyOf(bytes, Math.max(end, 2 * bytes.length));
        }
        System.arraycopy(data, 0, bytes, position, data.length);
        length = Math.max(length, end);
    }

    void truncate(int size) {
        if (size < length) {
            Arrays.fill(bytes, size, length, (byte) 0);
            length = size;
        }
    }

    byte[] read(int position, int maxBytes) {
        return position >= length
                ? new byte[0]
                : Arrays.copyOfRange(bytes, position, Math.min(length, position + maxBytes));
    }

    /** Inverts some bits of {@code count} bytes. */
    void corrupt(int position, int count) {
        for (int i = position; i < position + count; i++) {
            bytes[i] ^= 0x5a;
        }
    }
}
