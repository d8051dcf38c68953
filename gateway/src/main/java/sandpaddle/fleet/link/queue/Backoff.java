package sandpaddle.fleet.link.queue;

import java.util.SplittableRandom;

/**
 * Exponential backoff with jitter between attempts at one peer: the bound doubles up to a maximum, and the delay is
 * drawn from its upper half, so that gateways that lost a peer at the same time do not reconnect at the same time.
 */
public final class Backoff {
    private final long minUs, maxUs;
    private final SplittableRandom random;
    private long boundUs;

    /** Creates a backoff between two bounds in microseconds. */
    public Backoff(long minUs, long maxUs, SplittableRandom random) {
        this.minUs = minUs;
        this.maxUs = maxUs;
        this.random = random;
        boundUs = minUs;
    }

    /** The next delay (us), from half the minimum to the maximum. */
    public long nextDelayUs() {
        long delayUs = boundUs / 2 + random.nextLong(boundUs - boundUs / 2 + 1);
        boundUs = Math.min(maxUs, 2 * boundUs);
        return delayUs;
    }

    /** Starts again from the minimum, after a stable link. */
    public void reset() {
        boundUs = minUs;
    }
}
