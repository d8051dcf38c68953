package sandpaddle.fleet.content.replication;

import sandpaddle.fleet.content.Candidate;
import sandpaddle.fleet.content.ResultId;

/** A message between the gateways of a zone about cached results. Messages may be lost, duplicated or reordered. */
public sealed interface ReplicationMessage {
    /**
     * Demand that the sender expects for a result in the next outage, sent to the gateway that prefetches it.
     *
     * @param candidate the result
     * @param expectedRequests expected number of requests at the sender
     */
    record Demand(Candidate candidate, double expectedRequests) implements ReplicationMessage {}

    /**
     * Offers a cached result.
     *
     * @param id id of the result
     * @param requestedAtWallMs wall-clock time (ms) at which the result was requested
     * @param ageMs age of the result when the offer was sent
     * @param length length of the encoded result in bytes
     * @param crc32c CRC-32C of the encoded result
     */
    record Offer(ResultId id, long requestedAtWallMs, long ageMs, int length, int crc32c)
            implements ReplicationMessage {}

    /**
     * Requests a chunk of an offered result.
     *
     * @param id id of the result
     * @param crc32c CRC-32C of the offered version
     * @param offset position of the chunk in the encoded result
     * @param maxLength maximum length of the chunk in bytes
     */
    record ChunkRequest(ResultId id, int crc32c, int offset, int maxLength) implements ReplicationMessage {}

    /**
     * Acknowledges an offer: the sender of this message has that version or a newer one, or has received it all.
     *
     * @param id id of the result
     */
    record Acknowledgement(ResultId id) implements ReplicationMessage {}

    /**
     * A chunk of a result.
     *
     * @param id id of the result
     * @param crc32c CRC-32C of the whole encoded result
     * @param offset position of the chunk in the encoded result
     * @param bytes the chunk
     */
    record Chunk(ResultId id, int crc32c, int offset, byte[] bytes) implements ReplicationMessage {}

    /**
     * Requests a result, to which the receiver replies with {@link Offer} or {@link NotFound}.
     *
     * @param id id of the result
     */
    record ResultRequest(ResultId id) implements ReplicationMessage {}

    /**
     * The sender does not have the result, or no longer that version of it.
     *
     * @param id id of the result
     */
    record NotFound(ResultId id) implements ReplicationMessage {}
}
