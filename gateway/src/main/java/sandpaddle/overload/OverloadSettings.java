package sandpaddle.overload;

/**
 * Settings of overload control. {@code OverloadSettingsReader} reads them from the section {@code storm} of the
 * operator's file. Durations are in microseconds, shares from 0 to 1.
 *
 * @param enabled whether overload control is on
 * @param detection when a retry storm begins and ends
 * @param retryAfterSchedule when rejected clients are advised to retry
 * @param admissionLimits what is admitted outside normal operation
 * @param connectionLimits how many new connections are accepted outside normal operation
 * @param loadDeduplication deduplication of loads
 */
public record OverloadSettings(
        boolean enabled,
        Detection detection,
        RetryAfterSchedule retryAfterSchedule,
        AdmissionLimits admissionLimits,
        ConnectionLimits connectionLimits,
        LoadDeduplication loadDeduplication) {

    /**
     * When a retry storm begins and ends.
     *
     * @param returnShare minimum share of clients' retries among the arrivals of a storm
     * @param failureShare minimum share of failures among the final answers of a storm
     * @param normalShare both shares must be below this for normal operation
     * @param enterUs how long the signals must indicate a storm before it is entered
     * @param exitUs how long they must indicate normal operation before it is entered
     * @param rememberUs how long a rejected statement is remembered after the advised return
     * @param maxEntries number of remembered statements, rounded up to a power of two
     */
    public record Detection(
            double returnShare,
            double failureShare,
            double normalShare,
            long enterUs,
            long exitUs,
            long rememberUs,
            int maxEntries) {}

    /**
     * When rejected clients are advised to retry.
     *
     * @param slotUs length of a time slot
     * @param minUs shortest Retry-After
     * @param maxUs longest Retry-After; 0 for the longest that the platform permits
     * @param unplannedShare share of the admitted rate that is kept free of planned returns
     */
    public record RetryAfterSchedule(long slotUs, long minUs, long maxUs, double unplannedShare) {}

    /**
     * What is admitted outside normal operation.
     *
     * @param startShare minimum assumed rate, as a share of this gateway's equal part of the fleet's capacity
     * @param maxWaitShare longest expected wait in the queue, as a share of the class's latency objective
     * @param reserveShare share of the rate that is reserved for each kind of request of each class
     */
    public record AdmissionLimits(double startShare, double maxWaitShare, double reserveShare) {}

    /**
     * How many new connections are accepted outside normal operation: the higher of both rates.
     *
     * @param minPerS connections per second that are always accepted
     * @param usualMultiple multiple of the usual rate of new connections
     */
    public record ConnectionLimits(double minPerS, double usualMultiple) {}

    /**
     * Deduplication of loads that name their run.
     *
     * @param enabled whether deduplication is on
     * @param retentionUs how long the outcome of a run is remembered
     * @param maxEntries maximum number of runs in flight and remembered
     * @param maxResultBytes maximum size of all cached results
     */
    public record LoadDeduplication(boolean enabled, long retentionUs, int maxEntries, long maxResultBytes) {}

    /** The defaults, with overload control switched off. */
    public static final OverloadSettings OFF = new OverloadSettings(
            false,
            new Detection(0.3, 0.3, 0.1, 500_000, 5_000_000, 5_000_000, 16_384),
            new RetryAfterSchedule(50_000, 100_000, 0, 0.3),
            new AdmissionLimits(0.8, 0.7, 0.03),
            new ConnectionLimits(50, 3),
            new LoadDeduplication(false, 600_000_000, 4096, 2_000_000));

    /** Returns a copy that is switched on or off. */
    public OverloadSettings withEnabled(boolean on) {
        return new OverloadSettings(
                on, detection, retryAfterSchedule, admissionLimits, connectionLimits, loadDeduplication);
    }
}
