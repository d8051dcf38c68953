package sandpaddle.fleet.limit.allocator;

/**
 * The demand of one slot, smoothed so that noise moves no quota: exponentially over {@link #SMOOTHING_US}, but a step
 * of half or more is adopted once two reports in a row have it.
 */
final class SmoothedDemand {
    /** Time constant (us): noise of 20% either way in ten reports per second stays within 4% of the mean. */
    static final double SMOOTHING_US = 2e6;

    private static final double MIN_STEP_SHARE = 0.5;
    private static final double MIN_STEP = 2; // a change by one is noise

    private double level;
    private long reportedAtUs;
    private int steps;
    private boolean hasReport;

    void report(long nowUs, double value) {
        if (!hasReport) {
            hasReport = true;
            level = value;
        } else if (Math.abs(value - level) >= Math.max(MIN_STEP, MIN_STEP_SHARE * level)) {
            steps++;
            if (steps >= 2) {
                level = value;
                steps = 0;
            }
        } else {
            steps = 0;
            level += (value - level) * (1 - Math.exp(-Math.max(0, nowUs - reportedAtUs) / SMOOTHING_US));
        }
        reportedAtUs = nowUs;
    }

    double level() {
        return level;
    }
}
