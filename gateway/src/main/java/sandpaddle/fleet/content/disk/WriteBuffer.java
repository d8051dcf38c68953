package sandpaddle.fleet.content.disk;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import sandpaddle.fleet.content.ContentId;

/** Answers buffered to be written together, the latest version of each. */
final class WriteBuffer {
    /** What one answer takes in a segment's head, at most. */
    private static final int HEAD_EACH = 128;

    private final Map<ContentId, EncodedAnswer> byId = new LinkedHashMap<>();
    private long bytes;

    void put(EncodedAnswer body) {
        remove(body.id());
        byId.put(body.id(), body);
        bytes += body.bytes().length;
    }

    /** Adds those that it has not. */
    void putAll(WriteBuffer others) {
        others.byId.values().stream().filter(b -> !has(b.id())).forEach(this::put);
    }

    WriteBuffer copy() {
        WriteBuffer copy = new WriteBuffer();
        copy.putAll(this);
        return copy;
    }

    Optional<EncodedAnswer> get(ContentId id) {
        return Optional.ofNullable(byId.get(id));
    }

    boolean has(ContentId id) {
        return byId.containsKey(id);
    }

    void remove(ContentId id) {
        EncodedAnswer old = byId.remove(id);
        bytes -= old == null ? 0 : old.bytes().length;
    }

    void clear() {
        byId.clear();
        bytes = 0;
    }

    Collection<EncodedAnswer> bodies() {
        return byId.values();
    }

    Collection<ContentId> ids() {
        return byId.keySet();
    }

    int size() {
        return byId.size();
    }

    /** Bytes that they take on disk, head and all, at most. */
    long diskBytes() {
        return SegmentCodec.PRELUDE + bytes + (long) HEAD_EACH * byId.size();
    }

    /** Drops the least valuable until no more than so many bytes and answers are left. */
    void trim(long maxBytes, int maxAnswers, long wall) {
        if (diskBytes() <= maxBytes && size() <= maxAnswers) {
            return;
        }
        List<EncodedAnswer> byDensity = new ArrayList<>(byId.values());
        byDensity.sort(Comparator.comparingDouble(b -> b.density(wall)));
        for (EncodedAnswer b : byDensity) {
            if (diskBytes() <= maxBytes && size() <= maxAnswers) {
                return;
            }
            remove(b.id());
        }
    }
}
