package sandpaddle.fleet.store.mv;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import org.h2.store.fs.FileBaseDefault;
import sandpaddle.fleet.store.disk.DiskFile;

/**
 * Adapts a {@link DiskFile} to the channel that MVStore reads and writes. It records the first I/O error, because
 * MVStore replaces it by an error of its own.
 */
final class DiskFileChannel extends FileBaseDefault {
    private final DiskFile file;
    private IOException firstFailure;

    DiskFileChannel(DiskFile file) {
        this.file = file;
    }

    /** The error of the first failed read, write or sync, or null. */
    IOException firstFailure() {
        return firstFailure;
    }

    private IOException recordFailure(IOException error) {
        firstFailure = firstFailure == null ? error : firstFailure;
        return error;
    }

    @Override
    public long size() throws IOException {
        try {
            return file.size();
        } catch (IOException e) {
            throw recordFailure(e);
        }
    }

    @Override
    public int read(ByteBuffer buffer, long position) throws IOException {
        try {
            return file.read(position, buffer);
        } catch (IOException e) {
            throw recordFailure(e);
        }
    }

    @Override
    public int write(ByteBuffer buffer, long position) throws IOException {
        int length = buffer.remaining();
        try {
            file.write(position, buffer);
            return length;
        } catch (IOException e) {
            throw recordFailure(e);
        }
    }

    @Override
    protected void implTruncate(long size) throws IOException {
        try {
            file.truncate(size);
        } catch (IOException e) {
            throw recordFailure(e);
        }
    }

    @Override
    public void force(boolean metadata) throws IOException {
        try {
            file.force();
        } catch (IOException e) {
            throw recordFailure(e);
        }
    }

    /** Always succeeds: the directory has one lock for all its files. */
    @Override
    public FileLock tryLock(long position, long length, boolean shared) {
        return new FileLock((FileChannel) this, position, length, shared) {
            @Override
            public boolean isValid() {
                return isOpen();
            }

            @Override
            public void release() {
                // nothing was locked
            }
        };
    }

    @Override
    protected void implCloseChannel() throws IOException {
        file.close();
    }
}
