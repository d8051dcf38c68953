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
 * Prefetching of one gateway: records which statements clients request and what their answers cost, and returns the
 * answers to fetch while an outage of the zone is expected.
 *
 * <p>Each answer is fetched by one gateway of the zone, the first of the answer's {@link ReplicaOwners}; the others
 * report to that gateway how many requests for the answer they expect. The plan is recomputed at a fixed interval, to
 * take into account which fetches have ended and how much time is left until the link is lost. A call of {@link
 * #startDueFetches} takes O(n log n) for n candidates when it recomputes the plan; otherwise its cost is that of the
 * fetches that it starts. Not thread-safe.
 */
public final class Prefetcher {
    /** Largest number of reports that one call of {@link #demandReports} returns. */
    static final int MAX_DEMAND_REPORTS = 2000;

    /**
     * Expected demand, reported to the gateway that fetches the answer.
     *
     * @param recipient gateway that fetches the answer
     * @param candidate the answer
     * @param demand requests that the sender expects in the outage
     */
    public record DemandReport(String recipient, Candidate candidate, double demand) {}

    /**
     * State of the zone at one time.
     *
     * @param phase phase of the zone
     * @param outage expected outage (wall clock, ms), margins included
     * @param liveGateways live gateways of the zone, including this one
     */
    public record ZoneState(Phase phase, Optional<TimeRange> outage, Collection<String> liveGateways) {}

    private final String self;
    private final PrefetchBudget budget;
    private final long replanIntervalUs;
    private final DemandHistory history;
    private final Candidates candidates;
    private final PlanExecutor planExecutor = new PlanExecutor();
    private Plan plan = Plan.EMPTY;
    private long plannedAtUs = Long.MIN_VALUE;
    private boolean hasNeighbourDemand; // whether a report arrived since the reports were last discarded

    /**
     * Creates a prefetcher without history.
     *
     * @param self name of this gateway
     * @param budget budget of this gateway alone: {@code bytes} is the size of the store divided by {@link
     *     ReplicaOwners#REPLICA_COUNT}, since the store also takes copies of answers that neighbours fetch, about as
     *     many bytes for each further replica; {@code workUsPerSecond} is that of the zone divided by the number of
     *     gateways in it
     * @param replanIntervalUs time between two plans, in microseconds
     * @param history request frequency of statements
     * @param candidates answers that may be fetched
     */
    public Prefetcher(
            String self, PrefetchBudget budget, long replanIntervalUs, DemandHistory history, Candidates candidates) {
        this.self = self;
        this.budget = budget.withDelayedOnset(replanIntervalUs / 1000);
        this.replanIntervalUs = replanIntervalUs;
        this.history = history;
        this.candidates = candidates;
    }

    /**
     * Records a client's request of a repeatable class when it arrives, whether or not it is answered later.
     *
     * @param wallMs wall-clock time in milliseconds
     * @param fingerprint fingerprint of the statement
     */
    public void recordRequest(long wallMs, long fingerprint) {
        history.recordRequest(wallMs, fingerprint);
    }

    /** Records that an engine answered a request of a repeatable class. */
    public void recordAnswer(Candidate candidate) {
        candidates.recordAnswer(candidate);
    }

    /**
     * Records the demand that a neighbour reports. Reports are kept while the zone expects an outage or prefetches for
     * it; in any other phase, as when the zone is isolated, the next call of {@link #startDueFetches} discards them.
     */
    public void receiveDemand(String neighbour, Candidate candidate, double demand) {
        candidates.recordDemand(neighbour, candidate, demand);
        hasNeighbourDemand = true;
    }

    /**
     * Returns the fetches to start now.
     *
     * @param nowUs monotonic time in microseconds
     * @param wallMs wall-clock time in milliseconds
     * @param zoneState state of the zone
     * @param limit limit on the fetches, from the capacity that live traffic leaves
     * @param storedAtMs returns when the stored copy was fetched (wall clock, ms), or -1 if there is none or a load has
     *     made it outdated
     */
    public List<Fetch> startDueFetches(
            long nowUs, long wallMs, ZoneState zoneState, FetchLimit limit, ToLongFunction<ResultId> storedAtMs) {
        if (zoneState.phase() != Phase.FILLING || zoneState.outage().isEmpty()) {
            if (planExecutor.waitingCount() > 0 || !plan.fetches().isEmpty()) {
                planExecutor.stop();
                plan = Plan.EMPTY;
            }
            if (hasNeighbourDemand && zoneState.phase() != Phase.EXPECTING) {
                candidates.clearDemand();
                hasNeighbourDemand = false;
            }
            plannedAtUs = Long.MIN_VALUE;
            return List.of();
        }
        if (plannedAtUs == Long.MIN_VALUE || nowUs - plannedAtUs >= replanIntervalUs) {
            plannedAtUs = nowUs;
            replan(wallMs, zoneState, storedAtMs);
        }
        return planExecutor.startDueFetches(nowUs, wallMs, limit);
    }

    private void replan(long wallMs, ZoneState zoneState, ToLongFunction<ResultId> storedAtMs) {
        TimeRange outage = zoneState.outage().get();
        TimeRange remainingOutage = new TimeRange(
                Math.max(outage.startMs(), wallMs), Math.max(outage.endMs(), Math.max(outage.startMs(), wallMs) + 1));
        List<Candidate> owned = candidates.list(storedAtMs).stream()
                .filter(candidate -> ReplicaOwners.isFetcher(candidate.key().id(), zoneState.liveGateways(), self))
                .toList();
        plan = Planner.plan(
                wallMs,
                remainingOutage,
                owned,
                budget,
                candidates.forecast(history.forecast(remainingOutage), remainingOutage));
        planExecutor.setPlan(plan);
    }

    /**
     * Records the end of a fetch.
     *
     * @param id answer that was fetched
     * @param stored whether the answer is stored now
     */
    public void fetchEnded(ResultId id, boolean stored) {
        planExecutor.fetchEnded(id, stored);
    }

    /**
     * Returns the demand that this gateway expects for answers that other gateways fetch: at most {@value
     * #MAX_DEMAND_REPORTS} reports, those with the highest product of demand and priority weight first.
     */
    public List<DemandReport> demandReports(TimeRange outage, Collection<String> liveGateways) {
        Planner.Forecast forecast = history.forecast(outage);
        List<DemandReport> reports = new ArrayList<>();
        // the recipient compares a candidate with its stored copy; whether this gateway has one does not matter
        for (Candidate candidate : candidates.list(id -> -1)) {
            double demand = forecast.demand(candidate.fingerprint(), outage);
            List<String> owners = ReplicaOwners.of(candidate.key().id(), liveGateways);
            if (demand > 0 && !owners.isEmpty() && !owners.get(0).equals(self)) {
                reports.add(new DemandReport(owners.get(0), candidate, demand));
            }
        }
        reports.sort((first, second) -> Double.compare(
                second.demand * second.candidate.priorityWeight(), first.demand * first.candidate.priorityWeight()));
        return List.copyOf(reports.subList(0, Math.min(MAX_DEMAND_REPORTS, reports.size())));
    }

    /**
     * Returns the expected value of an answer fetched at a time (wall clock, ms) in an outage; the store evicts by it.
     */
    public double value(Candidate candidate, long fetchedAtMs, TimeRange outage) {
        return Planner.value(candidate, fetchedAtMs, outage, history::expectedDemand);
    }

    /** Returns the current plan. */
    public Plan plan() {
        return plan;
    }

    /** Returns the executor of the plan. */
    public PlanExecutor planExecutor() {
        return planExecutor;
    }
}
