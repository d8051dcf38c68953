package sandpaddle.fleet.store.mv;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Arrays;
import sandpaddle.fleet.store.disk.DiskFile;

/**
 * File with the number of the last durable flush, written after that flush and never synced itself. It distinguishes
 * a torn flush that was never acknowledged from an acknowledged flush that the disk lost; in the content file alone
 * the two look the same (see "Protocol-Aware Recovery for Consensus-Based Storage", Alagappan et al., 2018). The
 * number is never too high. After a power loss it may be too low, by the flushes whose mark the operating system had
 * not written back.
 */
final class FlushMark {
    static final String NAME = "voter.mark";
    private static final int COUNT_BYTES = 8;
    private static final int FILE_BYTES = COUNT_BYTES + 4;

    private FlushMark() {}

    /** Reads the number of the last durable flush; 0 if there is none or its checksum does not match. */
    static long read(DiskFile file) throws IOException {
        ByteBuffer buffer = ByteBuffer.allocate(FILE_BYTES);
        if (file.read(0, buffer) < FILE_BYTES) {
            return 0;
        }
        buffer.flip();
        long flushes = buffer.getLong();
        return flushes > 0 && buffer.getInt() == HeaderFile.checksum(Arrays.copyOf(buffer.array(), COUNT_BYTES))
                ? flushes
                : 0;
    }

    /** Writes the number of the last durable flush, without a sync. */
    static void write(DiskFile file, long flushes) throws IOException {
        ByteBuffer buffer = ByteBuffer.allocate(FILE_BYTES).putLong(flushes);
        buffer.putInt(HeaderFile.checksum(Arrays.copyOf(buffer.array(), COUNT_BYTES)))
                .flip();
        file.write(0, buffer);
    }
}
