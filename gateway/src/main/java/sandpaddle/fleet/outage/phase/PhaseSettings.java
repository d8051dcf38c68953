package sandpaddle.fleet.outage.phase;

/**
 * Confirmation and lead times of the phases. Confirmation times are in microseconds of monotonic time, lead times in
 * milliseconds of the schedule's wall-clock time.
 *
 * @param lossConfirmUs time for which the link must be unreachable before it counts as lost while a window is open or
 *     clients are returning
 * @param unannouncedLossConfirmUs like {@code lossConfirmUs}, at any other time; longer, so that a short interruption
 *     is not taken for an outage
 * @param returnConfirmUs time for which the link must be reachable before it counts as returned
 * @param returningUs duration over which clients and refreshes are spread after the return
 * @param expectLeadMs how long before the earliest expected loss of the link the zone begins to expect the window
 * @param prefetchLeadMs how long before that loss prefetching starts; at most {@code expectLeadMs}
 * @param settleMs how long the link must have been back before a window counts as over, so that a flapping link is part
 *     of the window
 */
public record PhaseSettings(
        long lossConfirmUs,
        long unannouncedLossConfirmUs,
        long returnConfirmUs,
        long returningUs,
        long expectLeadMs,
        long prefetchLeadMs,
        long settleMs) {
    /** Windows are expected two hours ahead and prefetched for half an hour ahead. */
    public static final PhaseSettings DEFAULT =
            new PhaseSettings(2_000_000, 10_000_000, 5_000_000, 60_000_000, 2 * 3_600_000, 30 * 60_000, 120_000);

    /**
     * Validates the values.
     *
     * @throws IllegalArgumentException if a value is negative or two values contradict each other
     */
    public PhaseSettings {
        if (lossConfirmUs < 0
                || unannouncedLossConfirmUs < lossConfirmUs
                || returnConfirmUs < 0
                || returningUs < 0
                || prefetchLeadMs < 0
                || expectLeadMs < prefetchLeadMs
                || settleMs < 0) {
            throw new IllegalArgumentException(
                    "confirmation or lead times out of range; expected none negative, lossConfirmUs <="
                            + " unannouncedLossConfirmUs and prefetchLeadMs <= expectLeadMs");
        }
    }
}
