package sandpaddle.fleet.content.copy;

/**
 * Bounds of copying at one gateway.
 *
 * @param offersMost offers to one neighbour that wait for its answer
 * @param queuedMost names that wait to be offered to one neighbour; the youngest beyond that are not offered
 * @param partsMost copies coming in at one time
 * @param bytesMost of the copies coming in together
 * @param answerUs what was not answered for so long is sent again, {@code tries} times in all
 */
public record ReplicationSettings(int offersMost, int queuedMost, int partsMost, long bytesMost, long answerUs,
        int tries) {
    public static final ReplicationSettings DEFAULT = new ReplicationSettings(32, 100_000, 16, 32L << 20, 5_000_000, 5);
}
