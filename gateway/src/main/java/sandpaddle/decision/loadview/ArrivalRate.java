package sandpaddle.decision.loadview;

import sandpaddle.decision.model.EngineRegistry;
import sandpaddle.decision.model.EventContext;
import sandpaddle.decision.model.Sweep;

/** Smoothed arrival rate at this gateway; at a low rate its own observations are too few to judge engines by. */
public final class ArrivalRate {
    /** Requests per second per engine from which load reports in answers are frequent enough to be current. */
    private static final double CURRENT_REPORTS_RATE = 3;

    private final EventContext context;
    private final EngineRegistry engines;
    private long lastSweepAtUs;
    private int arrivals;
    private double perSecond;

    /** Creates a rate of zero. */
    public ArrivalRate(EventContext context, EngineRegistry engines) {
        this.context = context;
        this.engines = engines;
    }

    /** Starts measuring; called when the first sweep is scheduled. */
    public void start() {
        lastSweepAtUs = context.nowUs();
    }

    /** Counts a request. */
    public void recordArrival() {
        arrivals++;
    }

    /** Adds the requests since the last sweep to the rate; called once per sweep. */
    public void update() {
        long elapsedUs = Math.max(1, context.nowUs() - lastSweepAtUs);
        lastSweepAtUs = context.nowUs();
        perSecond += Sweep.RATE_WEIGHT * (arrivals * 1e6 / elapsedUs - perSecond);
        arrivals = 0;
    }

    /** Returns the requests per second. */
    public double perSecond() {
        return perSecond;
    }

    /** Whether engines get less than one request per second each, so that a single sign of a fault must suffice. */
    public boolean isSparse() {
        return perSecond < engines.up().size();
    }

    /** Whether load reports in answers are so infrequent that an overload may be over before the next one arrives. */
    public boolean areReportsSparse() {
        return perSecond < CURRENT_REPORTS_RATE * engines.up().size();
    }
}
