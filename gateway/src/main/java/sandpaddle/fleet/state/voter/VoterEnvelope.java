package sandpaddle.fleet.state.voter;

import java.util.Optional;
import sandpaddle.fleet.state.admit.JoinRequest;
import sandpaddle.fleet.state.raft.VoterEndpoint;
import sandpaddle.fleet.wire.CborIn;
import sandpaddle.fleet.wire.CborIn.FaultyMessageException;
import sandpaddle.fleet.wire.CborOut;

/**
 * The envelope of each message between voters. It names endpoints and the incarnation, so that a message to a former
 * endpoint of this gateway, or from a former incarnation of a peer, is never mistaken for a current one.
 *
 * @param type the type of the message
 * @param from endpoint of the sender; empty only for {@link VoterMessageType#UNKNOWN_ENDPOINT}
 * @param incarnation incarnation of the sender
 * @param to endpoint of the receiver
 */
record VoterEnvelope(VoterMessageType type, Optional<VoterEndpoint> from, long incarnation, VoterEndpoint to) {
    /** Incremented with any change of the format; the handshake of links refuses another version before. */
    static final int VERSION = 1;

    /** The type of a message; its ordinal is its number on the wire. */
    enum VoterMessageType {
        /** A message of Raft. */
        RAFT,
        /** A {@link JoinRequest}. */
        JOIN_REQUEST,
        /** Accepts a join request: its incarnation, and the members as the sender knows them. */
        JOIN_ACCEPTED,
        /** Refuses a join request: its incarnation, the reason, and the highest known number of the name. */
        JOIN_REFUSED,
        /** A leader invites this gateway to vote: the group's initial voters, and the current ones. */
        INVITE,
        /** The receiver of a message no longer has the endpoint that it was sent to. */
        UNKNOWN_ENDPOINT
    }

    /** Begins a message with this envelope. */
    CborOut startMessage() {
        return new CborOut()
                .number(VERSION)
                .number(type.ordinal())
                .text(from.map(VoterEndpoint::toString).orElse(""))
                .number(incarnation)
                .text(to.toString());
    }

    /** Reads an envelope, and checks that its sender is the gateway at the other end of the link. */
    static VoterEnvelope read(String sender, CborIn in) throws FaultyMessageException {
        in.number(VERSION, VERSION);
        VoterMessageType type = VoterMessageType.values()[(int) in.number(0, VoterMessageType.values().length - 1)];
        Optional<VoterEndpoint> from = endpoint(in);
        if (from.isPresent() && !from.get().name().equals(sender)) {
            throw in.wrong("names the sender " + from.get() + ", but was received from " + sender);
        }
        if (from.isEmpty() && type != VoterMessageType.UNKNOWN_ENDPOINT) {
            throw in.wrong("names no sender");
        }
        long incarnation = in.number(Long.MIN_VALUE, Long.MAX_VALUE);
        return new VoterEnvelope(
                type, from, incarnation, endpoint(in).orElseThrow(() -> in.wrong("names no receiver")));
    }

    private static Optional<VoterEndpoint> endpoint(CborIn in) throws FaultyMessageException {
        String id = in.text(VoterEndpoint.MAX_NAME_BYTES + 8);
        try {
            return id.isEmpty() ? Optional.empty() : Optional.of(VoterEndpoint.parse(id));
        } catch (IllegalArgumentException e) {
            throw in.wrong("is not an endpoint: " + e.getMessage());
        }
    }
}
