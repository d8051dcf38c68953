package sandpaddle.fleet.content.replication;

import sandpaddle.fleet.content.Candidate;
import sandpaddle.fleet.content.ContentId;

/** A message between the neighbours of a zone about stored answers. Each may come twice, late, or not at all. */
public sealed interface ReplicationMessage {
    /** The sender expects so many asks of it in the window that comes; the receiver is who fetches it. */
    record Want(Candidate what, double asks) implements ReplicationMessage {}

    /** The sender has a copy, of so many bytes with that CRC-32C, asked for at that time and so old now. */
    record Offer(ContentId id, long askedWall, long ageMs, int length, int crc) implements ReplicationMessage {}

    /** The receiver of an offer wants the copy with that checksum from a place on, so many bytes at most. */
    record Need(ContentId id, int crc, int from, int max) implements ReplicationMessage {}

    /** The receiver of an offer has it, or has one as young, or does not want it. */
    record Have(ContentId id) implements ReplicationMessage {}

    /** A part of a copy. */
    record Chunk(ContentId id, int crc, int from, byte[] bytes) implements ReplicationMessage {}

    /** The sender wants it, if the receiver has it: answered by an offer or by {@link Not}. */
    record Ask(ContentId id) implements ReplicationMessage {}

    /** The sender does not have it, or not that copy any more. */
    record Not(ContentId id) implements ReplicationMessage {}
}
