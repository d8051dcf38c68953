package sandpaddle.decision.loadview;

import sandpaddle.decision.model.EngineRegistry;
import sandpaddle.decision.model.EngineState;
import sandpaddle.decision.model.EventContext;
import sandpaddle.decision.model.LoadReport;
import sandpaddle.decision.model.Numbers;
import sandpaddle.decision.model.Sweep;
import sandpaddle.decision.settings.DecisionSettings;
import sandpaddle.decision.settings.LoadField;

/**
 * This gateway's share of the fleet's traffic, learnt from load reports that state the queries of all gateways.
 * Reported queries times the share are this gateway's part of an engine's load.
 */
public final class TrafficShare {
    /** Weight of the prior, an equal share per gateway, in observed queries. */
    private static final double EQUAL_SHARE_WEIGHT = 30;
    /** Lower bound of the share, as a fraction of the equal share. */
    private static final double MIN_EQUAL_SHARE_FRACTION = 0.3;

    private final EventContext context;
    private final EngineRegistry engines;
    private final int gateways;
    private final boolean reportsInFlight;
    private double ownQueries;
    private double allQueries;
    private double share;
    private double threadsPerQuery = 1;

    /** Creates an estimate that starts at an equal share per gateway. */
    public TrafficShare(DecisionSettings settings, EventContext context, EngineRegistry engines) {
        this.context = context;
        this.engines = engines;
        gateways = settings.gateways();
        reportsInFlight = settings.reportFields().contains(LoadField.IN_FLIGHT);
        share = 1.0 / gateways;
    }

    /** Updates the share from the current reports. Both sums are smoothed, since a mean of ratios is biased upwards. */
    public void update() {
        double own = 0;
        double all = 0;
        double threads = 0;
        for (EngineState engine : engines.up()) {
            LoadReport report = engine.report();
            if (reportsInFlight && report.isFresh(context.nowUs())) {
                own += report.ownQueries();
                all += Math.max(report.inFlight(), report.ownQueries());
                threads += engine.threads().total();
            }
        }
        ownQueries += Sweep.RATE_WEIGHT * (own - ownQueries);
        allQueries += Sweep.RATE_WEIGHT * (all - allQueries);
        double observed = (ownQueries + EQUAL_SHARE_WEIGHT / gateways) / (allQueries + EQUAL_SHARE_WEIGHT);
        share = Numbers.clamp(observed, MIN_EQUAL_SHARE_FRACTION / gateways, 1);
        threadsPerQuery += own > 0 ? Sweep.RATE_WEIGHT * (threads / own - threadsPerQuery) : 0;
    }

    /** Returns this gateway's share of the traffic, from above 0 to 1. */
    public double share() {
        return share;
    }

    /** Returns the average number of threads of this gateway's queries. */
    public double threadsPerQuery() {
        return threadsPerQuery;
    }
}
