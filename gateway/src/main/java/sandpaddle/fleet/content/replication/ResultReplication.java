package sandpaddle.fleet.content.replication;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.ToLongFunction;
import sandpaddle.fleet.content.CachedResult;
import sandpaddle.fleet.content.ResultId;

/**
 * Replicates cached results between the gateways of a zone. A gateway offers a result, and a gateway that lacks it
 * requests it chunk by chunk. Offers and requests are repeated, so lost, duplicate and late messages do no harm; a
 * transfer resumes where it stopped. The receiver bounds the bytes in flight, the sender the number of offers. Does no
 * I/O: messages are passed in and returned. Not thread-safe.
 */
public final class ResultReplication {
    private final ReplicaReceiver incoming;
    private final ReplicaSender outgoing;
    private final BiConsumer<String, ReplicationMessage.Demand> demandListener;

    /**
     * Creates the replication of a cache.
     *
     * @param settings bounds and time-outs
     * @param store the cached results of this gateway
     * @param ageMs current age of a result in milliseconds
     * @param demandListener receives the demand that other gateways expect, with the name of the gateway
     */
    public ResultReplication(
            ReplicationSettings settings,
            ReplicaStore store,
            ToLongFunction<CachedResult> ageMs,
            BiConsumer<String, ReplicationMessage.Demand> demandListener) {
        incoming = new ReplicaReceiver(settings, store);
        outgoing = new ReplicaSender(settings, store, ageMs);
        this.demandListener = demandListener;
    }

    /** Queues a result to be offered to a gateway; returns false if the queue is full. */
    public boolean offer(String to, ResultId id) {
        return outgoing.offer(to, id);
    }

    /** Returns the message that requests a result from a gateway. */
    public OutgoingMessage request(String from, ResultId id) {
        return new OutgoingMessage(from, new ReplicationMessage.ResultRequest(id));
    }

    /** A link to a gateway was established. */
    public void connected(String peer) {
        outgoing.setConnected(peer, true);
    }

    /** The link to a gateway was lost; unacknowledged offers are repeated once it is back. */
    public void disconnected(String peer) {
        outgoing.setConnected(peer, false);
    }

    /** A gateway left the zone. A partial transfer from it continues if another gateway offers the same bytes. */
    public void forget(String peer) {
        outgoing.forget(peer);
    }

    /** Handles a message that was received at {@code nowUs}; returns the messages to send. */
    public List<OutgoingMessage> received(String from, ReplicationMessage message, long nowUs) {
        if (message instanceof ReplicationMessage.Offer offer) {
            return incoming.offered(from, offer, nowUs);
        } else if (message instanceof ReplicationMessage.Chunk chunk) {
            return incoming.chunkReceived(from, chunk, nowUs);
        } else if (message instanceof ReplicationMessage.ChunkRequest request) {
            return List.of(new OutgoingMessage(from, outgoing.chunkRequested(from, request, nowUs)));
        } else if (message instanceof ReplicationMessage.ResultRequest request) {
            return List.of(new OutgoingMessage(from, outgoing.resultRequested(request.id())));
        } else if (message instanceof ReplicationMessage.Acknowledgement acknowledgement) {
            outgoing.acknowledged(from, acknowledgement.id());
        } else if (message instanceof ReplicationMessage.NotFound notFound) {
            incoming.notFound(from, notFound.id());
        } else if (message instanceof ReplicationMessage.Demand demand) {
            demandListener.accept(from, demand);
        }
        return List.of();
    }

    /** Returns the offers and repeated messages that are due. Has to be called several times a second. */
    public List<OutgoingMessage> tick(long nowUs) {
        List<OutgoingMessage> out = new ArrayList<>(outgoing.tick(nowUs));
        out.addAll(incoming.tick(nowUs));
        return out;
    }

    /** Returns the number of results that are queued for a gateway or offered to it and not acknowledged. */
    public int pendingCount(String peer) {
        return outgoing.pendingCount(peer);
    }

    /** Returns the bytes allocated for incoming transfers. */
    public long incomingBytes() {
        return incoming.bytes();
    }

    /** Returns the number of complete transfers whose checksum, encoding or key was wrong. */
    public long corruptCount() {
        return incoming.corruptCount();
    }
}
