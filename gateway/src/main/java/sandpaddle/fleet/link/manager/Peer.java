package sandpaddle.fleet.link.manager;

import java.util.SplittableRandom;
import sandpaddle.fleet.link.LinkSettings;
import sandpaddle.fleet.link.Links.LossReason;
import sandpaddle.fleet.link.queue.Backoff;
import sandpaddle.fleet.member.Member;

/**
 * The connections to one other gateway: the link, an outbound attempt and an inbound handshake. Guarded by the lock
 * of the links.
 */
final class Peer {
    final String name;
    Member required; // null if this gateway needs no link to it
    PeerConnection activeLink; // null if there is no link
    PeerConnection outboundAttempt; // not up yet
    PeerConnection inboundHandshake; // not up yet; only the newest one
    LossReason lastReportedLoss; // null while up and before the first loss
    private final Backoff backoff;
    private final long stableAfterUs;
    private long nextAttemptUs = Long.MIN_VALUE;

    Peer(String name, LinkSettings.Times times, SplittableRandom random) {
        this.name = name;
        backoff = new Backoff(times.minBackoffUs(), times.maxBackoffUs(), random);
        stableAfterUs = 2 * times.livenessTimeoutUs();
    }

    /** Whether to start an attempt now; not while an inbound handshake may become the link. */
    boolean isAttemptDue(long nowUs) {
        return required != null
                && activeLink == null
                && outboundAttempt == null
                && inboundHandshake == null
                && nowUs >= nextAttemptUs;
    }

    void scheduleRetry(long nowUs) {
        nextAttemptUs = nowUs + backoff.nextDelayUs();
    }

    /**
     * A link that was not stable counts as a failed attempt, so that a flapping peer is not reconnected immediately
     * each time.
     */
    void linkLost(PeerConnection ended, long nowUs) {
        if (nowUs - ended.upSinceUs >= stableAfterUs) {
            backoff.reset();
        }
        scheduleRetry(nowUs);
    }

    boolean isUnused() {
        return required == null && activeLink == null && outboundAttempt == null && inboundHandshake == null;
    }
}
