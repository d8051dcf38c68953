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
 * The fleet as the event loop uses it: reads the view, counts attempts, and passes events to the fleet's thread by a
 * queue that neither blocks nor grows. Quotas are checked three times: a change is reported to the decision module, a
 * starting attempt is counted against them, and when they expire, idempotent attempts over quota are withdrawn. Owned
 * by the event loop, except {@link #isBusy}.
 */
public final class LoopCoordinator implements FleetCoordination {
    /** Looks up a stored answer while the zone is isolated; {@code then} may be called on any thread. */
    public interface StoredAnswerLookup {
        void lookUp(int classIndex, Query query, boolean enginesInside, Consumer<Optional<Answer>> then);
    }

    /**
     * Channels between the event loop and the fleet's thread.
     *
     * @param events bounded queue of events for the fleet's thread
     * @param tasks tasks for the event loop
     * @param wake makes the event loop take a turn, from any thread
     */
    public record Channels(Queue<LoopEvent> events, Queue<Runnable> tasks, Runnable wake) {}

    private static final long REFRESH_US = 20_000; // interval at which refilling buckets are checked

    private final DecisionSettings site;
    private final Scheduler loop;
    private final MonotonicClock clock;
    // bounded; an event that does not fit is lost, which costs evidence only
    private final Queue<LoopEvent> loopEvents;
    private final StoredAnswerLookup stored;
    private final Runnable wake;
    private final Queue<Runnable> tasks; // from the fleet's threads to the event loop
    private volatile long waitingQueries;
    private volatile boolean isRetryStorm;
    private final TenantNumbers tenants = new TenantNumbers();
    private final AttemptCounters counters;
    private final RateBuckets buckets = new RateBuckets();
    private final OrphanedAttempts orphaned;
    private final AllowanceCalculator allowanceCalculator;
    private final PoolBudget pools;
    private final ListedEngines listedEngines;
    private FleetView view = FleetView.EMPTY;
    private boolean wasLeased = true;
    private boolean isStale = true; // the quotas last sent may differ from the current ones
    private boolean isOverQuota;
    private QuotasChanged lastQuotas = new QuotasChanged(List.of(), 0);
    private EngineVerdictsChanged lastVerdicts = new EngineVerdictsChanged(List.of());
    private List<FleetView.Verdict> lastViewVerdicts = List.of();

    /**
     * Creates the coordinator; {@code forgetUs}: time after which an engine drops a query that nobody polls; {@code
     * leaseUs}: the longest Retry-After.
     */
    public LoopCoordinator(
            DecisionSettings site,
            Scheduler loop,
            MonotonicClock clock,
            SharedState shared,
            Channels channels,
            StoredAnswerLookup stored,
            PoolBudget pools,
            long forgetUs,
            long leaseUs) {
        this.site = site;
        this.loop = loop;
        this.clock = clock;
        loopEvents = channels.events();
        tasks = channels.tasks();
        wake = channels.wake();
        this.stored = stored;
        this.pools = pools;
        counters = new AttemptCounters(
                shared.views(), shared.usages(), site.classes().size());
        orphaned = new OrphanedAttempts(forgetUs);
        listedEngines = new ListedEngines(site.zone());
        allowanceCalculator = new AllowanceCalculator(buckets, tenants, leaseUs);
        refresh();
    }

    /** Checks for refilled buckets and expired leases while the event loop is idle. */
    private void refresh() {
        long nowUs = clock.now();
        if (!buckets.isEmpty() && waitingQueries > 0
                || orphaned.nextReleaseUs() <= nowUs
                || view.isLeased(nowUs) != wasLeased) {
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
        boolean freed = orphaned.release(nowUs, counters::ended);
        boolean holds = next.isLeased(nowUs) && nowUs >= next.usableFromUs();
        if (next == view && holds == wasLeased && !freed && !isStale && !tenants.hasGrown()) {
            return List.of();
        }
        // while the lease is valid, running attempts may end by themselves
        isOverQuota |= !holds && (wasLeased || !next.quotas().equals(view.quotas()));
        view = next;
        wasLeased = holds;
        isStale = false;
        buckets.adoptView(view, nowUs);
        pools.less();
        List<Event> events = new ArrayList<>(2);
        QuotasChanged quotas = allowanceCalculator.of(view, counters, orphaned, listedEngines.up(), nowUs);
        if (!quotas.equals(lastQuotas)) {
            lastQuotas = quotas;
            Logger.debug("fleet: rights by view {}, leased {}: {}", view.numbering(), wasLeased, quotas);
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

    /** In the module's time, which counts from another origin. */
    private EngineVerdictsChanged verdicts(long nowUs) {
        long offsetUs = Micros.of(loop.now()) - nowUs;
        return new EngineVerdictsChanged(lastViewVerdicts.stream()
                .map(v -> new EngineVerdict(v.engine(), v.condition(), v.sinceUs() + offsetUs, v.untilUs() + offsetUs))
                .toList());
    }

    @Override
    public int requestReceived(int classIndex, Query query) {
        String counted = tenants.countedName(query.tenant());
        loopEvents.offer(new LoopEvent.QueryReceived(clock.now(), classIndex, counted, query));
        counters.addReceived(classIndex, counted);
        if (tenants.hasGrown()) {
            isStale = true;
            loopEvents.offer(new LoopEvent.TenantSeen(clock.now(), counted));
        }
        return tenants.number(counted);
    }

    @Override
    public void queuedRequestsChanged(int classIndex, String tenant, int delta) {
        counters.addWaiting(classIndex, tenants.countedName(tenant), delta);
        waitingQueries += delta; // only this thread writes it
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

    /** Whether a part of a pool's budget is used up: the decision module counts only by limits that it can name. */
    private boolean isFull(int classIndex, String tenant, String engine, long nowUs) {
        for (int slot : counters.slots(classIndex, tenant, engine)) {
            if (view.slots().get(slot).poolScope() != null && counters.running(slot) >= view.quota(slot, nowUs)) {
                return true;
            }
        }
        return false;
    }

    @Override
    public void attemptEnded(EndedAttempt e) {
        long nowUs = clock.now();
        String tenant = tenants.countedName(e.query().tenant());
        isStale |= isFull(e.classIndex(), tenant, e.engine(), nowUs);
        if (e.stopped()) {
            counters.ended(e.classIndex(), tenant, e.engine());
        } else {
            orphaned.add(e.classIndex(), tenant, e.engine(), nowUs);
            isStale = true;
        }
        AttemptOutcome outcome = outcome(e.result());
        if (outcome != null) {
            loopEvents.offer(new LoopEvent.AttemptEnded(
                    nowUs, e.engine(), e.classIndex(), tenant, e.query(), outcome, Micros.of(e.elapsed()), e.rows()));
        }
    }

    /** Null where it tells nothing of the engine. */
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
    public boolean tryAnswerWithoutEngine(int classIndex, Query query, Consumer<Optional<Answer>> then) {
        if (!view.isolation().isIsolated()) {
            return false;
        }
        stored.lookUp(classIndex, query, listedEngines.hasInside(), answer -> {
            tasks.add(() -> then.accept(answer));
            wake.run();
        });
        return true;
    }

    @Override
    public void retryStormChanged(boolean holds) {
        isRetryStorm = holds;
    }

    /** Whether queries wait or there is a retry storm, so that nothing should be prefetched; from any thread. */
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
        return ExcessAttempts.of(view, counters, tenants, site, attempts, clock.now());
    }
}
