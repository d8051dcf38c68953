package sandpaddle.fleet.limit.lease;

import java.util.ArrayDeque;
import sandpaddle.fleet.limit.Guard;
import sandpaddle.fleet.limit.LimitSettings;

/**
 * The lease of one gateway's process. It counts from when the gateway sent the heartbeat that the leader confirmed, by
 * the gateway's own clock, since the leader cannot have received the heartbeat earlier. After Gray and Cheriton (1989).
 * Not thread-safe: owned by the thread of {@link QuotaHolder}. Bound: {@link #MAX_HEARTBEATS} heartbeats are
 * remembered.
 */
final class Lease {
    /** Max number of unconfirmed heartbeats: those of 25 s at one per 100 ms. */
    static final int MAX_HEARTBEATS = 256;

    private static final long NO_LEASE = Long.MIN_VALUE / 2;

    private record SentHeartbeat(long sequence, long session, long sentAtUs) {}

    private final LimitSettings settings;
    private final ArrayDeque<SentHeartbeat> sentHeartbeats = new ArrayDeque<>();
    private long expiresAtUs = NO_LEASE;

    Lease(LimitSettings settings) {
        this.settings = settings;
    }

    /** Records a heartbeat that is sent at {@code nowUs}. */
    void recordSent(long nowUs, long sequence, long session) {
        while (!sentHeartbeats.isEmpty() && isObsolete(sentHeartbeats.peek(), nowUs)) {
            sentHeartbeats.poll();
        }
        sentHeartbeats.add(new SentHeartbeat(sequence, session, nowUs));
    }

    /** Whether a confirmation of this heartbeat would be useless, or there are too many. */
    private boolean isObsolete(SentHeartbeat oldest, long nowUs) {
        return sentHeartbeats.size() >= MAX_HEARTBEATS || oldest.sentAtUs + settings.leaseUs() < nowUs;
    }

    /** Renews the lease as of when the confirmed heartbeat was sent. */
    void confirm(long nowUs, long sequence, long session) {
        for (SentHeartbeat heartbeat : sentHeartbeats) {
            if (heartbeat.sequence == sequence && (heartbeat.session == session || !settings.enforces(Guard.SESSION))) {
                long startUs = settings.enforces(Guard.FROM_SEND) ? heartbeat.sentAtUs : nowUs;
                expiresAtUs = Math.max(expiresAtUs, startUs + settings.leaseUs());
            }
        }
    }

    void end() {
        expiresAtUs = NO_LEASE;
    }

    long expiresAtUs() {
        return expiresAtUs;
    }

    boolean isValid(long nowUs) {
        return nowUs < expiresAtUs;
    }
}
