package sandpaddle.fleet.content.disk;

import sandpaddle.fleet.content.AnswerMetadata;
import sandpaddle.fleet.content.ContentId;
import sandpaddle.fleet.content.StoredAnswer;

/** An answer encoded for the disk, and what the index knows of it. */
record EncodedAnswer(ContentId id, long askedWall, long maxAgeMs, double worth, byte[] bytes) {
    static EncodedAnswer of(StoredAnswer answer) {
        AnswerMetadata m = answer.meta();
        return new EncodedAnswer(m.key().id(), m.askedWall(), m.maxAgeMs(), m.worth(), answer.body());
    }

    /** Worth a byte; nothing once it is too old to be handed out. */
    double density(long wall) {
        return wall - askedWall > maxAgeMs ? 0 : worth / Math.max(1, bytes.length);
    }
}
