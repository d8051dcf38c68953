package sandpaddle.fleet.content.replication;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.ToLongFunction;
import sandpaddle.fleet.content.ContentId;
import sandpaddle.fleet.content.StoredAnswer;

/**
 * Replicates stored answers between the gateways of a zone: the holder offers an answer, whoever lacks it requests it
 * part by part. Lost, repeated and late messages are repaired by offering and requesting again; a transfer resumes
 * where it stopped. The receiver bounds what is in flight, the sender what is offered. No I/O of its own: messages come
 * in and go out.
 */
public final class AnswerReplication {
    private final ReplicaReceiver incoming;
    private final ReplicaSender outgoing;
    private final BiConsumer<String, ReplicationMessage.Want> wants;

    /** {@code age}: how old (ms) an answer is now; {@code wants}: hears what a neighbour expects to be asked. */
    public AnswerReplication(
            ReplicationSettings settings,
            ReplicaStore store,
            ToLongFunction<StoredAnswer> age,
            BiConsumer<String, ReplicationMessage.Want> wants) {
        incoming = new ReplicaReceiver(settings, store);
        outgoing = new ReplicaSender(settings, store, age);
        this.wants = wants;
    }

    /** Puts a copy in line for a neighbour; false where the line is full. */
    public boolean offer(String to, ContentId id) {
        return outgoing.offer(to, id);
    }

    /** Asks a neighbour for an answer. */
    public OutgoingMessage ask(String of, ContentId id) {
        return new OutgoingMessage(of, new ReplicationMessage.Ask(id));
    }

    public void up(String peer) {
        outgoing.up(peer, true);
    }

    public void down(String peer) {
        outgoing.up(peer, false);
    }

    /** A gateway that is of the zone no more; what came of its copies may be finished by another. */
    public void forget(String peer) {
        outgoing.forget(peer);
    }

    /** Hears a message; what is to be sent for it. */
    public List<OutgoingMessage> received(String from, ReplicationMessage message, long now) {
        if (message instanceof ReplicationMessage.Offer o) {
            return incoming.offered(from, o, now);
        } else if (message instanceof ReplicationMessage.Chunk c) {
            return incoming.chunk(from, c, now);
        } else if (message instanceof ReplicationMessage.Need n) {
            return List.of(new OutgoingMessage(from, outgoing.needed(from, n, now)));
        } else if (message instanceof ReplicationMessage.Ask a) {
            return List.of(new OutgoingMessage(from, outgoing.asked(a.id())));
        } else if (message instanceof ReplicationMessage.Have h) {
            outgoing.had(from, h.id());
        } else if (message instanceof ReplicationMessage.Not n) {
            incoming.gone(from, n.id());
        } else if (message instanceof ReplicationMessage.Want w) {
            wants.accept(from, w);
        }
        return List.of();
    }

    /** What is to be sent as time passes: first offers and repeats. Call it several times a second. */
    public List<OutgoingMessage> tick(long now) {
        List<OutgoingMessage> out = new ArrayList<>(outgoing.tick(now));
        out.addAll(incoming.tick(now));
        return out;
    }

    /** Copies in line for a neighbour, or offered and not yet there. */
    public int open(String peer) {
        return outgoing.open(peer);
    }

    /** Bytes set aside for copies that come in. */
    public long incomingBytes() {
        return incoming.bytes();
    }

    /** Copies that came whole and were not what they said. */
    public long broken() {
        return incoming.broken();
    }
}
