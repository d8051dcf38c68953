package sandpaddle.fleet.content.replication;

import java.util.List;
import sandpaddle.fleet.link.Links;
import sandpaddle.fleet.link.MessageKind;
import sandpaddle.fleet.wire.CborIn;

/**
 * Sends and receives the messages of {@link ResultReplication} over the links of the fleet. A message that a full queue
 * rejects is sent again as a repetition.
 */
public final class ReplicationLinks {
    private final Links links;
    private final ResultReplication replication;

    /** Connects replication to the links of this gateway. */
    public ReplicationLinks(Links links, ResultReplication replication) {
        this.links = links;
        this.replication = replication;
    }

    /**
     * Handles a payload of {@link MessageKind#CONTENT}.
     *
     * @throws CborIn.FaultyMessageException if the payload is invalid; the caller has to close the link
     */
    public void received(String from, byte[] payload, long nowUs) throws CborIn.FaultyMessageException {
        send(replication.received(from, ReplicationMessageCodec.read(payload), nowUs));
    }

    /** Sends the messages that are due. */
    public void tick(long nowUs) {
        send(replication.tick(nowUs));
    }

    /** Sends messages; returns whether all of them were queued. */
    public boolean send(List<OutgoingMessage> messages) {
        boolean allQueued = true;
        for (OutgoingMessage message : messages) {
            allQueued &=
                    links.send(message.to(), MessageKind.CONTENT, ReplicationMessageCodec.write(message.message()));
        }
        return allQueued;
    }
}
