package sandpaddle.fleet.store.disk;

import java.io.Closeable;
import java.io.IOException;
import java.util.List;

/**
 * The directory of a voter's store. Tests replace it by a simulated disk that loses, tears or rejects writes. Not
 * thread-safe.
 */
public interface Disk {
    /** Opens a file for reading and writing; creates it if it does not exist. */
    DiskFile open(String name) throws IOException;

    /** The names of the files in the directory, sorted. */
    List<String> fileNames() throws IOException;

    /** Renames a file atomically; durable after {@link #force}. */
    void rename(String from, String to) throws IOException;

    /** Deletes a file if it exists; durable after {@link #force}. */
    void delete(String name) throws IOException;

    /** Makes created, renamed and deleted directory entries durable (fsync of the directory). */
    void force() throws IOException;

    /** Free space for this process (bytes), as reported by the file system. */
    long freeBytes() throws IOException;

    /**
     * Locks the directory exclusively.
     *
     * @return releases the lock when it is closed
     * @throws LockedException if another process, or another store of this process, holds the lock
     */
    Closeable lock() throws IOException;

    /** The path of the directory, for messages. */
    @Override
    String toString();

    /** The directory is locked by another process or another store of this process. */
    final class LockedException extends IOException {
        private static final long serialVersionUID = 1;

        /** Creates an exception whose message names the directory and the holder of its lock. */
        public LockedException(String message) {
            super(message);
        }
    }
}
