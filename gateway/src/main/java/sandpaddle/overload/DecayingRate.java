package sandpaddle.overload;

/**
 * A rate with exponential decay: the weight of each added amount falls with a time constant. The sum is divided by the
 * total weight of the time observed so far, so the estimate is unbiased from the first amount on. Times are in
 * microseconds and never decrease. Not thread-safe.
 */
final class DecayingRate {
    private static final double US_PER_S = 1e6;

    private final double timeConstantUs;
    private double sum;
    private long updatedAtUs;
    private final long startedAtUs;

    /** Creates a rate whose observation begins at {@code nowUs}. */
    DecayingRate(long timeConstantUs, long nowUs) {
        this.timeConstantUs = timeConstantUs;
        updatedAtUs = nowUs;
        startedAtUs = nowUs;
    }

    void add(long nowUs, double amount) {
        sum = decayed(nowUs) + amount;
        updatedAtUs = Math.max(updatedAtUs, nowUs);
    }

    private double decayed(long nowUs) {
        return nowUs <= updatedAtUs ? sum : sum * Math.exp(-(nowUs - updatedAtUs) / timeConstantUs);
    }

    /** The decayed sum of all amounts. */
    double sum(long nowUs) {
        return decayed(nowUs);
    }

    /**
     * The amount per second. At least a tenth of the time constant counts as observed, so that the first amounts do not
     * give an extreme rate.
     */
    double perSecond(long nowUs) {
        double observedUs = Math.max(nowUs - startedAtUs, timeConstantUs / 10);
        return decayed(nowUs) * US_PER_S / (timeConstantUs * (1 - Math.exp(-observedUs / timeConstantUs)));
    }

    /** The time since observation began (us). */
    long observedUs(long nowUs) {
        return nowUs - startedAtUs;
    }
}
