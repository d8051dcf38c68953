package sandpaddle.decision.healthcheck;

import sandpaddle.decision.action.StartHealthCheck;
import sandpaddle.decision.concurrency.OverloadDetector;
import sandpaddle.decision.event.AttemptResult;
import sandpaddle.decision.event.HealthCheckEnded;
import sandpaddle.decision.loadview.ArrivalRate;
import sandpaddle.decision.loadview.LoadSignals;
import sandpaddle.decision.loadview.LoadView;
import sandpaddle.decision.model.EngineRegistry;
import sandpaddle.decision.model.EngineState;
import sandpaddle.decision.model.EventContext;
import sandpaddle.decision.model.Sweep;
import sandpaddle.decision.outlier.OutlierDetection;
import sandpaddle.decision.settings.DecisionSettings;
import sandpaddle.decision.slowstart.SlowStart;

/** Sends health checks to the engines with the oldest load report, at a rate that keeps their cost per query small. */
public final class HealthCheckScheduler {
    /** Capacity of the token bucket of health checks. */
    private static final double MAX_BURST = 3;
    /** Greatest cost of health checks per query, in points of the platform's score. */
    private static final double MAX_COST = 0.001;
    /** The same near an overload where only health checks carry load reports. */
    private static final double MAX_COST_NEAR_OVERLOAD = 0.012;
    /** Minimum interval between health checks of an engine (us). */
    private static final long MIN_INTERVAL_US = 1_500_000;

    private final DecisionSettings settings;
    private final EventContext context;
    private final EngineRegistry engines;
    private final ArrivalRate arrivals;
    private final LoadView loadView;
    private final SlowStart slowStart;
    private final OverloadDetector overload;
    private final OutlierDetection outliers;
    private double tokens = MAX_BURST;

    /** Creates a scheduler with a full token bucket. */
    public HealthCheckScheduler(
            DecisionSettings settings,
            EventContext context,
            EngineRegistry engines,
            LoadSignals load,
            SlowStart slowStart,
            OverloadDetector overload,
            OutlierDetection outliers) {
        this.settings = settings;
        this.context = context;
        this.engines = engines;
        arrivals = load.arrivals();
        loadView = load.loadView();
        this.slowStart = slowStart;
        this.overload = overload;
        this.outliers = outliers;
    }

    /** Records the result of a health check. */
    public void recordResult(EngineState engine, HealthCheckEnded event) {
        engine.endHealthCheck();
        if (loadView.receive(engine, event.loadReport(), context.nowUs())) {
            slowStart.adjustRate(engine);
        }
        if (event.result() == AttemptResult.CONNECT_FAILED) {
            outliers.recordUnreachable(engine);
        }
    }

    /** Starts at most one health check; called once per sweep. */
    public void sweep() {
        if (!settings.limits().healthChecks()) {
            return;
        }
        double refill = tokensPerQuery() * arrivals.perSecond() * Sweep.INTERVAL_US / 1e6;
        tokens = Math.min(MAX_BURST, tokens + refill);
        EngineState engine = longestUnchecked();
        if (engine != null && tokens >= 1) {
            tokens--;
            engine.startHealthCheck(context.nowUs());
            context.emit(new StartHealthCheck(engine.id()));
        }
    }

    private double tokensPerQuery() {
        double cost = settings.costs().healthCheck();
        if (!(cost > 0)) {
            return 1;
        }
        boolean isNearOverload = loadView.averageThreadsPerCore() > OverloadDetector.NEAR_OVERLOAD_THREADS_PER_CORE;
        boolean reportsOnlyInChecks = !settings.reportsInAnswers();
        double maxCost = reportsOnlyInChecks && isNearOverload ? MAX_COST_NEAR_OVERLOAD : MAX_COST;
        return Math.min(1, maxCost / cost);
    }

    /** Returns the engine with the oldest report or health check among those that are due for one, or null. */
    private EngineState longestUnchecked() {
        EngineState oldest = null;
        for (EngineState engine : engines.up()) {
            boolean older = oldest == null || engine.lastCheckedAtUs() < oldest.lastCheckedAtUs();
            if (isCheckDue(engine) && older) {
                oldest = engine;
            }
        }
        return oldest;
    }

    /** Where answers carry reports, only overloaded engines are checked, since they are sent no requests. */
    private boolean isCheckDue(EngineState engine) {
        return !engine.isHealthCheckInFlight()
                && context.nowUs() - engine.lastCheckedAtUs() > MIN_INTERVAL_US
                && (!settings.reportsInAnswers() || overload.isOverloaded(engine));
    }
}
