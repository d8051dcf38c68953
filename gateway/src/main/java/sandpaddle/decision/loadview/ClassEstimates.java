package sandpaddle.decision.loadview;

import sandpaddle.decision.model.Numbers;

/** Estimated latency, work and memory of the queries of one class, as exponential averages over about 30 answers. */
final class ClassEstimates {
    /** Number of answers after which the best latency of a class is meaningful. */
    private static final int BASELINE_ANSWERS = 20;
    /** Weight of one answer in the exponential averages, which cover about 30 answers. */
    private static final double ANSWER_WEIGHT = 0.03;
    /** Increase of the logarithm of the best latency per answer, so that an exceptionally fast period is forgotten. */
    private static final double BEST_DRIFT = 0.00005;
    /** Step of the memory bias per query, relative to the missing fraction of its grant. */
    private static final double GRANT_WEIGHT = 0.2;
    /** Fraction of a grant that may be missing on average. */
    private static final double TOLERATED_SHORTFALL = 0.01;

    /** Lower bound to which the ratio of a report to an estimate is clamped. */
    private static final double MIN_BIAS = 0.1;
    /** Upper bound to which the ratio of a report to an estimate is clamped. */
    private static final double MAX_BIAS = 10;
    /** Lower bound of the memory bias where it is learnt from missing memory. */
    private static final double MIN_GRANT_BIAS = 0.5;
    /** Upper bound of the memory bias where it is learnt from missing memory. */
    private static final double MAX_GRANT_BIAS = 3;

    private int answers;
    private double meanLogLatency;
    private double bestLogLatency;
    private double latencyUs;
    private double workUs;
    private double workBias = 1;
    private double memoryBias = 1;

    /** Creates the initial estimates, used until the first answer: latency (us) and work over all threads (us). */
    ClassEstimates(double latencyUs, double workUs) {
        this.latencyUs = latencyUs;
        this.workUs = workUs;
    }

    /**
     * Adds the latency of an attempt to the estimates.
     *
     * @param attemptUs latency (us)
     * @param referenceUs reference latency (us) that it is divided by, so that queries of different work are comparable
     * @return natural logarithm of the slowdown relative to the best latency of the class
     */
    double recordLatency(double attemptUs, double referenceUs) {
        double logLatency = Math.log(attemptUs / referenceUs);
        answers++;
        meanLogLatency += Math.max(ANSWER_WEIGHT, 1.0 / answers) * (logLatency - meanLogLatency);
        bestLogLatency =
                answers < BASELINE_ANSWERS ? meanLogLatency : Math.min(bestLogLatency + BEST_DRIFT, meanLogLatency);
        latencyUs += Math.max(ANSWER_WEIGHT, 1.0 / (answers + 1)) * (attemptUs - latencyUs);
        return logLatency - bestLogLatency;
    }

    /** Adds the work of an answered query over all its threads (us) to the estimate. */
    void recordWork(double queryUs) {
        workUs += Math.max(ANSWER_WEIGHT, 1.0 / (answers + 1)) * (queryUs - workUs);
    }

    /** Adds the ratio of a query's reported work to its client's estimate to the work bias. */
    void recordWorkRatio(double ratio) {
        workBias += ANSWER_WEIGHT * (Numbers.clamp(ratio, MIN_BIAS, MAX_BIAS) - workBias);
    }

    /** Adds the ratio of a query's reported memory to its client's estimate to the memory bias. */
    void recordMemoryRatio(double ratio) {
        memoryBias += ANSWER_WEIGHT * (Numbers.clamp(ratio, MIN_BIAS, MAX_BIAS) - memoryBias);
    }

    /** Raises the memory bias by the fraction of a grant that was missing, or lowers it slightly where none was. */
    void recordShortfall(double missingFraction) {
        double factor = 1 + GRANT_WEIGHT * (missingFraction - TOLERATED_SHORTFALL);
        memoryBias = Numbers.clamp(memoryBias * factor, MIN_GRANT_BIAS, MAX_GRANT_BIAS);
    }

    /** Whether enough answers have arrived for the best latency to be meaningful. */
    boolean hasBaseline() {
        return answers > BASELINE_ANSWERS;
    }

    /** Whether any answer has arrived. */
    boolean hasAnswers() {
        return answers > 0;
    }

    /** Returns the mean of the natural logarithm of latency over the reference latency. */
    double meanLogLatency() {
        return meanLogLatency;
    }

    /** Returns the mean latency (us). */
    double latencyUs() {
        return latencyUs;
    }

    /** Returns the mean work of a query over all its threads (us). */
    double workUs() {
        return workUs;
    }

    /** Returns the estimated work of all queries of the class so far and one more (us). */
    double totalWorkUs() {
        return (answers + 1) * workUs;
    }

    /** Returns the ratio of the best latency to the geometric mean latency. */
    double bestLatencyRatio() {
        return Math.exp(bestLogLatency - meanLogLatency);
    }

    /** Returns the ratio of work to the clients' estimates. */
    double workBias() {
        return workBias;
    }

    /** Returns the ratio of memory to the clients' estimates. */
    double memoryBias() {
        return memoryBias;
    }
}
