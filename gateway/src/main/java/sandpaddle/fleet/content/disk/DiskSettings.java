package sandpaddle.fleet.content.disk;

/**
 * Bounds of the disk tier.
 *
 * @param quotaBytes of all segments together
 * @param segmentBytes a segment is written once so much waits; one answer larger than that makes a segment by itself
 * @param maxEntries answers on disk; the index takes about 250 bytes of memory for each
 * @param maxFiles segments, and names looked at when it starts
 * @param retryUs after a fault of the disk nothing is written for so long
 */
public record DiskSettings(long quotaBytes, int segmentBytes, int maxEntries, int maxFiles, long retryUs) {
    public static final DiskSettings DEFAULT = new DiskSettings(1L << 30, 4 << 20, 200_000, 2048, 5_000_000);

    public DiskSettings {
        if (quotaBytes < 0 || segmentBytes < 1 || maxEntries < 1 || maxFiles < 2 || retryUs < 0) {
            throw new IllegalArgumentException("bounds of the disk tier below their least");
        }
    }
}
