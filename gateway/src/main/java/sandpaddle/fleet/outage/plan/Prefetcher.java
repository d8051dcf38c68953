package sandpaddle.fleet.outage.plan;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.function.ToLongFunction;
import sandpaddle.fleet.content.Candidate;
import sandpaddle.fleet.content.ResultId;
import sandpaddle.fleet.outage.phase.Phase;
import sandpaddle.fleet.outage.schedule.TimeRange;

/**
 * Prefetching of one gateway: hears what is asked and what answers cost, and while its zone expects to be cut off says
 * which answers to fetch now. Every answer is fetched by one gateway of the zone, the first of its {@link
 * ReplicaOwners}; the others tell that one how often they expect it to be asked. The plan is made anew every {@code
 * replanUs}, so that it follows what was fetched, what was not, and how near the loss is. A turn costs O(n log n) for n
 * candidates when it plans, and next to nothing otherwise.
 */
public final class Prefetcher {
    /** Expectations told to neighbours at one time. */
    static final int MAX_WANTS = 2000;

    /** An expectation for the gateway that fetches the answer. */
    public record Want(String to, Candidate what, double asks) {}

    /** What surrounds a turn: the zone's phase, the expected outage (wall, ms), its live gateways, this one among. */
    public record View(Phase phase, Optional<TimeRange> outage, Collection<String> live) {}

    private final String self;
    private final Budget budget;
    private final long replanUs;
    private final AskHistory history;
    private final Catalogue catalogue;
    private final PlanExecutor planExecutor = new PlanExecutor();
    private Plan plan = Plan.EMPTY;
    private long plannedAt = Long.MIN_VALUE;
    private boolean heard; // expectations of neighbours, for the window that comes

    /**
     * {@code budget}: of this gateway alone. Its bytes are the store's, divided by {@link ReplicaOwners#COPIES}, since
     * as much again comes from neighbours; its work is the zone's, divided by its gateways.
     */
    public Prefetcher(String self, Budget budget, long replanUs, AskHistory history, Catalogue catalogue) {
        this.self = self;
        this.budget = budget.late(replanUs / 1000);
        this.replanUs = replanUs;
        this.history = history;
        this.catalogue = catalogue;
    }

    /** A client asked, of a class that may repeat, whatever it was answered. */
    public void asked(long wall, long fingerprint) {
        history.asked(wall, fingerprint);
    }

    /** An engine answered such an ask. */
    public void served(Candidate what) {
        catalogue.served(what);
    }

    /** A neighbour told what it expects; it counts until the window is over. Before one is expected it is not heard. */
    public void wanted(String neighbour, Candidate what, double asks) {
        catalogue.wanted(neighbour, what, asks);
        heard = true;
    }

    /**
     * What is to be fetched now; {@code storedAt} tells when (wall, ms) the copy at hand was asked for, and -1 where
     * there is none or a load has outdated it.
     */
    public List<Fetch> turn(long now, long wall, View view, Allowance allowance, ToLongFunction<ResultId> storedAt) {
        if (view.phase() != Phase.FILLING || view.outage().isEmpty()) {
            if (planExecutor.waiting() > 0 || !plan.fetches().isEmpty()) {
                planExecutor.stop();
                plan = Plan.EMPTY;
            }
            if (heard && view.phase() != Phase.EXPECTING) {
                catalogue.forgetAll();
                heard = false;
            }
            plannedAt = Long.MIN_VALUE;
            return List.of();
        }
        if (plannedAt == Long.MIN_VALUE || now - plannedAt >= replanUs) {
            plannedAt = now;
            replan(wall, view, storedAt);
        }
        return planExecutor.next(now, wall, allowance);
    }

    private void replan(long wall, View view, ToLongFunction<ResultId> storedAt) {
        TimeRange outage = view.outage().get();
        TimeRange ahead =
                new TimeRange(Math.max(outage.from(), wall), Math.max(outage.to(), Math.max(outage.from(), wall) + 1));
        List<Candidate> mine = catalogue.candidates(storedAt).stream()
                .filter(c -> ReplicaOwners.asks(c.key().id(), view.live(), self))
                .toList();
        plan = Planner.plan(wall, ahead, mine, budget, catalogue.forecast(history.forecast(ahead), ahead));
        planExecutor.plan(plan);
    }

    /** A fetch ended; {@code stored}: its answer is at hand now. */
    public void ended(ResultId id, boolean stored) {
        planExecutor.ended(id, stored);
    }

    /** What this gateway expects to be asked in an outage and another fetches, the likeliest first. */
    public List<Want> wants(TimeRange outage, Collection<String> live) {
        Planner.Forecast forecast = history.forecast(outage);
        List<Want> wants = new ArrayList<>();
        for (Candidate c : catalogue.candidates(id -> -1)) {
            double asks = forecast.asks(c.fingerprint(), outage);
            List<String> owners = ReplicaOwners.of(c.key().id(), live);
            if (asks > 0 && !owners.isEmpty() && !owners.get(0).equals(self)) {
                wants.add(new Want(owners.get(0), c, asks));
            }
        }
        wants.sort((a, b) -> Double.compare(b.asks * b.what.priorityWeight(), a.asks * a.what.priorityWeight()));
        return List.copyOf(wants.subList(0, Math.min(MAX_WANTS, wants.size())));
    }

    /** What a copy asked for at a time (wall, ms) is worth in an outage: by it the store keeps and drops. */
    public double worth(Candidate what, long askedWall, TimeRange outage) {
        return Planner.worth(what, askedWall, outage, history::expected);
    }

    /** The plan in force, for the log and the operator. */
    public Plan plan() {
        return plan;
    }

    public PlanExecutor planExecutor() {
        return planExecutor;
    }
}
