package sandpaddle.decision.concurrency;

import sandpaddle.decision.loadview.Estimators;
import sandpaddle.decision.loadview.LoadSignals;
import sandpaddle.decision.loadview.LoadView;
import sandpaddle.decision.loadview.TrafficShare;
import sandpaddle.decision.model.EngineRegistry;
import sandpaddle.decision.model.EngineState;
import sandpaddle.decision.model.EventContext;
import sandpaddle.decision.model.Sweep;
import sandpaddle.decision.model.TokenBucket;

/**
 * Token bucket for work sent to lightly loaded engines while the fleet is overloaded. All gateways see the same engines
 * as lightly loaded, so each sends them work at a limited rate. The bucket starts with a pseudo-random debt that
 * differs between gateways, so that they do not all send at once when the overload begins (see {@link
 * Estimators#initialDebtUs}).
 */
public final class IdleCapacity {
    /**
     * A gateway may use this multiple of its traffic share of the spare capacity. It is above 1 because few gateways
     * have queued requests, and the others leave their shares unused.
     */
    private static final double TRAFFIC_SHARE_MULTIPLE = 3;
    /** Key of this bucket for {@link Estimators#initialDebtUs}, which otherwise takes an engine's id. */
    private static final String IDLE_CAPACITY_KEY = "";

    private final EventContext context;
    private final EngineRegistry engines;
    private final TrafficShare traffic;
    private final Estimators estimators;
    private final LoadView loadView;
    private final TokenBucket work = new TokenBucket();
    private double rate;

    /** Creates a budget with a rate of 0. */
    public IdleCapacity(EventContext context, EngineRegistry engines, LoadSignals load) {
        this.context = context;
        this.engines = engines;
        traffic = load.traffic();
        estimators = load.estimators();
        loadView = load.loadView();
    }

    /**
     * Sets the refill rate from the spare capacity that load reports show.
     *
     * @param freshReports number of engines with a fresh report, at least 1
     */
    void update(long freshReports) {
        // DoubleStream.sum compensates rounding errors; a loop can differ in the last digits, and so change a decision
        double spareFractionSum = engines.up().stream()
                .filter(loadView::isLightlyLoaded)
                .mapToDouble(IdleCapacity::spareFraction)
                .sum();
        rate = TRAFFIC_SHARE_MULTIPLE * traffic.share() * engines.totalCores() * spareFractionSum / freshReports;
    }

    private static double spareFraction(EngineState engine) {
        return 1 - engine.report().bottleneckUtilization();
    }

    /** Resets the budget to its initial debt; called while the fleet is not overloaded. */
    void reset() {
        work.reset(context.nowUs(), estimators.initialDebtUs(IDLE_CAPACITY_KEY));
    }

    /** Whether the budget permits a send. */
    boolean isAvailable() {
        return work.refill(context.nowUs(), rate, rate * Sweep.INTERVAL_US) >= 0;
    }

    /** Subtracts the work of a send (us). */
    void spend(double workUs) {
        work.spend(workUs);
    }

    /** Returns the refill rate (us of work per us). */
    public double rate() {
        return rate;
    }
}
