package sandpaddle.fleet.limit.allocator;

import java.util.ArrayDeque;
import sandpaddle.fleet.limit.Guard;
import sandpaddle.fleet.limit.LimitSettings;
import sandpaddle.fleet.limit.table.GatewayRow;
import sandpaddle.fleet.limit.wire.Heartbeat;

/**
 * The leader's state of one gateway: when its last heartbeat was received, and which heartbeats may be confirmed. Used
 * only by {@link QuotaAllocator} and its parts, on its thread.
 */
final class GatewayState {
    private static final int MAX_PENDING = 64;
    private static final long LONG_AGO = Long.MIN_VALUE / 2;

    private record ReceivedHeartbeat(long sequence, long session, long receivedAtUs) {}

    private final LimitSettings settings;
    private final ArrayDeque<ReceivedHeartbeat> pending = new ArrayDeque<>();
    private long formerIncarnation; // the former process, whose heartbeats may still arrive
    private long incarnationSinceUs;
    private long lastLeasedAtUs;
    private long leasedSession = -1;
    private long confirmedSession;
    private long confirmedSequence;
    private int lastObserved; // alive and leased, as encoded by hasChanged
    long incarnation;
    long sequence;
    long session;
    long epoch;
    long validityUs;
    boolean leased;
    long lastHeartbeatAtUs; // the last heartbeat that a lease may count from; initially the election
    long reclaimingSession = -1; // session that is being reclaimed: its heartbeats are no longer confirmed
    long lastProposalAtUs = LONG_AGO;
    long sentConfirmedSequence;
    long lastGrantAtUs = LONG_AGO;

    GatewayState(LimitSettings settings, long electedAtUs) {
        this.settings = settings;
        incarnationSinceUs = electedAtUs;
        lastHeartbeatAtUs =
                settings.enforces(Guard.ELECTION_RENEWS) ? electedAtUs : electedAtUs - settings.reclaimDelayUs();
    }

    /** Records a heartbeat. Returns false if it is old or repeated, or of a former process. */
    boolean receive(long nowUs, GatewayRow row, Heartbeat heartbeat) {
        if (heartbeat.incarnation() != incarnation && !switchIncarnation(nowUs, row, heartbeat.incarnation())) {
            return false;
        }
        if (heartbeat.sequence() <= sequence) {
            return false;
        }
        sequence = heartbeat.sequence();
        session = heartbeat.session();
        epoch = heartbeat.epoch();
        validityUs = heartbeat.validityUs();
        leased = heartbeat.leased();
        if (isCurrent(row)) {
            recordRenewal(nowUs, row);
        }
        return true;
    }

    /** Switches to a new process of the gateway, unless it is the former one, whose heartbeats may arrive late. */
    private boolean switchIncarnation(long nowUs, GatewayRow row, long next) {
        boolean isFormer = next == (incarnation == 0 ? row.formerIncarnation() : formerIncarnation);
        if (next == 0 || isFormer && nowUs - incarnationSinceUs < settings.leaseUs()) {
            return false;
        }
        formerIncarnation = incarnation;
        incarnation = next;
        incarnationSinceUs = nowUs;
        sequence = 0;
        confirmedSequence = 0;
        sentConfirmedSequence = 0;
        pending.clear();
        return true;
    }

    private void recordRenewal(long nowUs, GatewayRow row) {
        if (leased || leasedSession != row.session()) {
            lastLeasedAtUs = nowUs;
            leasedSession = row.session();
        }
        // a gateway that sends but does not receive must time out: its heartbeats are no longer confirmed
        if (nowUs - lastLeasedAtUs <= 2 * settings.leaseUs() && pending.size() < MAX_PENDING) {
            lastHeartbeatAtUs = nowUs;
            pending.add(new ReceivedHeartbeat(sequence, row.session(), nowUs));
            if (!settings.enforces(Guard.MAJORITY)) {
                onLeadershipConfirmed(nowUs, row);
            }
        }
    }

    private boolean isCurrent(GatewayRow row) {
        return incarnation == row.incarnation()
                && reclaimingSession != row.session()
                && (session == row.session() || !settings.enforces(Guard.SESSION));
    }

    /**
     * A majority confirmed that no other leader was elected before {@code asOfUs}: confirms the heartbeats until then.
     */
    void onLeadershipConfirmed(long asOfUs, GatewayRow row) {
        while (!pending.isEmpty() && pending.peek().receivedAtUs <= asOfUs) {
            ReceivedHeartbeat heartbeat = pending.poll();
            if (heartbeat.session == row.session() && reclaimingSession != row.session()) {
                confirmedSequence = heartbeat.sequence;
                confirmedSession = heartbeat.session;
            }
        }
    }

    /** The latest heartbeat of the current session that may be confirmed; 0 for none. */
    long confirmedSequence(GatewayRow row) {
        return confirmedSession == row.session() && reclaimingSession != row.session() ? confirmedSequence : 0;
    }

    /** Whether the gateway became alive or dead, or got or lost its lease, since the last call. */
    boolean hasChanged(long nowUs, GatewayRow row) {
        int next = (isAlive(nowUs, row) ? 2 : 0) + (leased ? 1 : 0);
        boolean changed = next != lastObserved;
        lastObserved = next;
        return changed;
    }

    /** Whether the gateway would receive and use quotas that are granted now. */
    boolean isAlive(long nowUs, GatewayRow row) {
        return isCurrent(row) && nowUs - lastHeartbeatAtUs < settings.leaseUs();
    }
}
