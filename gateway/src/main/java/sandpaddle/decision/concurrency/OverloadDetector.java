package sandpaddle.decision.concurrency;

import sandpaddle.decision.loadview.ArrivalRate;
import sandpaddle.decision.loadview.Estimators;
import sandpaddle.decision.loadview.InFlightLoad;
import sandpaddle.decision.loadview.LoadSignals;
import sandpaddle.decision.loadview.LoadView;
import sandpaddle.decision.loadview.TrafficShare;
import sandpaddle.decision.model.Attempt;
import sandpaddle.decision.model.ConcurrencyLimit;
import sandpaddle.decision.model.EngineRegistry;
import sandpaddle.decision.model.EngineState;
import sandpaddle.decision.model.EventContext;
import sandpaddle.decision.model.LoadReport;
import sandpaddle.decision.model.PendingRequest;
import sandpaddle.decision.settings.DecisionSettings;
import sandpaddle.decision.slowstart.SlowStart;

/** Detects overload of engines and of the fleet; concurrency limits are enforced only during an overload. */
public final class OverloadDetector {
    /** Average of the estimated threads per core above which an overload may be imminent. */
    public static final double NEAR_OVERLOAD_THREADS_PER_CORE = 1.2;

    /** Share of late attempts among those in flight above which an engine is overloaded. */
    private static final double MAX_LATE_SHARE = 0.4;
    /** Time for which an overload signal remains in force (us). */
    private static final long OVERLOAD_HOLD_US = 1_000_000;
    /** Time for which an engine is excluded after it rejected an attempt because its queue is full (us). */
    private static final long QUEUE_FULL_HOLD_US = 300_000;

    private final EventContext context;
    private final EngineRegistry engines;
    private final ArrivalRate arrivals;
    private final TrafficShare traffic;
    private final InFlightLoad inFlightLoad;
    private final Estimators estimators;
    private final LoadView loadView;
    private final SlowStart slowStart;
    private final ConcurrencyLimits limits;
    private final IdleCapacity idleCapacity;
    private final boolean reportsInAnswers;

    /** Creates a detector without overload signals. */
    public OverloadDetector(
            DecisionSettings settings,
            EventContext context,
            EngineRegistry engines,
            LoadSignals load,
            SlowStart slowStart,
            ConcurrencyLimits limits,
            IdleCapacity idleCapacity) {
        this.context = context;
        this.engines = engines;
        this.slowStart = slowStart;
        this.limits = limits;
        this.idleCapacity = idleCapacity;
        arrivals = load.arrivals();
        traffic = load.traffic();
        inFlightLoad = load.inFlightLoad();
        estimators = load.estimators();
        loadView = load.loadView();
        reportsInAnswers = settings.reportsInAnswers();
    }

    /** Whether the queue and the concurrency limit of an engine permit a request. */
    public boolean hasCapacity(PendingRequest request, EngineState engine) {
        if (engine.limit().isQueueFull(context.nowUs())) {
            return false;
        }
        return limits.isWithinLimits(request, engine) || !isOverloaded(engine);
    }

    /**
     * Whether an engine is overloaded. While reports are sparse, a warm engine counts as overloaded when the fleet is,
     * since the engine's reports are too few and too old.
     */
    public boolean isOverloaded(EngineState engine) {
        boolean sparse = arrivals.areReportsSparse();
        long lastBusyAtUs =
                Math.max(engine.report().lastBusyAtUs(), engine.limit().lastOverloadAtUs());
        if (showsOverload(engine.limit(), lastBusyAtUs, sparse)) {
            return true;
        }
        double busyThreads = LoadView.BUSY_THREADS_PER_CORE * slowStart.effectiveCores(engine);
        if (loadView.knownThreads(engine) > busyThreads) {
            return true;
        }
        return sparse && slowStart.isWarm(engine) && isFleetOverloaded() && !mayFill(engine);
    }

    /** Whether the fleet is overloaded. */
    public boolean isFleetOverloaded() {
        ConcurrencyLimit fleet = limits.fleet();
        return showsOverload(fleet, fleet.lastOverloadAtUs(), arrivals.areReportsSparse());
    }

    /** A stall of this gateway counts as an overload signal too, since what happened during it is unknown. */
    private boolean showsOverload(ConcurrencyLimit limit, long lastSignAtUs, boolean sparse) {
        if (limit.logSlowdown() > ConcurrencyLimits.LOG_OVERLOAD_SLOWDOWN) {
            return true;
        }
        long holdUs = sparse ? LoadReport.MAX_AGE_US : OVERLOAD_HOLD_US;
        return context.nowUs() - Math.max(lastSignAtUs, context.lastStallAtUs()) < holdUs;
    }

    /**
     * Whether a lightly loaded engine may be sent work during an overload: while this gateway's threads on the fleet
     * are within the gateway's share, and at a limited rate.
     */
    private boolean mayFill(EngineState engine) {
        double maxThreads = ConcurrencyLimits.MAX_THREADS_PER_CORE * traffic.share() * engines.totalCores();
        return loadView.isLightlyLoaded(engine)
                && inFlightLoad.fleetThreads() < maxThreads
                && idleCapacity.isAvailable();
    }

    /** Charges a request that is sent to an engine to the budget for lightly loaded engines. */
    public void recordSend(PendingRequest request, EngineState engine) {
        if (loadView.isLightlyLoaded(engine) && isFleetOverloaded()) {
            idleCapacity.spend(estimators.expectedWorkUs(request));
        }
    }

    /** Records that an engine rejected an attempt because its queue is full. */
    public void recordQueueFull(EngineState engine) {
        long nowUs = context.nowUs();
        engine.limit().recordOverload(nowUs);
        engine.limit().recordQueueFull(nowUs + QUEUE_FULL_HOLD_US);
        limits.fleet().recordOverload(nowUs);
        limits.cutFleet();
    }

    /** Checks engines for late attempts: an overloaded engine answers rarely, so its latencies show it late. */
    public void checkLateness() {
        for (EngineState engine : engines.up()) {
            if (engine.ownQueries() > 0 && isLate(engine)) {
                engine.limit().recordOverload(context.nowUs());
                limits.cut(engine);
            }
        }
    }

    /** Where engines get few attempts, late ones are not a sign of overload. */
    private boolean isLate(EngineState engine) {
        int late = 0;
        for (Attempt attempt : engine.health().inFlight()) {
            if (isLate(attempt)) {
                late++;
            }
        }
        return late > MAX_LATE_SHARE * engine.ownQueries() && !arrivals.isSparse();
    }

    private boolean isLate(Attempt attempt) {
        PendingRequest request = attempt.request();
        return context.nowUs() - attempt.sentAtUs()
                > ConcurrencyLimits.OVERLOAD_SLOWDOWN
                        * estimators.expectedLatencyUs(request)
                        * estimators.bestLatencyRatio(request);
    }

    /** Updates the fleet's average load and spare capacity, and checks the fleet for overload. */
    public void updateFleet() {
        loadView.updateAverage();
        long freshReports = Math.max(1, countFreshReports());
        idleCapacity.update(freshReports);
        if (!isFleetOverloaded()) {
            idleCapacity.reset();
        }
        boolean busy = loadView.averageThreadsPerCore() > LoadView.BUSY_THREADS_PER_CORE;
        if (busy || isOwnLoadHigh(freshReports)) {
            limits.fleet().recordOverload(context.nowUs());
        }
    }

    private long countFreshReports() {
        long fresh = 0;
        for (EngineState engine : engines.up()) {
            fresh += loadView.isFresh(engine) ? 1 : 0;
        }
        return fresh;
    }

    /**
     * Whether this gateway's threads exceed its share of a busy fleet: the earliest overload signal where reports omit
     * queries or arrive only in health checks. With little traffic a few heavy queries suffice for it, so an average
     * load that is known to be low overrules it.
     */
    private boolean isOwnLoadHigh(long freshReports) {
        boolean current = reportsInAnswers || 2 * freshReports >= engines.up().size();
        double average = loadView.averageThreadsPerCore();
        boolean knownAsLow = current && average > 0 && average <= NEAR_OVERLOAD_THREADS_PER_CORE;
        if (knownAsLow || loadView.reportsInFlight() && reportsInAnswers) {
            return false;
        }
        double busyThreads = LoadView.BUSY_THREADS_PER_CORE * traffic.share() * engines.totalCores();
        return inFlightLoad.fleetThreads() > busyThreads;
    }
}
