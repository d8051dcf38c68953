package sandpaddle.fleet.store;

import java.io.IOException;

/** An operation of the store failed. Changes that were not flushed before are lost. */
public final class StoreException extends IOException {
    private static final long serialVersionUID = 1;

    /** Cause of the failure. Logs show the constant's name. */
    public enum Kind {
        /** The disk, its quota, the limit on file sizes or the store's own bound is full. */
        FULL,
        /** The file or directory is not writable. */
        READ_ONLY,
        /** A read, write or sync of the disk failed. */
        IO,
        /** The stored data is not the data that was written, or is not trusted. */
        CORRUPT,
        /** Another process, or another store of this process, has locked the directory. */
        LOCKED,
        /** The directory was restored from an older copy. */
        OLD_COPY,
        /** The directory belongs to another cluster or member. */
        FOREIGN,
        /** The store is closed. */
        CLOSED
    }

    private final Kind kind;

    /** Creates an exception with the error that caused it, or null. */
    public StoreException(Kind kind, String message, Throwable cause) {
        super(message, cause);
        this.kind = kind;
    }

    /** Creates an exception without a cause. */
    public StoreException(Kind kind, String message) {
        this(kind, message, null);
    }

    /** The cause of the failure. */
    public Kind kind() {
        return kind;
    }
}
