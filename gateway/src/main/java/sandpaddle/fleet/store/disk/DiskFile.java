package sandpaddle.fleet.store.disk;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;

/**
 * A file read and written by position. Written data is durable once {@link #force} has returned; after a crash before
 * that, any part of it may be on the disk. Not thread-safe.
 */
public interface DiskFile extends Closeable {
    /**
     * Reads until the buffer is full or the file ends.
     *
     * @param position offset in the file (bytes)
     * @param buffer receives the data
     * @return number of bytes read, less than the buffer holds only at the end of the file; -1 beyond it
     */
    int read(long position, ByteBuffer buffer) throws IOException;

    /**
     * Writes the remaining bytes of the buffer. After an exception, part of them may have been written.
     *
     * @param position offset in the file (bytes)
     * @param buffer data to write
     */
    void write(long position, ByteBuffer buffer) throws IOException;

    /** Length of the file (bytes). */
    long size() throws IOException;

    /** Cuts the file to {@code size} bytes, if it is longer. */
    void truncate(long size) throws IOException;

    /** Makes content and length durable (fsync). If it fails, the durable content is undefined. */
    void force() throws IOException;

    @Override
    void close() throws IOException;
}
