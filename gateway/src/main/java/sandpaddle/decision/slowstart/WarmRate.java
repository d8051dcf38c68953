package sandpaddle.decision.slowstart;

import sandpaddle.decision.loadview.TrafficShare;
import sandpaddle.decision.model.EventContext;
import sandpaddle.decision.model.RateMeter;
import sandpaddle.decision.model.Sweep;

/** Rate of the work that this gateway sends to warm engines; a smoothed rate is used while no engine is warm. */
final class WarmRate {
    /** Time constant of the rate meter (us). */
    private static final double TIME_CONSTANT_US = 5_000_000;
    /** Time since the first send from which the rate is meaningful (us). */
    private static final long MIN_AGE_US = 2_000_000;

    private final EventContext context;
    private final TrafficShare traffic;
    private final RateMeter work = new RateMeter(TIME_CONSTANT_US);
    private double smoothedPerCore;

    WarmRate(EventContext context, TrafficShare traffic) {
        this.context = context;
        this.traffic = traffic;
    }

    /** Adds work sent to a warm engine (us); a negative value reverts work that never ran. */
    void recordWork(double workUs) {
        work.add(context.nowUs(), workUs);
    }

    /** Adds the current rate to the smoothed rate; at least one engine must be warm. */
    void update(double warmCores) {
        smoothedPerCore += Sweep.RATE_WEIGHT * (perCore(warmCores) - smoothedPerCore);
    }

    /**
     * Returns the rate of work sent per core of the warm engines (us of work per us). While it is unknown, the smoothed
     * rate is used, and at least this gateway's share of one core's work per core.
     */
    double perCore(double warmCores) {
        boolean known = warmCores > 0 && work.ageUs(context.nowUs()) >= MIN_AGE_US;
        return known ? work.ratePerUs(context.nowUs()) / warmCores : Math.max(traffic.share(), smoothedPerCore);
    }
}
