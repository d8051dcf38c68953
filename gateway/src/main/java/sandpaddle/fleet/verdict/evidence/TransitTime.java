package sandpaddle.fleet.verdict.evidence;

/**
 * An upper bound for how long a peer's message was in transit, without a common clock (as the origin and receive
 * timestamps of NTP, RFC 5905). The peer echoes this gateway's latest stamp and says how long it held it; the time
 * since that stamp, less the holding, is the transit time of both messages. Before an echo came, a message is no older
 * than the link that it came on.
 */
final class TransitTime {
    private final double drift;
    private long upAt;
    private long heardStampUs = Batch.NO_ECHO;
    private long heardAt;

    TransitTime(double drift, long upAt) {
        this.drift = drift;
        this.upAt = upAt;
    }

    /** The link came up; {@code openedAt}: when this gateway first tried it, so that nothing on it is older. */
    void up(long openedAt) {
        upAt = openedAt;
        heardStampUs = Batch.NO_ECHO;
    }

    long maxUs(long now, Batch batch) {
        long sinceUp = Math.max(0, now - upAt);
        boolean echoed = batch.echoUs() != Batch.NO_ECHO && batch.echoUs() >= upAt && batch.echoUs() <= now;
        if (!echoed) {
            return sinceUp;
        }
        long held = (long) (batch.heldUs() * (1 - drift));
        return Math.min(sinceUp, Math.max(0, now - batch.echoUs() - held));
    }

    void heard(long now, long stampUs) {
        if (stampUs > heardStampUs) {
            heardStampUs = stampUs;
            heardAt = now;
        }
    }

    long echoUs() {
        return heardStampUs;
    }

    long heldUs(long now) {
        return heardStampUs == Batch.NO_ECHO ? 0 : now - heardAt;
    }
}
