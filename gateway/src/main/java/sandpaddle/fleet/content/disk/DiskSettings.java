package sandpaddle.fleet.content.disk;

/**
 * Settings of the disk tier.
 *
 * @param quotaBytes maximum size of all segments together
 * @param segmentBytes size of the write buffer at which a segment is written; a larger entry becomes a segment of its
 *     own
 * @param maxEntries maximum number of entries on disk; the index takes about 250 bytes of memory for each
 * @param maxFiles maximum number of segments, and of file names read at the start
 * @param retryUs backoff after a failed write
 */
public record DiskSettings(long quotaBytes, int segmentBytes, int maxEntries, int maxFiles, long retryUs) {
    /** Default settings. */
    public static final DiskSettings DEFAULT = new DiskSettings(1L << 30, 4 << 20, 200_000, 2048, 5_000_000);

    /** Checks the bounds. */
    public DiskSettings {
        if (quotaBytes < 0 || segmentBytes < 1 || maxEntries < 1 || maxFiles < 2 || retryUs < 0) {
            throw new IllegalArgumentException("disk tier settings below their minimum: quotaBytes " + quotaBytes
                    + " (0), segmentBytes " + segmentBytes
                    + " (1), maxEntries " + maxEntries + " (1), maxFiles " + maxFiles + " (2), retryUs "
                    + retryUs + " (0)");
        }
    }
}
