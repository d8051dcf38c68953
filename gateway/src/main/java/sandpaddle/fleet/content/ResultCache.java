package sandpaddle.fleet.content;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import sandpaddle.fleet.content.disk.DiskFault;
import sandpaddle.fleet.content.disk.DiskTier;
import sandpaddle.fleet.content.memory.MemoryTier;

/**
 * The cached results of one gateway: a memory tier in front of an optional disk tier. A lookup compares the whole key,
 * never the hash alone. Calls may block on the disk, so they must not come from the event loop; not thread-safe.
 */
public final class ResultCache {
    /** Maximum time by which the wall clock may be behind the newest result without counting as set back. */
    static final long MAX_CLOCK_LAG_MS = 2000;

    private final MemoryTier memory;
    private final Optional<DiskTier> disk;
    private final long flushUs;
    private long bufferedSinceUs = Long.MAX_VALUE;
    private long newestWallMs;
    private long keyMismatches;

    /**
     * Creates a cache over two tiers.
     *
     * @param memory the memory tier
     * @param disk the disk tier, if any
     * @param flushUs maximum time for which a result is buffered before it is written to disk
     */
    public ResultCache(MemoryTier memory, Optional<DiskTier> disk, long flushUs) {
        this.memory = memory;
        this.disk = disk;
        this.flushUs = flushUs;
        newestWallMs = disk.map(DiskTier::newestWallMs).orElse(0L);
    }

    /**
     * Stores a result.
     *
     * @param result the result
     * @param nowUs monotonic time
     * @param wallMs wall-clock time
     * @return false if a newer result is cached, or if this one exceeds the bounds of an entry
     */
    public boolean put(CachedResult result, long nowUs, long wallMs) {
        ResultId id = result.metadata().key().id();
        if (!result.isStorable() || requestedAtMs(id) > result.metadata().requestedAtWallMs()) {
            return false;
        }
        memory.put(result);
        newestWallMs = Math.max(newestWallMs, result.metadata().requestedAtWallMs());
        disk.ifPresent(d -> {
            d.put(result, nowUs, wallMs);
            bufferedSinceUs = Math.min(bufferedSinceUs, nowUs);
        });
        return true;
    }

    /** Returns the cached result of exactly this key. */
    public Optional<CachedResult> find(CacheKey key) {
        Optional<CachedResult> found = findById(key.id());
        if (found.isPresent() && !found.get().metadata().key().equals(key)) {
            keyMismatches++;
            return Optional.empty();
        }
        return found;
    }

    /** Returns the cached result with this id, for replication to another gateway of the zone. */
    public Optional<CachedResult> findById(ResultId id) {
        Optional<CachedResult> inMemory = memory.get(id);
        return inMemory.isPresent() ? inMemory : disk.flatMap(d -> d.get(id));
    }

    /** Returns the wall-clock time (ms) at which the cached result was requested, or -1 if there is none. */
    public long requestedAtMs(ResultId id) {
        long onDisk = disk.map(d -> d.requestedAtMs(id)).orElse(-1L);
        return memory.get(id)
                .map(a -> Math.max(onDisk, a.metadata().requestedAtWallMs()))
                .orElse(onDisk);
    }

    /** Removes a result from both tiers. */
    public void remove(ResultId id) {
        memory.remove(id);
        disk.ifPresent(d -> d.remove(id));
    }

    /** Writes buffered results to disk once they have waited long enough. Has to be called about once a second. */
    public void tick(long nowUs, long wallMs) {
        if (disk.isPresent() && bufferedSinceUs != Long.MAX_VALUE && nowUs - bufferedSinceUs >= flushUs) {
            bufferedSinceUs = disk.get().flush(nowUs, wallMs) ? Long.MAX_VALUE : nowUs;
        }
    }

    /**
     * Returns whether the wall clock can be used for the age of results of an earlier incarnation. It cannot while it
     * is behind the request time of a cached result: it was then set back by an unknown amount.
     */
    public boolean isWallClockTrusted(long wallMs) {
        return wallMs >= newestWallMs - MAX_CLOCK_LAG_MS;
    }

    /** Returns the ids of all cached results in both tiers. */
    public Set<ResultId> ids() {
        Set<ResultId> all = new TreeSet<>(memory.ids());
        disk.ifPresent(d -> all.addAll(d.ids()));
        return all;
    }

    /** Returns and clears the faults of the disk tier since the last call, for the log. */
    public List<DiskFault> faults() {
        return disk.map(DiskTier::faults).orElse(List.of());
    }

    /**
     * Returns how many lookups found a result of another key with the same hash; above 0 a disk or a peer is faulty.
     */
    public long keyMismatches() {
        return keyMismatches;
    }
}
