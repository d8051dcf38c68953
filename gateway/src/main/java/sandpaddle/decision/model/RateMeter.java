package sandpaddle.decision.model;

/** Rate of additions, as an exponentially weighted moving average. */
public final class RateMeter {
    private final double timeConstantUs;
    private double sum;
    private long lastAddedAtUs;
    private long firstAddedAtUs = -EventContext.NEVER;

    /** Creates a meter whose additions decay by a factor of e within a time constant (us). */
    public RateMeter(double timeConstantUs) {
        this.timeConstantUs = timeConstantUs;
    }

    /** Adds an amount; a negative one reverts an earlier addition. */
    public void add(long nowUs, double amount) {
        firstAddedAtUs = Math.min(firstAddedAtUs, nowUs);
        sum = sum * Math.exp(-(nowUs - lastAddedAtUs) / timeConstantUs) + amount;
        lastAddedAtUs = nowUs;
    }

    /** Returns the rate per microsecond, corrected for the bias of an average that started at the first addition. */
    public double ratePerUs(long nowUs) {
        return sum
                * Math.exp(-(nowUs - lastAddedAtUs) / timeConstantUs)
                / (timeConstantUs * (1 - Math.exp(-(nowUs - firstAddedAtUs) / timeConstantUs)));
    }

    /** Returns the time since the first addition (us); negative if there was none. */
    public long ageUs(long nowUs) {
        return nowUs - firstAddedAtUs;
    }
}
