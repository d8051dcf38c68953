package sandpaddle.crossing;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/** Visits every sequence of moves up to a depth from one start: each is a play of its own, checked by the oracle. */
final class Interleavings {
    /** A play that broke a rule, also where the kernel was waited for at each step. */
    record Broken(String route, Play.Start start, List<Move> moves, List<String> faults, List<Seen> record) {
        @Override
        public String toString() {
            return "%s from %s: %s%n  moves %s%n  record %s".formatted(route, start, faults, moves, record);
        }
    }

    private final String route;
    private final Play.Start start;
    private final Set<Event> events;
    private final Set<Move.When> whens;
    private final List<Broken> broken = new ArrayList<>();
    private int visited, strict;

    Interleavings(String route, Play.Start start, Set<Event> events, Set<Move.When> whens) {
        this.route = route;
        this.start = start;
        this.events = events;
        this.whens = whens;
    }

    /** How many of them broke a rule at first sight, and were played again strictly. */
    int strict() {
        return strict;
    }

    int visited() {
        return visited;
    }

    List<Broken> broken() {
        return broken;
    }

    void visit(int depth) throws Exception {
        List<List<Move>> next = List.of(List.of());
        for (int i = 0; i <= depth && broken.isEmpty(); i++) { // the shortest ones that break a rule are enough
            List<List<Move>> longer = new ArrayList<>();
            for (List<Move> moves : next) {
                visit(moves, i < depth ? longer : null, i + 1 < depth);
            }
            next = longer;
        }
    }

    /** {@code joins}: whether what comes next may be joined with a move after it. */
    private void visit(List<Move> moves, List<List<Move>> longer, boolean joins) throws Exception {
        visited++;
        try (Play play = new Play(route, start, false)) {
            play.take(moves);
            if (longer != null) {
                for (Event e : events) {
                    for (Move.When w : whens) {
                        Move m = new Move(e, w);
                        if ((joins || w != Move.When.JOINED) && m.isEnabled(play.actors())) {
                            List<Move> more = new ArrayList<>(moves);
                            more.add(m);
                            longer.add(more);
                        }
                    }
                }
            }
            play.finish();
            if (Oracle.faults(route, play.record()).isEmpty()) {
                return;
            }
        }
        strict++;
        try (Play play = new Play(route, start, true)) {
            play.take(moves);
            play.finish();
            List<String> faults = Oracle.faults(route, play.record());
            if (!faults.isEmpty()) {
                broken.add(new Broken(route, start, moves, faults, play.record()));
            }
        }
    }
}
