package sandpaddle.fleet.content.replication;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.ToLongFunction;
import sandpaddle.fleet.content.CachedResult;
import sandpaddle.fleet.content.ResultId;

/**
 * Outgoing transfers. Ids are queued for each gateway, a bounded number of them is offered, and chunks are sent on
 * request. Besides ids only the encoded result read last is kept, since its chunks are requested one after the other.
 */
final class ReplicaSender {
    private static final int MAX_PEERS = 256;

    /** State of an offer that is not acknowledged. */
    private static final class PendingOffer {
        private long sentAtUs;
        private int attempts;
    }

    /** Queue and offers of one gateway. */
    private static final class PeerState {
        private final Set<ResultId> queued = new LinkedHashSet<>();
        private final Map<ResultId, PendingOffer> pendingOffers = new LinkedHashMap<>();
        private boolean isConnected;
    }

    /** An encoded result. */
    private record EncodedResult(ResultId id, byte[] bytes, int crc32c, long requestedAtWallMs) {}

    private final ReplicationSettings settings;
    private final ReplicaStore store;
    private final ToLongFunction<CachedResult> ageOf;
    private final Map<String, PeerState> peers = new TreeMap<>();
    private EncodedResult lastRead;

    ReplicaSender(ReplicationSettings settings, ReplicaStore store, ToLongFunction<CachedResult> ageOf) {
        this.settings = settings;
        this.store = store;
        this.ageOf = ageOf;
    }

    /** Queues a result to be offered to a gateway; returns false if the queue is full. */
    boolean offer(String to, ResultId id) {
        PeerState state = peerState(to);
        if (state == null || state.queued.size() >= settings.maxQueued()) {
            return false;
        }
        if (!state.pendingOffers.containsKey(id)) {
            state.queued.add(id);
        }
        return true;
    }

    private PeerState peerState(String name) {
        return peers.size() < MAX_PEERS ? peers.computeIfAbsent(name, key -> new PeerState()) : peers.get(name);
    }

    void setConnected(String peer, boolean isConnected) {
        PeerState state = peerState(peer);
        if (state == null) {
            return;
        }
        state.isConnected = isConnected;
        if (!isConnected) { // unfinished transfers are offered again once the gateway is connected
            Set<ResultId> requeued = new LinkedHashSet<>(state.pendingOffers.keySet());
            requeued.addAll(state.queued);
            state.queued.clear();
            state.queued.addAll(requeued);
            state.pendingOffers.clear();
        }
    }

    /** A gateway left the zone. */
    void forget(String peer) {
        peers.remove(peer);
    }

    ReplicationMessage resultRequested(ResultId id) {
        return readEncoded(id, true).map(this::offerOf).orElse(new ReplicationMessage.NotFound(id));
    }

    private ReplicationMessage offerOf(EncodedResult encoded) {
        long ageMs = store.find(encoded.id).map(ageOf::applyAsLong).orElse(0L);
        return new ReplicationMessage.Offer(
                encoded.id, encoded.requestedAtWallMs, Math.max(0, ageMs), encoded.bytes.length, encoded.crc32c);
    }

    private Optional<EncodedResult> readEncoded(ResultId id, boolean mustBeCurrent) {
        if (lastRead == null
                || !lastRead.id.equals(id)
                || mustBeCurrent && lastRead.requestedAtWallMs != store.requestedAtMs(id)) {
            lastRead = store.find(id)
                    .map(result -> {
                        byte[] bytes = result.encode();
                        return new EncodedResult(
                                id,
                                bytes,
                                CachedResult.crc32c(bytes),
                                result.metadata().requestedAtWallMs());
                    })
                    .orElse(null);
        }
        return Optional.ofNullable(lastRead);
    }

    ReplicationMessage chunkRequested(String from, ReplicationMessage.ChunkRequest request, long nowUs) {
        PeerState state = peers.get(from);
        PendingOffer offer = state == null ? null : state.pendingOffers.get(request.id());
        if (offer != null) {
            offer.sentAtUs = nowUs; // the transfer progresses, so the offer is not repeated
            offer.attempts = 1;
        }
        EncodedResult encoded = readEncoded(request.id(), false).orElse(null);
        if (encoded == null || encoded.crc32c != request.crc32c() || request.offset() >= encoded.bytes.length) {
            return new ReplicationMessage.NotFound(request.id());
        }
        int length = Math.min(
                Math.min(request.maxLength(), ReplicationMessageCodec.MAX_CHUNK_BYTES),
                encoded.bytes.length - request.offset());
        byte[] chunk = new byte[length];
        System.arraycopy(encoded.bytes, request.offset(), chunk, 0, length);
        return new ReplicationMessage.Chunk(request.id(), encoded.crc32c, request.offset(), chunk);
    }

    void acknowledged(String from, ResultId id) {
        PeerState state = peers.get(from);
        if (state != null) {
            state.pendingOffers.remove(id);
            state.queued.remove(id);
        }
    }

    List<OutgoingMessage> tick(long nowUs) {
        List<OutgoingMessage> out = new ArrayList<>();
        peers.forEach((name, state) -> {
            if (state.isConnected) {
                repeatOffers(name, state, nowUs, out);
                sendFirstOffers(name, state, nowUs, out);
            }
        });
        return out;
    }

    private void repeatOffers(String name, PeerState state, long nowUs, List<OutgoingMessage> out) {
        List<ResultId> postponed = new ArrayList<>();
        for (Iterator<Map.Entry<ResultId, PendingOffer>> iterator =
                        state.pendingOffers.entrySet().iterator();
                iterator.hasNext(); ) {
            Map.Entry<ResultId, PendingOffer> entry = iterator.next();
            if (nowUs - entry.getValue().sentAtUs >= settings.responseTimeoutUs()) {
                if (entry.getValue().attempts >= settings.maxAttempts()) {
                    postponed.add(entry.getKey()); // after the others: the peer may be busy with larger results
                    iterator.remove();
                } else {
                    send(name, entry.getKey(), entry.getValue(), nowUs, out);
                }
            }
        }
        postponed.forEach(id -> offer(name, id));
    }

    private void sendFirstOffers(String name, PeerState state, long nowUs, List<OutgoingMessage> out) {
        for (Iterator<ResultId> iterator = state.queued.iterator();
                iterator.hasNext() && state.pendingOffers.size() < settings.maxOffers(); ) {
            ResultId id = iterator.next();
            iterator.remove();
            PendingOffer offer = new PendingOffer();
            if (send(name, id, offer, nowUs, out)) {
                state.pendingOffers.put(id, offer);
            }
        }
    }

    private boolean send(String name, ResultId id, PendingOffer offer, long nowUs, List<OutgoingMessage> out) {
        Optional<EncodedResult> encoded = readEncoded(id, true);
        offer.sentAtUs = nowUs;
        offer.attempts++;
        encoded.ifPresent(found -> out.add(new OutgoingMessage(name, offerOf(found))));
        return encoded.isPresent();
    }

    /** Returns the number of results that a gateway has not acknowledged. */
    int pendingCount(String peer) {
        PeerState state = peers.get(peer);
        return state == null ? 0 : state.queued.size() + state.pendingOffers.size();
    }
}
