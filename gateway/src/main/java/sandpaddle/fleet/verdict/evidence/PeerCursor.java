package sandpaddle.fleet.verdict.evidence;

import java.util.ArrayList;
import java.util.List;
import java.util.NavigableMap;
import java.util.function.Predicate;
import sandpaddle.fleet.verdict.evidence.EvidenceStore.Entry;

/**
 * The position of one peer in this gateway's store: a version for urgent changes and one for the others. Sending
 * advances a position; a new link resets it to the version that the peer acknowledged.
 */
final class PeerCursor {
    private long urgentSent, normalSent;
    private long urgentAcked, normalAcked;
    private long urgentReceived, normalReceived; // versions in the peer's store
    final TransitTime transitTime;
    long lastSentUs = Long.MIN_VALUE / 2;

    PeerCursor(TransitTime transitTime) {
        this.transitTime = transitTime;
    }

    /** Resets the positions for a new link; a peer with another incarnation has an empty store. */
    void linkUp(boolean isSameIncarnation) {
        if (!isSameIncarnation) {
            urgentAcked = 0;
            normalAcked = 0;
            urgentReceived = 0;
            normalReceived = 0;
        }
        urgentSent = urgentAcked;
        normalSent = normalAcked;
        lastSentUs = Long.MIN_VALUE / 2;
    }

    /** Builds a batch of the changes that the peer lacks, urgent ones first, at most {@code maxRecords} records. */
    EvidenceBatch nextBatch(long nowUs, EvidenceStore store, Predicate<Entry> isForPeer, int maxRecords) {
        List<EvidenceMessage> messages = new ArrayList<>();
        long urgentUpTo = collect(
                store.changes(true), urgentSent, isForPeer, nowUs, store.evidenceLeaseUs(), maxRecords, messages);
        long normalUpTo = collect(
                store.changes(false), normalSent, isForPeer, nowUs, store.evidenceLeaseUs(), maxRecords, messages);
        return new EvidenceBatch(
                nowUs,
                transitTime.stampToEchoUs(),
                transitTime.echoDelayUs(nowUs),
                urgentUpTo,
                normalUpTo,
                urgentReceived,
                normalReceived,
                messages);
    }

    private static long collect(
            NavigableMap<Long, Entry> changes,
            long sentVersion,
            Predicate<Entry> isForPeer,
            long nowUs,
            long leaseUs,
            int maxRecords,
            List<EvidenceMessage> messages) {
        long upTo = sentVersion;
        for (Entry entry : changes.tailMap(sentVersion, false).values()) {
            if (isForPeer.test(entry) && !entry.evidence().isExpired(nowUs, leaseUs)) {
                if (messages.size() >= maxRecords) {
                    break;
                }
                messages.add(EvidenceMessage.of(entry.evidence(), nowUs));
            }
            upTo = entry.version();
        }
        return upTo;
    }

    /** Returns whether the batch advances a position of this peer. */
    boolean isBehind(EvidenceBatch batch) {
        return batch.urgentUpTo() > urgentSent || batch.normalUpTo() > normalSent;
    }

    /** Advances the positions and records the time of sending. */
    void batchSent(EvidenceBatch batch) {
        urgentSent = batch.urgentUpTo();
        normalSent = batch.normalUpTo();
        lastSentUs = batch.sentAtUs();
    }

    /** Advances the positions past changes that are not sent to the peer. */
    void skip(EvidenceBatch batch) {
        urgentSent = batch.urgentUpTo();
        normalSent = batch.normalUpTo();
    }

    /** Updates the positions from a batch of the peer. An acknowledgement of what was not sent is ignored. */
    void batchReceived(EvidenceBatch batch) {
        urgentReceived = Math.max(urgentReceived, batch.urgentUpTo());
        normalReceived = Math.max(normalReceived, batch.normalUpTo());
        if (batch.urgentAck() <= urgentSent) {
            urgentAcked = Math.max(urgentAcked, batch.urgentAck());
        }
        if (batch.normalAck() <= normalSent) {
            normalAcked = Math.max(normalAcked, batch.normalAck());
        }
    }
}
