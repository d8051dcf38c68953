package sandpaddle.fleet.content.replication;

/**
 * Settings of replication at one gateway.
 *
 * @param maxOffers maximum number of unacknowledged offers to one gateway
 * @param maxQueued maximum number of results queued for one gateway; further ones are not queued
 * @param maxIncoming maximum number of incoming transfers
 * @param maxIncomingBytes maximum size of all incoming transfers together
 * @param responseTimeoutUs time without a response after which a message is repeated
 * @param maxAttempts maximum number of transmissions of a message
 */
public record ReplicationSettings(
        int maxOffers, int maxQueued, int maxIncoming, long maxIncomingBytes, long responseTimeoutUs, int maxAttempts) {
    /** Default settings. */
    public static final ReplicationSettings DEFAULT = new ReplicationSettings(32, 100_000, 16, 32L << 20, 5_000_000, 5);
}
