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
import sandpaddle.fleet.content.ContentId;
import sandpaddle.fleet.content.StoredAnswer;

/**
 * Stored answers in memory, within so many bytes; where there is no room the ones with the least worth a byte go. An
 * entry costs its rows, its key and about {@value #OVERHEAD} bytes besides. O(log n) a change.
 */
public final class MemoryTier {
    /** Of the two indexes and the objects of one entry. */
    static final int OVERHEAD = 300;

    private record Entry(StoredAnswer answer, double density) {
        long size() {
            return answer.size() + OVERHEAD;
        }

        ContentId id() {
            return answer.meta().key().id();
        }
    }

    private static final Comparator<Entry> MIN_FIRST =
            Comparator.comparingDouble(Entry::density).thenComparing(Entry::id);

    private final long maxBytes;
    private final Map<ContentId, Entry> byId = new HashMap<>();
    private final TreeSet<Entry> byDensity = new TreeSet<>(MIN_FIRST);
    private long bytes;

    public MemoryTier(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Takes an answer in place of an older one; returns what had to go for it, itself where it is worth least. */
    public List<StoredAnswer> put(StoredAnswer answer) {
        remove(answer.meta().key().id());
        Entry held = new Entry(answer, answer.meta().worth() / (answer.size() + OVERHEAD));
        byId.put(held.id(), held);
        byDensity.add(held);
        bytes += held.size();
        List<StoredAnswer> gone = new ArrayList<>();
        while (bytes > maxBytes) {
            Entry min = byDensity.first();
            remove(min.id());
            gone.add(min.answer);
        }
        return gone;
    }

    public Optional<StoredAnswer> get(ContentId id) {
        return Optional.ofNullable(byId.get(id)).map(Entry::answer);
    }

    public boolean remove(ContentId id) {
        Entry held = byId.remove(id);
        if (held != null) {
            byDensity.remove(held);
            bytes -= held.size();
        }
        return held != null;
    }

    public Set<ContentId> ids() {
        return Collections.unmodifiableSet(byId.keySet());
    }

    public int size() {
        return byId.size();
    }

    public long bytes() {
        return bytes;
    }
}
