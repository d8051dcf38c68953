package sandpaddle.fleet.outage.schedule;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * Expected losses of the uplinks of zones: single windows and recurrences (RFC 5545, by lib-recur), resolved in their
 * time zones and merged by zone where they overlap. The schedule only says what is expected; whether a zone is isolated
 * is decided by evidence.
 *
 * <p>The windows of a zone are expanded for {@code LOOKAHEAD_MS} and cached until the cache no longer covers a request.
 * An expansion evaluates at most {@value OccurrenceExpander#MAX_OCCURRENCES} occurrences per rule and keeps at most
 * {@value #MAX_WINDOWS} windows per zone. Not thread-safe.
 */
public final class Schedule {
    /** Largest number of rules in a schedule. */
    public static final int MAX_RULES = 256;

    static final int MAX_WINDOWS = 2048;
    private static final long LOOKAHEAD_MS = 35L * 24 * 3600 * 1000;
    private static final long LOOKBEHIND_MS = 8L * 24 * 3600 * 1000;

    /** The schedule without rules. */
    public static final Schedule NONE = new Schedule(List.of());

    private record Lookahead(TimeRange covered, List<Window> windows) {}

    private final List<Rule> rules;
    private final Map<String, Lookahead> byZone = new HashMap<>(); // one entry for each zone with a rule

    /** Creates a schedule of validated rules. */
    public Schedule(List<Rule> rules) {
        this.rules = List.copyOf(rules);
    }

    /** Returns the rules. */
    public List<Rule> rules() {
        return rules;
    }

    /** Returns the merged windows of a zone that end after {@code wallMs} and start within {@code aheadMs} of it. */
    public List<Window> windows(String zone, long wallMs, long aheadMs) {
        long untilMs = wallMs + Math.min(aheadMs, LOOKAHEAD_MS / 2);
        Lookahead cached = byZone.get(zone);
        if (cached == null
                || cached.covered.startMs() + LOOKBEHIND_MS / 2 > wallMs
                || cached.covered.endMs() < untilMs) {
            if (rules.stream().noneMatch(rule -> rule.zone().equals(zone))) {
                return List.of();
            }
            cached = expand(zone, new TimeRange(wallMs - LOOKBEHIND_MS, wallMs + LOOKAHEAD_MS));
            byZone.put(zone, cached);
        }
        return cached.windows.stream()
                .filter(window ->
                        window.range().endMs() > wallMs && window.range().startMs() <= untilMs)
                .toList();
    }

    private Lookahead expand(String zone, TimeRange requested) {
        List<Window> all = new ArrayList<>();
        for (Rule rule : rules) {
            if (rule.zone().equals(zone)) {
                for (TimeRange range : OccurrenceExpander.expand(rule, requested)) {
                    all.add(new Window(zone, range, new TreeSet<>(List.of(rule.name()))));
                }
            }
        }
        all.sort(Comparator.comparingLong(window -> window.range().startMs()));
        List<Window> merged = new ArrayList<>();
        for (Window window : all) {
            Window last = merged.isEmpty() ? null : merged.get(merged.size() - 1);
            if (last != null && last.range().touches(window.range())) {
                merged.set(merged.size() - 1, last.mergedWith(window));
            } else if (merged.size() < MAX_WINDOWS) {
                merged.add(window);
            }
        }
        return new Lookahead(requested, merged);
    }
}
