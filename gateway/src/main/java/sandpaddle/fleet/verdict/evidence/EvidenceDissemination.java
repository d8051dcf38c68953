package sandpaddle.fleet.verdict.evidence;

import java.util.Collections;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import sandpaddle.fleet.verdict.VerdictSettings;

/**
 * Disseminates the evidence with the voters as relays. A voter sends changes to all peers; any other gateway sends its
 * own evidence to the voters and to linked gateways of its zone. A record crosses at most two links, over as many
 * paths as there are voters, and without any voter the gateways of a zone still exchange their evidence. Data loads,
 * which have no lease, are also sent back to voters that lost them.
 *
 * <p>Cost: each voter sends each record once to each gateway, except back to the one that it received the record from.
 * Bound: one {@link PeerCursor} for each linked member, at most {@code maxMembers}; batches of at most {@link
 * #MAX_RECORDS} records.
 *
 * <p>Not thread-safe: owned by the fleet's thread.
 */
public final class EvidenceDissemination {
    /** Maximum number of records in one batch. */
    public static final int MAX_RECORDS = 200;
    /** Minimum number of batches in a lease: batches without records keep the estimate of the transit time current. */
    private static final int ECHOES_PER_LEASE = 6;

    private final String self;
    private final VerdictSettings settings;
    private final double drift;
    private final EvidenceStore store;
    private final Map<String, PeerCursor> cursors = new TreeMap<>();
    private final Map<String, Long> peerIncarnations = new TreeMap<>();
    private Set<String> voters = Set.of();
    private Map<String, String> zoneOf = Map.of();

    /**
     * Creates the dissemination of a store.
     *
     * @param self name of this gateway
     * @param settings settings of the verdicts
     * @param drift maximum relative difference between the monotonic clocks of two gateways
     * @param store evidence to send, and to merge received evidence into
     */
    public EvidenceDissemination(String self, VerdictSettings settings, double drift, EvidenceStore store) {
        this.self = self;
        this.settings = settings;
        this.drift = drift;
        this.store = store;
    }

    /** Sets the voters, which relay evidence, and the zone of each member. */
    public void setRoles(Set<String> newVoters, Map<String, String> zoneOf) {
        voters = Collections.unmodifiableSet(new TreeSet<>(newVoters)); // sorted, so that iteration is deterministic
        this.zoneOf = Collections.unmodifiableMap(new TreeMap<>(zoneOf));
    }

    /**
     * Starts to exchange evidence on a new link.
     *
     * @param peer name of the peer; one that is not a member is ignored
     * @param incarnation a changed incarnation means that the peer has an empty store
     * @param openedUs time before which the peer cannot have sent anything on the link
     */
    public void linkUp(String peer, long incarnation, long openedUs) {
        if (!zoneOf.containsKey(peer)) {
            return; // bounds the number of cursors
        }
        PeerCursor cursor = cursors.computeIfAbsent(peer, key -> new PeerCursor(new TransitTime(drift, openedUs)));
        cursor.transitTime.linkUp(openedUs);
        Long previousIncarnation = peerIncarnations.put(peer, incarnation);
        boolean isSameIncarnation = previousIncarnation != null && previousIncarnation == incarnation;
        cursor.linkUp(isSameIncarnation);
        if (!isSameIncarnation) {
            store.forgetSource(peer);
        }
        cursors.keySet().retainAll(zoneOf.keySet());
        peerIncarnations.keySet().retainAll(zoneOf.keySet());
    }

    /** Returns the batch to send to a peer now, if any. Has to be called every {@code evidenceIntervalUs}. */
    public Optional<EvidenceBatch> nextBatch(long nowUs, String peer) {
        PeerCursor cursor = cursors.get(peer);
        if (cursor == null) {
            return Optional.empty();
        }
        EvidenceBatch batch = cursor.nextBatch(nowUs, store, entry -> isForPeer(entry, peer), MAX_RECORDS);
        boolean isEchoDue = nowUs - cursor.lastSentUs >= settings.evidenceLeaseUs() / ECHOES_PER_LEASE;
        if (batch.messages().isEmpty() && !isEchoDue) {
            if (cursor.isBehind(batch)) {
                cursor.skip(batch);
            }
            return Optional.empty();
        }
        return Optional.of(batch);
    }

    private boolean isForPeer(EvidenceStore.Entry entry, String peer) {
        String reporter = entry.evidence().reporter();
        boolean isPermanent = entry.evidence().subject().topic().isPermanent();
        if (entry.receivedFrom().equals(peer) || reporter.equals(peer) && !isPermanent) {
            return false;
        }
        if (voters.contains(self)) {
            return true;
        }
        boolean isSameZone = zoneOf.getOrDefault(peer, "").equals(zoneOf.get(self));
        return (isSameZone || voters.contains(peer)) && (isPermanent || reporter.equals(self));
    }

    /**
     * Records that a batch was queued on the link to a peer. The records of a batch that was not queued are in the next
     * batch again.
     */
    public void batchSent(String peer, EvidenceBatch batch) {
        PeerCursor cursor = cursors.get(peer);
        if (cursor != null) {
            cursor.batchSent(batch);
        }
    }

    /** Merges a peer's batch into the store and returns the number of records that were new. */
    public int batchReceived(long nowUs, String peer, EvidenceBatch batch) {
        PeerCursor cursor = cursors.get(peer);
        if (cursor == null) {
            return 0;
        }
        long transitUs = cursor.transitTime.upperBoundUs(nowUs, batch);
        cursor.transitTime.stampReceived(nowUs, batch.sentAtUs());
        cursor.batchReceived(batch);
        int changed = 0;
        for (EvidenceMessage message : batch.messages()) {
            // This gateway has the latest version of its own records, except of data loads before its last start.
            boolean isOwn = message.reporter().equals(self)
                    && !message.subject().topic().isPermanent();
            if (!isOwn
                    && store.put(message.toRecord(nowUs, transitUs, drift), peer, nowUs)
                            == EvidenceStore.PutResult.ADDED) {
                changed++;
            }
        }
        return changed;
    }
}
