package sandpaddle.fleet.limit.search;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Depth-first search of all event sequences up to a horizon; states that were reached before are skipped. */
final class ExhaustiveSearch {
    private final int horizon;
    private final Set<Long> seenStates = new HashSet<>();
    private final ArrayDeque<Event> path = new ArrayDeque<>();
    long steps;
    int maxRunning;
    List<Event> violation; // events that lead to more than the limit; null if none do

    ExhaustiveSearch(int horizon) {
        this.horizon = horizon;
    }

    ExhaustiveSearch from(FleetModel model) {
        seenStates.add(StateCopier.digest(model));
        searchFrom(model);
        return this;
    }

    private boolean searchFrom(FleetModel model) {
        if (model.time >= horizon) {
            return false;
        }
        List<Event> events = model.events();
        for (int i = 0; i < events.size(); i++) {
            FleetModel next = i == events.size() - 1 ? model : StateCopier.copy(model);
            path.addLast(events.get(events.size() - 1 - i));
            next.step(path.getLast());
            steps++;
            maxRunning = Math.max(maxRunning, next.running());
            if (next.isOverLimit()) {
                violation = new ArrayList<>(path);
                return true;
            }
            if (seenStates.add(StateCopier.digest(next)) && searchFrom(next)) {
                return true;
            }
            path.removeLast();
        }
        return false;
    }

    int states() {
        return seenStates.size();
    }
}
