package sandpaddle.fleet.content.replication;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import sandpaddle.fleet.content.CachedResult;
import sandpaddle.fleet.content.ResultId;
import sandpaddle.fleet.content.ResultMetadata;
import sandpaddle.fleet.wire.CborIn;

/**
 * Incoming transfers. The receiver requests each chunk, which bounds the bytes in flight. After a lost link a transfer
 * resumes where it stopped, from any gateway that offers the same bytes. Duplicate and reordered chunks are ignored.
 */
final class ReplicaReceiver {
    /** A transfer in progress. */
    private static final class Transfer {
        private String from;
        private final int crc32c;
        private final byte[] bytes;
        private int received;
        private final long ageMs; // age when the result was offered
        private final long offeredAtUs;
        private long lastRequestUs;
        private int attempts;

        Transfer(String from, ReplicationMessage.Offer offer, long offeredAtUs) {
            this.from = from;
            crc32c = offer.crc32c();
            bytes = new byte[offer.length()];
            ageMs = offer.ageMs();
            this.offeredAtUs = offeredAtUs;
        }
    }

    /** An offer that exceeded the bounds; its transfer starts once others have ended. */
    private record Deferred(String from, ReplicationMessage.Offer offer, long atUs) {}

    private static final int MAX_DEFERRED = 1024;

    private final ReplicationSettings settings;
    private final ReplicaStore store;
    private final Map<ResultId, Deferred> deferred = new LinkedHashMap<>();
    private final Map<ResultId, Transfer> transfers = new LinkedHashMap<>();
    private long bytes;
    private long corruptCount;

    ReplicaReceiver(ReplicationSettings settings, ReplicaStore store) {
        this.settings = settings;
        this.store = store;
    }

    List<OutgoingMessage> offered(String from, ReplicationMessage.Offer offer, long nowUs) {
        if (store.requestedAtMs(offer.id()) >= offer.requestedAtWallMs()) {
            return List.of(new OutgoingMessage(from, new ReplicationMessage.Acknowledgement(offer.id())));
        }
        Transfer transfer = transfers.get(offer.id());
        if (transfer != null && (transfer.crc32c != offer.crc32c() || transfer.bytes.length != offer.length())) {
            if (!transfer.from.equals(from)) {
                return List.of(); // a transfer from another gateway is in progress; the sender repeats the offer
            }
            drop(offer.id());
            transfer = null;
        }
        if (transfer == null) {
            if (!isWithinBounds(offer)) {
                if (offer.length() <= settings.maxIncomingBytes() && deferred.size() < MAX_DEFERRED) {
                    deferred.put(offer.id(), new Deferred(from, offer, nowUs));
                }
                return List.of(); // the transfer starts later, or the sender repeats the offer
            }
            transfer = start(from, offer, nowUs);
        }
        transfer.from = from;
        transfer.attempts = 0;
        return List.of(requestNextChunk(offer.id(), transfer, nowUs));
    }

    private boolean isWithinBounds(ReplicationMessage.Offer offer) {
        return transfers.size() < settings.maxIncoming() && bytes + offer.length() <= settings.maxIncomingBytes();
    }

    private Transfer start(String from, ReplicationMessage.Offer offer, long offeredAtUs) {
        Transfer transfer = new Transfer(from, offer, offeredAtUs);
        transfers.put(offer.id(), transfer);
        bytes += offer.length();
        return transfer;
    }

    /**
     * Starts deferred transfers that are now within the bounds. Drops offers so old that the sender has repeated
     * them, and those whose result is in transfer or cached.
     */
    private List<OutgoingMessage> startDeferred(long nowUs) {
        List<OutgoingMessage> out = new ArrayList<>();
        for (Iterator<Deferred> iterator = deferred.values().iterator(); iterator.hasNext(); ) {
            Deferred deferredOffer = iterator.next();
            boolean isObsolete = nowUs - deferredOffer.atUs > settings.responseTimeoutUs() * settings.maxAttempts()
                    || transfers.containsKey(deferredOffer.offer.id())
                    || store.requestedAtMs(deferredOffer.offer.id()) >= deferredOffer.offer.requestedAtWallMs();
            if (!isObsolete && !isWithinBounds(deferredOffer.offer)) {
                break;
            }
            iterator.remove();
            if (!isObsolete) {
                out.add(requestNextChunk(
                        deferredOffer.offer.id(),
                        start(deferredOffer.from, deferredOffer.offer, deferredOffer.atUs),
                        nowUs));
            }
        }
        return out;
    }

    private static OutgoingMessage requestNextChunk(ResultId id, Transfer transfer, long nowUs) {
        transfer.lastRequestUs = nowUs;
        transfer.attempts++;
        return new OutgoingMessage(
                transfer.from,
                new ReplicationMessage.ChunkRequest(
                        id,
                        transfer.crc32c,
                        transfer.received,
                        Math.min(ReplicationMessageCodec.MAX_CHUNK_BYTES, transfer.bytes.length - transfer.received)));
    }

    List<OutgoingMessage> chunkReceived(String from, ReplicationMessage.Chunk chunk, long nowUs) {
        Transfer transfer = transfers.get(chunk.id());
        if (transfer == null
                || transfer.crc32c != chunk.crc32c()
                || transfer.received != chunk.offset()
                || !transfer.from.equals(from)
                || chunk.bytes().length == 0
                || chunk.bytes().length > transfer.bytes.length - transfer.received) {
            return List.of();
        }
        System.arraycopy(chunk.bytes(), 0, transfer.bytes, transfer.received, chunk.bytes().length);
        transfer.received += chunk.bytes().length;
        transfer.attempts = 0;
        if (transfer.received < transfer.bytes.length) {
            return List.of(requestNextChunk(chunk.id(), transfer, nowUs));
        }
        drop(chunk.id());
        List<OutgoingMessage> out = new ArrayList<>();
        if (storeIfValid(chunk.id(), transfer, nowUs)) {
            out.add(new OutgoingMessage(from, new ReplicationMessage.Acknowledgement(chunk.id())));
        }
        out.addAll(startDeferred(nowUs));
        return out;
    }

    /**
     * Verifies a complete transfer and stores its result; a corrupt one is counted, and the sender repeats its offer.
     */
    private boolean storeIfValid(ResultId id, Transfer transfer, long nowUs) {
        try {
            if (CachedResult.crc32c(transfer.bytes) == transfer.crc32c) {
                CachedResult result = CachedResult.decode(transfer.bytes);
                ResultMetadata metadata = result.metadata();
                if (metadata.key().id().equals(id)) {
                    store.put(result, transfer.ageMs + Math.max(0, nowUs - transfer.offeredAtUs) / 1000);
                    return true;
                }
            }
        } catch (CborIn.FaultyMessageException e) {
            // counted below, like a wrong checksum or key
        }
        corruptCount++;
        return false;
    }

    /** The sender does not have the result any more. */
    void notFound(String from, ResultId id) {
        Transfer transfer = transfers.get(id);
        if (transfer != null && transfer.from.equals(from)) {
            drop(id);
        }
    }

    List<OutgoingMessage> tick(long nowUs) {
        List<OutgoingMessage> out = new ArrayList<>();
        for (Iterator<Map.Entry<ResultId, Transfer>> iterator =
                        transfers.entrySet().iterator();
                iterator.hasNext(); ) {
            Map.Entry<ResultId, Transfer> entry = iterator.next();
            Transfer transfer = entry.getValue();
            if (nowUs - transfer.lastRequestUs < settings.responseTimeoutUs()) {
                continue;
            }
            if (transfer.attempts >= settings.maxAttempts()) {
                bytes -= transfer.bytes.length;
                iterator.remove();
            } else {
                out.add(requestNextChunk(entry.getKey(), transfer, nowUs));
            }
        }
        out.addAll(startDeferred(nowUs));
        return out;
    }

    private void drop(ResultId id) {
        Transfer transfer = transfers.remove(id);
        bytes -= transfer == null ? 0 : transfer.bytes.length;
    }

    int size() {
        return transfers.size();
    }

    long bytes() {
        return bytes;
    }

    long corruptCount() {
        return corruptCount;
    }
}
