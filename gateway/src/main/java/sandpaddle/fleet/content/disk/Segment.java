package sandpaddle.fleet.content.disk;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import sandpaddle.fleet.content.ContentId;

/** A segment on disk and the answers in it that still count; it is never changed, only removed as a whole. */
final class Segment {
    private final String name;
    private final long size;
    private final Map<ContentId, AnswerLocation> live = new HashMap<>();

    Segment(String name, long size, Collection<AnswerLocation> slots) {
        this.name = name;
        this.size = size;
        slots.forEach(s -> live.put(s.id(), s));
    }

    String name() {
        return name;
    }

    long size() {
        return size;
    }

    Map<ContentId, AnswerLocation> live() {
        return live;
    }

    /** Worth a byte of disk, dead bytes counted: what is lost least is removed first. */
    double density(long wall) {
        return live.values().stream().mapToDouble(s -> s.worth(wall)).sum() / Math.max(1, size);
    }
}
