package sandpaddle.fleet.content.replication;

import java.util.Optional;
import sandpaddle.fleet.content.CachedResult;
import sandpaddle.fleet.content.ResultCache;
import sandpaddle.fleet.content.ResultId;

/**
 * Adapts a {@link ResultCache} to replication. A received result gets a request time by the clock of this process from
 * the age that it was sent with. A result of an earlier incarnation is not offered while the wall clock is set back,
 * since its age is unknown. {@link #setTime} has to be called before each call to {@link ResultReplication}.
 */
public final class CacheReplicaStore implements ReplicaStore {
    private final ResultCache cache;
    private final long incarnation;
    private final long wallSlackMs;
    private long nowUs;
    private long wallMs;

    /**
     * Creates an adapter.
     *
     * @param cache the cached results
     * @param incarnation incarnation of this gateway
     * @param wallSlackMs added to the age of results of another incarnation
     */
    public CacheReplicaStore(ResultCache cache, long incarnation, long wallSlackMs) {
        this.cache = cache;
        this.incarnation = incarnation;
        this.wallSlackMs = wallSlackMs;
    }

    /** Sets the current monotonic and wall-clock time. */
    public void setTime(long newNowUs, long newWallMs) {
        nowUs = newNowUs;
        wallMs = newWallMs;
    }

    /** Returns an upper bound for the age of a result in milliseconds. */
    public long ageMs(CachedResult result) {
        return result.metadata().ageMs(nowUs, wallMs, incarnation)
                + (result.metadata().incarnation() == incarnation ? 0 : wallSlackMs);
    }

    @Override
    public long requestedAtMs(ResultId id) {
        return cache.requestedAtMs(id);
    }

    @Override
    public Optional<CachedResult> find(ResultId id) {
        return cache.findById(id)
                .filter(result -> result.metadata().incarnation() == incarnation || cache.isWallClockTrusted(wallMs));
    }

    @Override
    public boolean put(CachedResult result, long ageMs) {
        return cache.put(
                new CachedResult(result.metadata().withLocalClock(nowUs, ageMs, incarnation), result.rows()),
                nowUs,
                wallMs);
    }
}
