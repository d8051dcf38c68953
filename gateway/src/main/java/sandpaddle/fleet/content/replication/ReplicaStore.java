package sandpaddle.fleet.content.replication;

import java.util.Optional;
import sandpaddle.fleet.content.CachedResult;
import sandpaddle.fleet.content.ResultId;

/** The cached results of this gateway, as replication accesses them. */
public interface ReplicaStore {
    /** Returns the wall-clock time (ms) at which the cached result was requested, or -1 if there is none. */
    long requestedAtMs(ResultId id);

    /** Returns a result that may be sent to other gateways. */
    Optional<CachedResult> find(ResultId id);

    /** Stores a received result that has the given age (ms); returns whether it was stored. */
    boolean put(CachedResult result, long ageMs);
}
