package sandpaddle.decision.concurrency;

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
import sandpaddle.decision.model.PendingRequest;

/**
 * Adaptive concurrency limits of each engine and of the fleet, adjusted by additive increase and multiplicative
 * decrease: a limit grows while latencies are near the best known ones, and is cut on slow answers, full queues and
 * late attempts. Limits count the threads of all gateways; a gateway compares its threads with a limit times its share
 * of the traffic ({@link TrafficShare}).
 * {@link OverloadDetector} decides when limits are enforced.
 */
public final class ConcurrencyLimits {
    /** Slowdown above which an engine is overloaded: about the slack that latency objectives leave. */
    static final double OVERLOAD_SLOWDOWN = 2.5;
    /** Natural logarithm of {@link #OVERLOAD_SLOWDOWN}. */
    static final double LOG_OVERLOAD_SLOWDOWN = Math.log(OVERLOAD_SLOWDOWN);
    /** Greatest limit of an engine, in threads per core; its throughput declines at fewer threads already. */
    static final double MAX_THREADS_PER_CORE = 2.5;

    /** Initial limit of an engine that has started, in threads per core. */
    private static final double INITIAL_THREADS_PER_CORE = 2.0;
    /** Least limit of an engine after cuts, in threads per core, so that its cores stay busy. */
    private static final double MIN_THREADS_PER_CORE = 1.2;
    /** Natural logarithm of the slowdown below which a limit may grow. */
    private static final double LOG_GROWTH_SLOWDOWN = Math.log(1.6);
    /** Factor on all limits for requests of the class with the highest priority weight per work. */
    private static final double HIGH_WEIGHT_MULTIPLE = 1.5;
    /** Least limit of the fleet after cuts, in threads per core. */
    private static final double FLEET_MIN_THREADS_PER_CORE = 2.0;
    /**
     * Greatest limit of the fleet where load reports do not state the queries in flight, in threads per core: twice
     * an equal share when the fleet is busy, since this gateway may have more than an equal share of the traffic.
     */
    private static final double FLEET_MAX_THREADS_PER_CORE = 4.0;
    /** Increase of the fleet's limit per round of fast answers, in threads per core. */
    private static final double FLEET_GROWTH_PER_CORE = 0.3;
    /** Increase of an engine's limit per round of fast answers, in threads. */
    private static final double GROWTH_THREADS = 1;
    /** Factor of a cut; close to 1, since cuts can follow each other at the adjustment interval. */
    private static final double CUT_FACTOR = 0.93;
    /** Weight of one answer in the slowdown of successful answers; the average covers about ten answers. */
    private static final double ANSWER_WEIGHT = 0.1;

    private final EventContext context;
    private final EngineRegistry engines;
    private final TrafficShare traffic;
    private final InFlightLoad inFlightLoad;
    private final Estimators estimators;
    private final LoadView loadView;
    private final ConcurrencyLimit fleet = new ConcurrencyLimit();
    private double answersLogSlowdown;

    /** Creates the limits of a fleet without engines. */
    public ConcurrencyLimits(EventContext context, EngineRegistry engines, LoadSignals load) {
        this.context = context;
        this.engines = engines;
        traffic = load.traffic();
        inFlightLoad = load.inFlightLoad();
        estimators = load.estimators();
        loadView = load.loadView();
    }

    /** Sets the initial limit of an engine that has started. */
    public void restart(EngineState engine) {
        engine.limit().restart(INITIAL_THREADS_PER_CORE * engine.cores());
    }

    /** Scales the fleet's limit to the current number of cores. */
    public void resizeFleet(double coresBefore) {
        double cores = engines.totalCores();
        fleet.resize(coresBefore > 0 ? fleet.threads() * cores / coresBefore : LoadView.BUSY_THREADS_PER_CORE * cores);
    }

    /** Returns the fleet's limit. */
    ConcurrencyLimit fleet() {
        return fleet;
    }

    /**
     * Whether a request fits within the limits. None fits on an engine whose limit the threads of all gateways reach.
     * Otherwise this gateway's threads there must be below its share of the engine's limit. On an engine that runs no
     * query of this gateway, the gateway's share of the fleet's limit applies instead: a request that fits only partly
     * is admitted with a probability equal to the fraction of its threads that fits, and if this gateway uses no
     * threads on the fleet, the request fits.
     */
    boolean isWithinLimits(PendingRequest request, EngineState engine) {
        double multiple = estimators.hasHighestWeightPerWork(request.classIndex()) ? HIGH_WEIGHT_MULTIPLE : 1;
        double engineLimit = engine.limit().threads() * multiple;
        double estimated = loadView.estimatedThreads(engine);
        double allThreads = Double.isNaN(estimated) ? loadView.averageThreadsPerCore() * engine.cores() : estimated;
        if (!(allThreads < engineLimit)) {
            return false;
        }
        if (engine.ownQueries() > 0) {
            return engine.threads().total() < engineLimit * traffic.share();
        }
        double fleetThreads = inFlightLoad.fleetThreads();
        double required = fleetThreads + request.admissionDraw() * request.threads();
        return fleetThreads == 0 || required < fleet.threads() * multiple * traffic.share();
    }

    /**
     * Whether successful answers are on average near the best known latency. While they are, a missing answer is taken
     * to be lost; otherwise it may only be late.
     */
    public boolean areAnswersFast() {
        return answersLogSlowdown < LOG_GROWTH_SLOWDOWN;
    }

    /**
     * Adjusts the limits to the latency of an attempt. While answers are not fast ({@link #areAnswersFast}), the caller
     * also records timeouts; otherwise only the fast answers of an overloaded engine would be taken into account.
     *
     * @param attempt the attempt
     * @param latencyUs latency of the attempt (us); for a timeout the time since the attempt was sent
     * @param answered whether the attempt succeeded; false for a timeout
     */
    public void recordLatency(Attempt attempt, double latencyUs, boolean answered) {
        double logSlowdown = estimators.recordLatency(attempt.request(), latencyUs);
        if (answered) {
            answersLogSlowdown += ANSWER_WEIGHT * (logSlowdown - answersLogSlowdown);
        }
        adjustEngine(attempt.engine(), logSlowdown);
        adjustFleet(logSlowdown);
    }

    private void adjustEngine(EngineState engine, double logSlowdown) {
        ConcurrencyLimit limit = engine.limit();
        limit.recordSlowdown(logSlowdown);
        if (limit.logSlowdown() < LOG_GROWTH_SLOWDOWN) {
            limit.raise(GROWTH_THREADS / (limit.threads() * traffic.share()), MAX_THREADS_PER_CORE * engine.cores());
        } else if (limit.logSlowdown() > LOG_OVERLOAD_SLOWDOWN) {
            cut(engine);
        }
    }

    private void adjustFleet(double logSlowdown) {
        fleet.recordSlowdown(logSlowdown);
        if (fleet.logSlowdown() < LOG_GROWTH_SLOWDOWN) {
            double cores = engines.totalCores();
            // without reported queries the traffic share stays equal, though this gateway may have more of the traffic
            double maxPerCore = loadView.reportsInFlight() ? MAX_THREADS_PER_CORE : FLEET_MAX_THREADS_PER_CORE;
            double growth = FLEET_GROWTH_PER_CORE * cores;
            fleet.raise(growth / (fleet.threads() * traffic.share()), maxPerCore * cores);
        } else if (fleet.logSlowdown() > LOG_OVERLOAD_SLOWDOWN) {
            cutFleet();
        }
    }

    /** Cuts the limit of an engine, at most once per adjustment interval. */
    void cut(EngineState engine) {
        engine.limit().cut(context.nowUs(), CUT_FACTOR, MIN_THREADS_PER_CORE * engine.cores());
    }

    /** Cuts the limit of the fleet, at most once per adjustment interval. */
    void cutFleet() {
        fleet.cut(context.nowUs(), CUT_FACTOR, FLEET_MIN_THREADS_PER_CORE * engines.totalCores());
    }
}
