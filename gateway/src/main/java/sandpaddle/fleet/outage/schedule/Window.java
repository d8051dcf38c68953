package sandpaddle.fleet.outage.schedule;

import java.util.SortedSet;
import java.util.TreeSet;

/** An expected outage of a zone: overlapping windows made one, with the names of the rules that it came from. */
public record Window(String zone, TimeRange span, SortedSet<String> rules) {
    Window with(Window other) {
        SortedSet<String> all = new TreeSet<>(rules);
        all.addAll(other.rules);
        return new Window(
                zone,
                new TimeRange(Math.min(span.from(), other.span.from()), Math.max(span.to(), other.span.to())),
                all);
    }
}
