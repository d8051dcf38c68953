package sandpaddle.fleet.content.disk;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import sandpaddle.fleet.content.ResultId;

/** Maps each entry on disk to its segment; of several copies of an entry the one requested last is live. */
final class Index {
    private final Map<ResultId, Segment> byId = new HashMap<>();
    private final TreeMap<String, Segment> segments = new TreeMap<>(); // by name, whose order is that of creation
    private long bytes;
    private long newestWallMs;

    /** Adds a segment; of two versions of an entry the older one is no longer live. */
    void add(Segment added) {
        segments.put(added.name(), added);
        bytes += added.size();
        added.live().values().removeIf(location -> {
            Segment previous = byId.get(location.id());
            boolean isOlder = previous != null
                    && previous.live().get(location.id()).requestedAtWallMs() > location.requestedAtWallMs();
            if (!isOlder) {
                if (previous != null) {
                    previous.live().remove(location.id());
                }
                byId.put(location.id(), added);
                newestWallMs = Math.max(newestWallMs, location.requestedAtWallMs());
            }
            return isOlder;
        });
    }

    void remove(Segment segment) {
        if (segments.remove(segment.name(), segment)) {
            bytes -= segment.size();
            segment.live().keySet().forEach(byId::remove);
        }
    }

    /** Marks an entry as dead; its bytes are freed with its segment. */
    void markDead(ResultId id) {
        Segment segment = byId.remove(id);
        if (segment != null) {
            segment.live().remove(id);
        }
    }

    Optional<Segment> find(ResultId id) {
        return Optional.ofNullable(byId.get(id));
    }

    Optional<Segment> leastValuable(long wallMs) {
        return segments.values().stream().min(Comparator.comparingDouble(segment -> segment.valuePerByte(wallMs)));
    }

    Collection<Segment> segments() {
        return segments.values();
    }

    Collection<ResultId> ids() {
        return byId.keySet();
    }

    int entries() {
        return byId.size();
    }

    long bytes() {
        return bytes;
    }

    /** Returns the latest wall-clock time (ms) at which a result on disk was requested. */
    long newestWallMs() {
        return newestWallMs;
    }
}
