package sandpaddle.fleet.node.loop;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Queue;
import java.util.function.Consumer;
import org.tinylog.Logger;
import sandpaddle.decision.Micros;
import sandpaddle.decision.event.AttemptResult;
import sandpaddle.decision.event.EngineListReceived;
import sandpaddle.decision.event.EngineVerdict;
import sandpaddle.decision.event.EngineVerdictsChanged;
import sandpaddle.decision.event.Event;
import sandpaddle.decision.event.QuotasChanged;
import sandpaddle.decision.settings.DecisionSettings;
import sandpaddle.eventloop.Scheduler;
import sandpaddle.fleet.node.MonotonicClock;
import sandpaddle.fleet.verdict.watch.AttemptOutcome;
import sandpaddle.fleet.view.AttemptCounters;
import sandpaddle.fleet.view.FleetView;
import sandpaddle.fleet.view.SharedState;
import sandpaddle.query.Answer;
import sandpaddle.query.FleetCoordination;
import sandpaddle.query.Query;

/**
 * Coordination with the fleet on the event loop: reads the view, counts attempts, and passes events to the fleet's
 * thread through a bounded queue that never blocks. Quotas are enforced in three places: the decision module receives
 * each change, a starting attempt is counted against them, and idempotent attempts over quota are withdrawn when the
 * lease expires. Owned by the event loop, except {@link #isBusy}.
 */
public final class LoopCoordinator implements FleetCoordination {
    /** Looks up stored answers while the zone is isolated. */
    public interface StoredAnswerLookup {
        /**
         * Looks up the stored answer to a query.
         *
         * @param classIndex index of the request class
         * @param query the query
         * @param hasEnginesInZone whether an engine in this gateway's zone is up
         * @param callback receives the answer, empty if the query needs an engine; called on any thread
         */
        void lookUp(int classIndex, Query query, boolean hasEnginesInZone, Consumer<Optional<Answer>> callback);
    }

    /**
     * Channels between the event loop and the fleet's thread.
     *
     * @param events bounded queue of events for the fleet's thread
     * @param tasks unbounded queue of tasks for the event loop
     * @param wake wakes the event loop; called on any thread
     */
    public record Channels(Queue<LoopEvent> events, Queue<Runnable> tasks, Runnable wake) {}

    private static final long REFRESH_US = 20_000; // interval at which refilled buckets and expired leases are checked

    private final DecisionSettings decisionSettings;
    private final Scheduler loop;
    private final MonotonicClock clock;
    private final Queue<LoopEvent> loopEvents; // bounded, so that the loop never waits; drops what does not fit
    private final StoredAnswerLookup storedAnswers;
    private final Runnable wake;
    private final Queue<Runnable> tasks; // queued by other threads for the event loop
    private volatile long waitingQueries; // written by the event loop only
    private volatile boolean isRetryStorm;
    private final TenantIndexes tenants = new TenantIndexes();
    private final AttemptCounters counters;
    private final RateBuckets buckets = new RateBuckets();
    private final OrphanedAttempts orphaned;
    private final AllowanceCalculator allowanceCalculator;
    private final PoolBudget pools;
    private final ListedEngines listedEngines;
    private FleetView view = FleetView.EMPTY;
    private boolean wasLeaseUsable = true;
    private boolean isStale = true; // the quotas last reported may differ from the current ones
    private boolean isOverQuota;
    private QuotasChanged lastQuotas = new QuotasChanged(List.of(), 0);
    private EngineVerdictsChanged lastVerdicts = new EngineVerdictsChanged(List.of());
    private List<FleetView.Verdict> lastViewVerdicts = List.of();

    /**
     * Creates a coordinator that starts with the current view.
     *
     * @param decisionSettings settings of the decision module
     * @param loop the event loop
     * @param clock monotonic clock that views refer to
     * @param shared state shared with the fleet's thread
     * @param channels queues between the event loop and the fleet's thread
     * @param storedAnswers lookup of stored answers, null if none are stored
     * @param pools connection budgets of the pool policy
     * @param engineForgetUs time after which an engine drops a query that nobody polls (us)
     * @param leaseUs duration of a lease, which is the maximum Retry-After (us)
     */
    public LoopCoordinator(
            DecisionSettings decisionSettings,
            Scheduler loop,
            MonotonicClock clock,
            SharedState shared,
            Channels channels,
            StoredAnswerLookup storedAnswers,
            PoolBudget pools,
            long engineForgetUs,
            long leaseUs) {
        this.decisionSettings = decisionSettings;
        this.loop = loop;
        this.clock = clock;
        loopEvents = channels.events();
        tasks = channels.tasks();
        wake = channels.wake();
        this.storedAnswers = storedAnswers;
        this.pools = pools;
        counters = new AttemptCounters(
                shared.views(), shared.usages(), decisionSettings.classes().size());
        orphaned = new OrphanedAttempts(engineForgetUs);
        listedEngines = new ListedEngines(decisionSettings.zone());
        allowanceCalculator = new AllowanceCalculator(buckets, tenants, leaseUs);
        refresh();
    }

    /** Requests a turn for refilled buckets, released orphans and expired leases, which no event announces. */
    private void refresh() {
        long nowUs = clock.now();
        if (!buckets.isEmpty() && waitingQueries > 0
                || orphaned.nextReleaseUs() <= nowUs
                || view.isLeased(nowUs) != wasLeaseUsable) {
            isStale = true;
            loop.requestTurn();
        }
        loop.scheduleAfter(Micros.span(REFRESH_US), this::refresh);
    }

    @Override
    public List<Event> pollEvents() {
        for (Runnable task = tasks.poll(); task != null; task = tasks.poll()) {
            task.run();
        }
        long nowUs = clock.now();
        FleetView next = counters.adoptView();
        boolean released = orphaned.release(nowUs, counters::ended);
        boolean isLeaseUsable = next.isLeased(nowUs) && nowUs >= next.usableFromUs();
        if (next == view && isLeaseUsable == wasLeaseUsable && !released && !isStale && !tenants.pollGrown()) {
            return List.of();
        }
        // under a valid lease, attempts over quota are left to end by themselves
        isOverQuota |= !isLeaseUsable && (wasLeaseUsable || !next.quotas().equals(view.quotas()));
        view = next;
        wasLeaseUsable = isLeaseUsable;
        isStale = false;
        buckets.adoptView(view, nowUs);
        pools.closeIdleIfExceeded();
        List<Event> events = new ArrayList<>(2);
        QuotasChanged quotas = allowanceCalculator.calculate(view, counters, orphaned, listedEngines.up(), nowUs);
        if (!quotas.equals(lastQuotas)) {
            lastQuotas = quotas;
            Logger.debug("fleet: quotas by view {}, leased {}: {}", view.numbering(), wasLeaseUsable, quotas);
            events.add(quotas);
        }
        if (view.verdicts() != lastViewVerdicts) {
            lastViewVerdicts = view.verdicts();
            EngineVerdictsChanged verdicts = verdicts(nowUs);
            if (!verdicts.equals(lastVerdicts)) {
                lastVerdicts = verdicts;
                events.add(verdicts);
            }
        }
        return events;
    }

    /** The verdicts in the decision module's time, which has another origin than the monotonic clock. */
    private EngineVerdictsChanged verdicts(long nowUs) {
        long offsetUs = Micros.of(loop.now()) - nowUs;
        return new EngineVerdictsChanged(lastViewVerdicts.stream()
                .map(verdict -> new EngineVerdict(
                        verdict.engine(),
                        verdict.condition(),
                        verdict.sinceUs() + offsetUs,
                        verdict.untilUs() + offsetUs))
                .toList());
    }

    @Override
    public int requestReceived(int classIndex, Query query) {
        String counted = tenants.countedName(query.tenant());
        loopEvents.offer(new LoopEvent.QueryReceived(clock.now(), classIndex, counted, query));
        counters.addReceived(classIndex, counted);
        if (tenants.pollGrown()) {
            isStale = true;
            loopEvents.offer(new LoopEvent.TenantSeen(clock.now(), counted));
        }
        return tenants.index(counted);
    }

    @Override
    public void queuedRequestsChanged(int classIndex, String tenant, int delta) {
        counters.addWaiting(classIndex, tenants.countedName(tenant), delta);
        waitingQueries += delta; // not a race: this thread is the only writer
    }

    @Override
    public boolean tryStartAttempt(Query query, int classIndex, String engine) {
        long nowUs = clock.now();
        String tenant = tenants.countedName(query.tenant());
        if (!counters.tryStart(classIndex, tenant, engine, nowUs)) {
            isStale = true;
            return false;
        }
        if (!buckets.isEmpty()
                && !buckets.tryTake(
                        view,
                        counters.slots(classIndex, tenant, engine),
                        query.estimatedWork().toMillis(),
                        nowUs)) {
            counters.ended(classIndex, tenant, engine);
            isStale = true;
            return false;
        }
        isStale |= isFull(classIndex, tenant, engine, nowUs);
        return true;
    }

    /**
     * Whether a slot of a pool budget that covers the attempt is exhausted. Quotas are then reported again, since the
     * decision module cannot count against these slots itself.
     */
    private boolean isFull(int classIndex, String tenant, String engine, long nowUs) {
        for (int slot : counters.slots(classIndex, tenant, engine)) {
            if (view.slots().get(slot).poolScope() != null && counters.running(slot) >= view.quota(slot, nowUs)) {
                return true;
            }
        }
        return false;
    }

    @Override
    public void attemptEnded(EndedAttempt end) {
        long nowUs = clock.now();
        String tenant = tenants.countedName(end.query().tenant());
        isStale |= isFull(end.classIndex(), tenant, end.engine(), nowUs);
        if (end.stopped()) {
            counters.ended(end.classIndex(), tenant, end.engine());
        } else {
            orphaned.add(end.classIndex(), tenant, end.engine(), nowUs);
            isStale = true;
        }
        AttemptOutcome outcome = outcome(end.result());
        if (outcome != null) {
            loopEvents.offer(new LoopEvent.AttemptEnded(
                    nowUs,
                    end.engine(),
                    end.classIndex(),
                    tenant,
                    end.query(),
                    outcome,
                    Micros.of(end.elapsed()),
                    end.rows()));
        }
    }

    /** The outcome as evidence about the engine, null if the result is none. */
    private static AttemptOutcome outcome(AttemptResult result) {
        return switch (result) {
            case OK, QUEUE_FULL -> AttemptOutcome.ANSWERED;
            case ERROR -> AttemptOutcome.FAILED;
            case TIMEOUT, RESET -> AttemptOutcome.NO_ANSWER;
            case CONNECT_FAILED -> AttemptOutcome.UNREACHABLE;
            case CANCELLED, CANCELLED_BEFORE_START -> null;
        };
    }

    @Override
    public void healthCheckEnded(String engine, AttemptResult result) {
        loopEvents.offer(new LoopEvent.HealthCheckEnded(clock.now(), engine, result == AttemptResult.OK));
    }

    @Override
    public void engineListReceived(EngineListReceived list) {
        listedEngines.update(list);
        isStale = true;
        loopEvents.offer(new LoopEvent.EngineListChanged(clock.now(), list));
    }

    @Override
    public boolean tryAnswerWithoutEngine(int classIndex, Query query, Consumer<Optional<Answer>> callback) {
        if (!view.isolation().isIsolated()) {
            return false;
        }
        storedAnswers.lookUp(classIndex, query, listedEngines.hasInZone(), answer -> {
            tasks.add(() -> callback.accept(answer));
            wake.run();
        });
        return true;
    }

    @Override
    public void retryStormChanged(boolean active) {
        isRetryStorm = active;
    }

    /** Whether queries wait or there is a retry storm, so that nothing should be prefetched. Thread-safe. */
    public boolean isBusy() {
        return waitingQueries > 0 || isRetryStorm;
    }

    @Override
    public boolean hasAttemptsOverQuota() {
        boolean wasSet = isOverQuota;
        isOverQuota = false;
        return wasSet;
    }

    @Override
    public List<String> attemptsOverQuota(List<InFlightAttempt> attempts) {
        return ExcessAttempts.select(view, counters, tenants, decisionSettings, attempts, clock.now());
    }
}
