package sandpaddle.fleet.content.memory;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import sandpaddle.fleet.content.CachedResult;
import sandpaddle.fleet.content.ResultId;

/**
 * Cached results in memory within a bound of bytes; evicts the entries with the lowest value per byte. An entry takes
 * its rows, its key and about {@value #ENTRY_OVERHEAD_BYTES} bytes. A change is O(log n). Not thread-safe.
 */
public final class MemoryTier {
    /** Estimated size in memory of one entry in both indexes. */
    static final int ENTRY_OVERHEAD_BYTES = 300;

    private record Entry(CachedResult result, double valuePerByte) {
        long size() {
            return result.memoryBytes() + ENTRY_OVERHEAD_BYTES;
        }

        ResultId id() {
            return result.metadata().key().id();
        }
    }

    private static final Comparator<Entry> BY_VALUE_PER_BYTE =
            Comparator.comparingDouble(Entry::valuePerByte).thenComparing(Entry::id);

    private final long maxBytes;
    private final Map<ResultId, Entry> byId = new HashMap<>();
    private final TreeSet<Entry> byValuePerByte = new TreeSet<>(BY_VALUE_PER_BYTE);
    private long bytes;

    /** Creates an empty tier of at most {@code maxBytes} bytes. */
    public MemoryTier(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Stores a result in place of one of the same key; returns the evicted results, which may include this one. */
    public List<CachedResult> put(CachedResult result) {
        remove(result.metadata().key().id());
        Entry entry = new Entry(result, result.metadata().value() / (result.memoryBytes() + ENTRY_OVERHEAD_BYTES));
        byId.put(entry.id(), entry);
        byValuePerByte.add(entry);
        bytes += entry.size();
        List<CachedResult> evicted = new ArrayList<>();
        while (bytes > maxBytes) {
            Entry leastValuable = byValuePerByte.first();
            remove(leastValuable.id());
            evicted.add(leastValuable.result);
        }
        return evicted;
    }

    /** Returns the result with this id. */
    public Optional<CachedResult> get(ResultId id) {
        return Optional.ofNullable(byId.get(id)).map(Entry::result);
    }

    /** Removes a result; returns whether it was present. */
    public boolean remove(ResultId id) {
        Entry entry = byId.remove(id);
        if (entry != null) {
            byValuePerByte.remove(entry);
            bytes -= entry.size();
        }
        return entry != null;
    }

    /** Returns an unmodifiable view of the ids of all entries. */
    public Set<ResultId> ids() {
        return Collections.unmodifiableSet(byId.keySet());
    }

    /** Returns the number of entries. */
    public int size() {
        return byId.size();
    }

    /** Returns the estimated size in memory of all entries in bytes. */
    public long bytes() {
        return bytes;
    }
}
