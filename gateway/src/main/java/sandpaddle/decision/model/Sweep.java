package sandpaddle.decision.model;

/** Timing of the sweep, the periodic pass over queued requests and engines. */
public final class Sweep {
    /** Interval between sweeps (us). */
    public static final long INTERVAL_US = 50_000;

    /** Weight of one sweep in exponential averages; the average covers about 3 s. */
    public static final double RATE_WEIGHT = 0.02;

    private Sweep() {}
}
