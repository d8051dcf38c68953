package sandpaddle.overload;

/**
 * Estimates how clients comply with Retry-After: the share of rejected clients that retry at all, and the share of
 * those that wait as long as advised. Both are weighted means over about the last ten seconds, with a prior that weighs
 * as much as {@value #PRIOR_WEIGHT} clients.
 *
 * <p>Confined to the event loop's thread. Times are in microseconds and never decrease.
 */
final class RetryAfterComplianceEstimator {
    private static final long TIME_CONSTANT_US = 10_000_000;
    private static final double PRIOR_WEIGHT = 10; // in clients
    private static final double PRIOR_COMPLIANCE_SHARE = 0.6;
    private static final double PRIOR_RETURN_SHARE = 0.7;
    private static final double MIN_SHARE = 0.05;
    /** Tolerance for a return before the advised time: Retry-After is in whole milliseconds, and clocks differ. */
    static final long TOLERANCE_US = 10_000;

    private final DecayingRate compliant, early, rejected, returned; // clients

    RetryAfterComplianceEstimator(long nowUs) {
        compliant = new DecayingRate(TIME_CONSTANT_US, nowUs);
        early = new DecayingRate(TIME_CONSTANT_US, nowUs);
        rejected = new DecayingRate(TIME_CONSTANT_US, nowUs);
        returned = new DecayingRate(TIME_CONSTANT_US, nowUs);
    }

    void clientRejected(long nowUs) {
        rejected.add(nowUs, 1);
    }

    /**
     * Records a client's retry. Whether the client complied is known only if no other client with the same statement
     * was awaited.
     */
    void clientReturned(long nowUs, RejectedStatementTable.ReturningClient client) {
        returned.add(nowUs, 1);
        if (client.isOnlyAwaited() && client.returnAtUs() > 0) {
            (isEarly(nowUs, client) ? early : compliant).add(nowUs, 1);
        }
    }

    static boolean isEarly(long nowUs, RejectedStatementTable.ReturningClient client) {
        return nowUs < client.returnAtUs() - TOLERANCE_US;
    }

    /** Of the clients that retry after a Retry-After, the share that waits as long as advised. */
    double complianceShare(long nowUs) {
        double compliantSum = compliant.sum(nowUs);
        return Math.max(
                MIN_SHARE,
                (compliantSum + PRIOR_WEIGHT * PRIOR_COMPLIANCE_SHARE)
                        / (compliantSum + early.sum(nowUs) + PRIOR_WEIGHT));
    }

    /** Of the rejected clients, the share that retries. */
    double returnShare(long nowUs) {
        double share = (returned.sum(nowUs) + PRIOR_WEIGHT * PRIOR_RETURN_SHARE) / (rejected.sum(nowUs) + PRIOR_WEIGHT);
        return Math.max(MIN_SHARE, Math.min(1, share));
    }
}
