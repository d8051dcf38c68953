package sandpaddle.fleet.content.disk;

import java.io.IOException;
import java.util.List;

/** The files of one directory, as the disk tier sees them; tests have one that fails when told to. */
public interface Files {
    /** The disk, the quota or the file size allowed is used up. */
    final class NoRoomException extends IOException {
        private static final long serialVersionUID = 1;

        public NoRoomException(String what) {
            super(what);
        }
    }

    /** The names there, at most so many. */
    List<String> list(int max) throws IOException;

    long size(String name) throws IOException;

    /** Bytes from a place on; fewer where the file ends before. */
    byte[] read(String name, long at, int length) throws IOException;

    /** Writes a file whole, in place of one of that name; a fault may leave a part of it. */
    void write(String name, byte[] bytes) throws IOException;

    /** What was written to a file is durable after this. */
    void sync(String name) throws IOException;

    /** Names made, changed and removed are durable after this. */
    void syncNames() throws IOException;

    /** Gives a file another name, at once, in place of one that had it. */
    void rename(String from, String to) throws IOException;

    /** Removes a file; one that is not there is no fault. */
    void delete(String name) throws IOException;
}
