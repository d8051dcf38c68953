package sandpaddle.fleet.content.disk;

/**
 * A fault of the disk tier, for the log; clients never receive one.
 *
 * @param kind class of the fault
 * @param file name of the file, or empty if the fault concerns the directory or an entry
 * @param detail what was found and what was done
 */
public record DiskFault(Kind kind, String file, String detail) {
    /** Class of a fault. */
    public enum Kind {
        /** The disk is full: the least valuable segments were evicted, or the write buffer stays in memory. */
        FULL,
        /** A file could not be written, synced, renamed or deleted; a failed write is retried after a delay. */
        WRITE,
        /** A file or directory could not be read; its entries count as not cached. */
        READ,
        /** A checksum or format does not match; the entry is dropped, or the file is quarantined. */
        CORRUPT,
        /** A file is shorter than its header states; the entries beyond its end are lost. */
        TORN,
        /** A file that the disk tier did not create; it is ignored. */
        FOREIGN,
        /** More files or entries than the settings allow. */
        MANY
    }
}
