package sandpaddle.fleet.content.serve;

/**
 * Computes the Retry-After of a query that is rejected in an outage: until the link is expected back, with jitter of up
 * to {@code spreadMs} against a thundering herd. If the link is expected back after {@code maxMs}, the value has equal
 * jitter (from half of the maximum up), so that the clients do not all retry at once to be rejected again.
 *
 * @param minMs minimum Retry-After
 * @param maxMs maximum Retry-After
 * @param spreadMs maximum jitter after the expected return of the link
 */
public record OutageRetryAfter(long minMs, long maxMs, long spreadMs) {
    /** Checks the bounds. */
    public OutageRetryAfter {
        if (minMs < 0 || maxMs < minMs || spreadMs < 0) {
            throw new IllegalArgumentException("Retry-After from " + minMs + " to " + maxMs + " ms with jitter of "
                    + spreadMs + " ms; expected 0 <= minimum <= maximum, and jitter of at least 0");
        }
    }

    /**
     * Returns the Retry-After in milliseconds.
     *
     * @param wallMs wall-clock time
     * @param returnAtWallMs wall-clock time at which the link is expected back
     * @param random random number in [0, 1)
     */
    public long retryAfterMs(long wallMs, long returnAtWallMs, double random) {
        long untilReturnMs = Math.max(0, returnAtWallMs - wallMs);
        if (untilReturnMs >= maxMs) {
            long half = Math.max(minMs, maxMs / 2);
            return half + (long) (random * (maxMs - half));
        }
        return Math.max(minMs, Math.min(maxMs, untilReturnMs + (long) (random * spreadMs)));
    }
}
