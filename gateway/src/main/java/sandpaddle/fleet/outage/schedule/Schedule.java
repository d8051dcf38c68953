package sandpaddle.fleet.outage.schedule;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * When zones are expected to lose their uplink: windows that come once and recurrences (RFC 5545, by lib-recur),
 * placed by time zone and merged by zone where they overlap. It only says what is expected; that a zone is cut off
 * takes evidence. A look-ahead is expanded once and kept until it no longer covers what is asked; it costs at most
 * {@value Expansion#MAX_OCCURRENCES} steps a rule and holds at most {@value #MAX_WINDOWS} windows a zone.
 */
public final class Schedule {
    /** Rules in one schedule. */
    public static final int MAX_RULES = 256;

    static final int MAX_WINDOWS = 2048;
    private static final long AHEAD_MS = 35L * 24 * 3600 * 1000;
    private static final long BEHIND_MS = 8L * 24 * 3600 * 1000;

    /** Without any rule. */
    public static final Schedule NONE = new Schedule(List.of());

    private record Ahead(TimeRange covered, List<Window> windows) {}

    private final List<Rule> rules;
    private final Map<String, Ahead> byZone = new HashMap<>(); // an entry a zone that a rule names

    public Schedule(List<Rule> rules) {
        this.rules = List.copyOf(rules);
    }

    public List<Rule> rules() {
        return rules;
    }

    /** The merged windows of a zone that end after {@code wall} (ms) and begin within {@code ahead} (ms) of it. */
    public List<Window> windows(String zone, long wall, long ahead) {
        long until = wall + Math.min(ahead, AHEAD_MS / 2);
        Ahead known = byZone.get(zone);
        if (known == null || known.covered.from() + BEHIND_MS / 2 > wall || known.covered.to() < until) {
            if (rules.stream().noneMatch(r -> r.zone().equals(zone))) {
                return List.of();
            }
            known = expand(zone, new TimeRange(wall - BEHIND_MS, wall + AHEAD_MS));
            byZone.put(zone, known);
        }
        return known.windows.stream()
                .filter(w -> w.span().to() > wall && w.span().from() <= until)
                .toList();
    }

    private Ahead expand(String zone, TimeRange asked) {
        List<Window> all = new ArrayList<>();
        for (Rule r : rules) {
            if (r.zone().equals(zone)) {
                for (TimeRange s : Expansion.of(r, asked)) {
                    all.add(new Window(zone, s, new TreeSet<>(List.of(r.name()))));
                }
            }
        }
        all.sort(Comparator.comparingLong(w -> w.span().from()));
        List<Window> merged = new ArrayList<>();
        for (Window w : all) {
            Window last = merged.isEmpty() ? null : merged.get(merged.size() - 1);
            if (last != null && last.span().meets(w.span())) {
                merged.set(merged.size() - 1, last.with(w));
            } else if (merged.size() < MAX_WINDOWS) {
                merged.add(w);
            }
        }
        return new Ahead(asked, merged);
    }
}
