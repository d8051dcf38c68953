package sandpaddle.fleet.outage.recovery;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import sandpaddle.fleet.content.Candidate;
import sandpaddle.fleet.content.ResultId;
import sandpaddle.fleet.outage.plan.Allowance;
import sandpaddle.fleet.outage.plan.Fetch;
import sandpaddle.fleet.outage.plan.Plan;
import sandpaddle.fleet.outage.plan.PlanExecutor;

/**
 * What clients were handed out as stored in an outage is fetched anew after it, by what was asked most for its work,
 * as slowly as {@link ReturnScheduler#refresh} says. At most {@value #MAX_ANSWERS} answers are remembered; of others
 * the next ask itself brings a fresh one.
 */
public final class Refreshes {
    static final int MAX_ANSWERS = 10_000;

    private record Handed(Candidate what, long times) {
        double density() {
            return times * what.priorityWeight() / Math.max(1, what.workUs());
        }
    }

    private final Map<ResultId, Handed> handed = new LinkedHashMap<>();
    private final PlanExecutor planExecutor = new PlanExecutor();

    /** A stored answer was handed out. */
    public void handedOut(Candidate what) {
        Handed old = handed.get(what.key().id());
        if (old != null || handed.size() < MAX_ANSWERS) {
            handed.put(what.key().id(), new Handed(what, old == null ? 1 : old.times + 1));
        }
    }

    /** An engine answered it meanwhile: nothing is to be fetched for it, unless that was begun. */
    public void served(ResultId id) {
        handed.remove(id);
    }

    /** The link is back: what is remembered is to be fetched. Call it once a return. */
    public void begin() {
        List<Handed> order = new ArrayList<>(handed.values());
        order.sort((a, b) -> Double.compare(b.density(), a.density()));
        planExecutor.plan(new Plan(
                order.stream()
                        .map(h -> new Fetch(h.what, Long.MIN_VALUE, h.times))
                        .toList(),
                0,
                0));
    }

    /** The fetches to begin now; one that a client's ask has made needless is left out. */
    public List<Fetch> next(long now, Allowance allowance) {
        List<Fetch> begun = new ArrayList<>();
        for (Fetch f : planExecutor.next(now, 0, allowance)) {
            ResultId id = f.what().key().id();
            if (handed.containsKey(id)) {
                begun.add(f);
            } else {
                planExecutor.ended(id, true);
            }
        }
        return begun;
    }

    /** A fetch ended. */
    public void ended(ResultId id, boolean stored) {
        planExecutor.ended(id, stored);
        if (stored) {
            handed.remove(id);
        }
    }

    /** The link was lost again: what is left waits for the next return. */
    public void stop() {
        planExecutor.stop();
    }

    public int waiting() {
        return planExecutor.waiting();
    }
}
