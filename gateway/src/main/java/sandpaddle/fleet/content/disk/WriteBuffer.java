package sandpaddle.fleet.content.disk;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import sandpaddle.fleet.content.ResultId;

/** Entries that are buffered to be written as one segment, the latest version of each. */
final class WriteBuffer {
    /** Maximum size of the description of one entry in the header of a segment. */
    private static final int MAX_ENTRY_HEADER_BYTES = 128;

    private final Map<ResultId, EncodedEntry> byId = new LinkedHashMap<>();
    private long bytes;

    void put(EncodedEntry entry) {
        remove(entry.id());
        byId.put(entry.id(), entry);
        bytes += entry.bytes().length;
    }

    /** Adds the entries that this buffer lacks. */
    void putAll(WriteBuffer other) {
        other.byId.values().stream().filter(entry -> !contains(entry.id())).forEach(this::put);
    }

    WriteBuffer copy() {
        WriteBuffer copy = new WriteBuffer();
        copy.putAll(this);
        return copy;
    }

    Optional<EncodedEntry> get(ResultId id) {
        return Optional.ofNullable(byId.get(id));
    }

    boolean contains(ResultId id) {
        return byId.containsKey(id);
    }

    void remove(ResultId id) {
        EncodedEntry previous = byId.remove(id);
        bytes -= previous == null ? 0 : previous.bytes().length;
    }

    void clear() {
        byId.clear();
        bytes = 0;
    }

    Collection<EncodedEntry> entries() {
        return byId.values();
    }

    Collection<ResultId> ids() {
        return byId.keySet();
    }

    int size() {
        return byId.size();
    }

    /** Returns an upper bound for the size of the segment in bytes. */
    long diskBytes() {
        return SegmentCodec.PREAMBLE_BYTES + bytes + (long) MAX_ENTRY_HEADER_BYTES * byId.size();
    }

    /** Evicts the entries with the lowest value per byte until the buffer is within the bounds. */
    void trim(long maxBytes, int maxEntries, long wallMs) {
        if (diskBytes() <= maxBytes && size() <= maxEntries) {
            return;
        }
        List<EncodedEntry> byValuePerByte = new ArrayList<>(byId.values());
        byValuePerByte.sort(Comparator.comparingDouble(entry -> entry.valuePerByte(wallMs)));
        for (EncodedEntry entry : byValuePerByte) {
            if (diskBytes() <= maxBytes && size() <= maxEntries) {
                return;
            }
            remove(entry.id());
        }
    }
}
