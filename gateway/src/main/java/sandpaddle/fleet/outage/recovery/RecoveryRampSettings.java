package sandpaddle.fleet.outage.recovery;

/**
 * Settings of the recovery ramp after an outage.
 *
 * @param slotUs length of a slot of the retry schedule, in microseconds
 * @param minRetryAfterUs shortest Retry-After, in microseconds
 * @param maxRetryAfterUs longest Retry-After, in microseconds
 * @param clientFraction fraction of the warm capacity that is scheduled for waiting clients
 * @param refreshFraction fraction of the warm capacity that refreshes of stored answers may use
 */
public record RecoveryRampSettings(
        long slotUs, long minRetryAfterUs, long maxRetryAfterUs, double clientFraction, double refreshFraction) {
    /** Slots of 50 ms and Retry-After up to a minute. */
    public static final RecoveryRampSettings DEFAULT = new RecoveryRampSettings(50_000, 100_000, 60_000_000, 0.6, 0.1);

    /**
     * Validates the values.
     *
     * @throws IllegalArgumentException if a value is out of its range
     */
    public RecoveryRampSettings {
        if (slotUs < 1
                || minRetryAfterUs < 0
                || maxRetryAfterUs < slotUs
                || !(clientFraction >= 0)
                || !(refreshFraction >= 0)
                || clientFraction + refreshFraction > 1) {
            throw new IllegalArgumentException(
                    "recovery ramp settings out of range; expected none negative, slotUs from 1 to maxRetryAfterUs, and"
                            + " clientFraction + refreshFraction at most 1");
        }
    }
}
