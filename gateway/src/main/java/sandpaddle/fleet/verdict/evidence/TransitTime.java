package sandpaddle.fleet.verdict.evidence;

/**
 * Estimates an upper bound for the transit time of a peer's messages without a common clock, by echoed timestamps as
 * in NTP (RFC 5905). The peer echoes this gateway's latest stamp together with the delay since it received the stamp;
 * the time since that stamp minus the delay is the transit time of both messages. Before the first echo, a message is
 * at most as old as its link.
 */
final class TransitTime {
    private final double drift;
    private long linkOpenedUs;
    private long latestStampUs = EvidenceBatch.NO_ECHO;
    private long stampReceivedUs;

    TransitTime(double drift, long linkOpenedUs) {
        this.drift = drift;
        this.linkOpenedUs = linkOpenedUs;
    }

    /** Resets the estimate for a new link; no message on it is older than {@code openedUs}. */
    void linkUp(long openedUs) {
        linkOpenedUs = openedUs;
        latestStampUs = EvidenceBatch.NO_ECHO;
    }

    /** Returns the upper bound for a batch that is received now. */
    long upperBoundUs(long nowUs, EvidenceBatch batch) {
        long linkAgeUs = Math.max(0, nowUs - linkOpenedUs);
        boolean hasEcho = batch.echoedStampUs() != EvidenceBatch.NO_ECHO
                && batch.echoedStampUs() >= linkOpenedUs
                && batch.echoedStampUs() <= nowUs;
        if (!hasEcho) {
            return linkAgeUs;
        }
        long echoDelayUs = (long) (batch.echoDelayUs() * (1 - drift));
        return Math.min(linkAgeUs, Math.max(0, nowUs - batch.echoedStampUs() - echoDelayUs));
    }

    /** Stores the latest stamp of the peer, to be echoed. */
    void stampReceived(long nowUs, long stampUs) {
        if (stampUs > latestStampUs) {
            latestStampUs = stampUs;
            stampReceivedUs = nowUs;
        }
    }

    /** Returns the stamp to echo, or {@link EvidenceBatch#NO_ECHO}. */
    long stampToEchoUs() {
        return latestStampUs;
    }

    /** Returns the time since the stamp to echo was received, or 0 without one. */
    long echoDelayUs(long nowUs) {
        return latestStampUs == EvidenceBatch.NO_ECHO ? 0 : nowUs - stampReceivedUs;
    }
}
