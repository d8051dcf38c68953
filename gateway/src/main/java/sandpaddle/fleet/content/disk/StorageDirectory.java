package sandpaddle.fleet.content.disk;

import java.io.IOException;
import java.util.List;

/** File operations of the disk tier in one directory; tests replace it to inject faults. */
public interface StorageDirectory {
    /** The disk is full, or a disk quota or the maximum file size is reached. */
    final class DiskFullException extends IOException {
        private static final long serialVersionUID = 1;

        /** Creates an exception with the message of the operating system. */
        public DiskFullException(String message) {
            super(message);
        }
    }

    /** Returns the names of at most {@code max} files. */
    List<String> list(int max) throws IOException;

    /** Returns the size of a file in bytes. */
    long size(String name) throws IOException;

    /** Reads {@code length} bytes from an offset, or fewer if the file ends before. */
    byte[] read(String name, long offset, int length) throws IOException;

    /** Writes a file, replacing one of that name; a fault may leave a partial file. */
    void write(String name, byte[] bytes) throws IOException;

    /** Makes the contents of a file durable. */
    void sync(String name) throws IOException;

    /** Makes the creation, renaming and deletion of files durable. */
    void syncDirectory() throws IOException;

    /** Renames a file atomically, replacing one of the new name. */
    void rename(String from, String to) throws IOException;

    /** Deletes a file if it exists. */
    void delete(String name) throws IOException;
}
