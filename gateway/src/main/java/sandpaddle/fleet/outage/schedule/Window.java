package sandpaddle.fleet.outage.schedule;

import java.util.SortedSet;
import java.util.TreeSet;

/**
 * An expected outage of a zone, merged from overlapping windows.
 *
 * @param zone name of the zone
 * @param range planned time
 * @param rules names of the rules that the window came from
 */
public record Window(String zone, TimeRange range, SortedSet<String> rules) {
    Window mergedWith(Window other) {
        SortedSet<String> all = new TreeSet<>(rules);
        all.addAll(other.rules);
        return new Window(
                zone,
                new TimeRange(
                        Math.min(range.startMs(), other.range.startMs()), Math.max(range.endMs(), other.range.endMs())),
                all);
    }
}
