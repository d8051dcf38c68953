package sandpaddle.fleet.content.disk;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import sandpaddle.fleet.content.ResultId;

/** An immutable segment on disk and its live entries. */
final class Segment {
    private final String name;
    private final long size;
    private final Map<ResultId, EntryLocation> live = new HashMap<>();

    Segment(String name, long size, Collection<EntryLocation> locations) {
        this.name = name;
        this.size = size;
        locations.forEach(location -> live.put(location.id(), location));
    }

    String name() {
        return name;
    }

    long size() {
        return size;
    }

    Map<ResultId, EntryLocation> live() {
        return live;
    }

    /** Returns the value of the live entries per byte of the file; segments with the lowest are evicted first. */
    double valuePerByte(long wallMs) {
        return live.values().stream()
                        .mapToDouble(location -> location.value(wallMs))
                        .sum()
                / Math.max(1, size);
    }
}
