package sandpaddle.fleet.link.queue;

import java.util.SplittableRandom;

/**
 * Pauses between attempts at one peer: each bound twice the one before, up to the most, and the pause drawn from its
 * upper half, so that gateways that lost a peer together do not come back together.
 */
public final class Backoff {
    private final long minUs, maxUs;
    private final SplittableRandom random;
    private long boundUs;

    public Backoff(long minUs, long maxUs, SplittableRandom random) {
        this.minUs = minUs;
        this.maxUs = maxUs;
        this.random = random;
        boundUs = minUs;
    }

    /** The next pause (us), from half the least to the most. */
    public long next() {
        long pause = boundUs / 2 + random.nextLong(boundUs - boundUs / 2 + 1);
        boundUs = Math.min(maxUs, 2 * boundUs);
        return pause;
    }

    /** After a link that lasted. */
    public void reset() {
        boundUs = minUs;
    }
}
