package sandpaddle.fleet.content.replication;

import java.util.Optional;
import sandpaddle.fleet.content.ContentId;
import sandpaddle.fleet.content.StoredAnswer;

/** The stored answers of this gateway, as replication sees them. */
public interface ReplicaStore {
    /** When (wall, ms) the copy here was asked for, -1 where there is none. */
    long askedAt(ContentId id);

    Optional<StoredAnswer> find(ContentId id);

    /** Takes a copy whose age (ms) was told; whether it is kept. */
    boolean take(StoredAnswer answer, long ageMs);
}
