package sandpaddle.fleet.state.voter;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import sandpaddle.fleet.state.admit.JoinRequest;
import sandpaddle.fleet.state.admit.PeerIncarnations;
import sandpaddle.fleet.state.machine.FleetMembership;
import sandpaddle.fleet.state.raft.GroupMembers;
import sandpaddle.fleet.state.raft.RaftIncarnation;
import sandpaddle.fleet.state.raft.StateRestorer;
import sandpaddle.fleet.state.raft.VoterEndpoint;
import sandpaddle.fleet.store.StoreException;
import sandpaddle.fleet.wire.CborIn;
import sandpaddle.fleet.wire.CborIn.FaultyMessageException;
import sandpaddle.fleet.wire.CborOut;

/**
 * Receives and sends the consensus messages of this gateway: only messages of accepted incarnations are delivered to
 * Raft. Owned by {@link VoterState}.
 */
final class VoterTransport implements MembershipChanger.Callbacks {
    private static final int MAX_REASON_BYTES = 500;
    private static final int MAX_MEMBERS = 16;
    /** Number of malformed messages that are each logged; after that only every thousandth is. */
    private static final int MAX_LOGGED_EACH = 10;

    private final VoterState voter;
    private final Voter.VoterCallbacks callbacks;
    private long malformedCount;

    VoterTransport(VoterState voter, Voter.VoterCallbacks callbacks) {
        this.voter = voter;
        this.callbacks = callbacks;
    }

    long malformedCount() {
        return malformedCount;
    }

    void receive(String from, byte[] message, long now) {
        try {
            CborIn in = new CborIn(message);
            dispatch(VoterEnvelope.read(from, in), from, in, now);
        } catch (FaultyMessageException e) {
            if (malformedCount++ < MAX_LOGGED_EACH || malformedCount % 1000 == 0) {
                callbacks.log("dropped a malformed consensus message from " + from + ": " + e.getMessage() + " ("
                        + malformedCount + " so far)");
            }
        } catch (StoreException e) {
            voter.fail(e);
        }
    }

    private void dispatch(VoterEnvelope envelope, String from, CborIn in, long now)
            throws FaultyMessageException, StoreException {
        switch (envelope.type()) {
            case RAFT -> onRaftMessage(envelope, from, in, now);
            case JOIN_REQUEST -> onJoinRequest(envelope, in);
            case JOIN_ACCEPTED -> onJoinAccepted(envelope, in);
            case JOIN_REFUSED -> onJoinRefused(envelope, in);
            case INVITE -> onInvitation(envelope, in);
            default -> voter.changer().ifPresent(changer -> onUnknownEndpoint(changer, envelope, from));
        }
    }

    private static void onUnknownEndpoint(MembershipChanger changer, VoterEnvelope envelope, String from) {
        if (envelope.to().name().equals(from)) {
            changer.onEndpointAbandoned(envelope.to());
        }
    }

    private void onRaftMessage(VoterEnvelope envelope, String from, CborIn in, long now)
            throws FaultyMessageException, StoreException {
        if (isForFormerEndpoint(envelope.to())) {
            send(
                    from,
                    new VoterEnvelope(
                                    VoterEnvelope.VoterMessageType.UNKNOWN_ENDPOINT, Optional.empty(), 0, envelope.to())
                            .startMessage());
            return;
        }
        if (voter.incarnation().isEmpty()
                || !voter.joinProtocol().orElseThrow().admits(envelope.from().orElseThrow(), envelope.incarnation())) {
            return; // the sender will send a join request again, or was refused
        }
        RaftIncarnation.SenderProgress progress =
                voter.incarnation().get().receive(envelope.from().get(), in, now);
        voter.joinProtocol().orElseThrow().recordProgress(envelope.from().get(), progress);
    }

    /** Whether this gateway certainly no longer has that endpoint; unknown while its store fails. */
    private boolean isForFormerEndpoint(VoterEndpoint to) {
        if (voter.phase() == Voter.VoterPhase.FAILED || !to.name().equals(voter.name())) {
            return false;
        }
        return voter.phase() == Voter.VoterPhase.IDLE
                || voter.phase() == Voter.VoterPhase.RETIRED
                || !voter.self().equals(Optional.of(to));
    }

    private void onJoinRequest(VoterEnvelope envelope, CborIn in) throws FaultyMessageException, StoreException {
        VoterEndpoint endpoint = envelope.from().orElseThrow();
        JoinRequest request = JoinRequest.read(endpoint, envelope.incarnation(), in);
        in.end();
        if (voter.joinProtocol().isEmpty() || !envelope.to().name().equals(voter.name())) {
            return; // a gateway that does not take part has no records of peers to check against
        }
        Optional<PeerIncarnations.JoinRefusal> refusal =
                voter.joinProtocol().get().check(request);
        if (refusal.isPresent()) {
            callbacks.log("refuses the join request of " + endpoint + ": "
                    + refusal.get().reason());
            send(
                    endpoint.name(),
                    envelopeTo(VoterEnvelope.VoterMessageType.JOIN_REFUSED, endpoint)
                            .startMessage()
                            .number(envelope.incarnation())
                            .text(refusal.get().reason())
                            .number(refusal.get().highestNumber()));
            return;
        }
        long index =
                voter.incarnation().map(raft -> raft.effectiveMembers().index()).orElse(0L);
        List<VoterEndpoint> members = voter.incarnation()
                .map(raft -> raft.effectiveMembers().voting())
                .orElse(List.of());
        send(
                endpoint.name(),
                envelopeTo(VoterEnvelope.VoterMessageType.JOIN_ACCEPTED, endpoint)
                        .startMessage()
                        .number(envelope.incarnation())
                        .number(index)
                        .list(members, (item, member) -> item.text(member.toString())));
    }

    private VoterEnvelope envelopeTo(VoterEnvelope.VoterMessageType type, VoterEndpoint to) {
        long incarnation = voter.joinProtocol()
                .map(protocol -> protocol.request().incarnation())
                .orElse(0L);
        return new VoterEnvelope(type, voter.self(), incarnation, to);
    }

    private boolean answersOwnRequest(VoterEnvelope envelope, long incarnation) {
        return voter.joinProtocol().isPresent()
                && voter.self().equals(Optional.of(envelope.to()))
                && voter.joinProtocol().get().request().incarnation() == incarnation;
    }

    private void onJoinAccepted(VoterEnvelope envelope, CborIn in) throws FaultyMessageException, StoreException {
        long incarnation = in.number(Long.MIN_VALUE, Long.MAX_VALUE);
        long index = in.number(0, Long.MAX_VALUE);
        List<VoterEndpoint> members = members(in);
        in.end();
        if (answersOwnRequest(envelope, incarnation)) {
            voter.joinProtocol().get().updateMembers(new GroupMembers(members.isEmpty() ? 0 : index, members, members));
            voter.onJoinAccepted(envelope.from().orElseThrow());
        }
    }

    private static List<VoterEndpoint> members(CborIn in) throws FaultyMessageException {
        return in.list(MAX_MEMBERS, VoterEndpoint::read);
    }

    private void onJoinRefused(VoterEnvelope envelope, CborIn in) throws FaultyMessageException {
        long incarnation = in.number(Long.MIN_VALUE, Long.MAX_VALUE);
        String reason = in.text(MAX_REASON_BYTES);
        in.number(0, VoterEndpoint.MAX_NUMBER);
        in.end();
        if (answersOwnRequest(envelope, incarnation)) {
            voter.retire("refused by " + envelope.from().orElseThrow() + ": " + reason);
        }
    }

    private void onInvitation(VoterEnvelope envelope, CborIn in) throws FaultyMessageException, StoreException {
        List<VoterEndpoint> initialVoters = members(in);
        List<VoterEndpoint> voters = members(in);
        in.end();
        if (initialVoters.isEmpty() || voters.isEmpty()) {
            throw in.wrong("ends an invitation without voters");
        }
        voter.onInvited(envelope.to(), initialVoters, voters);
    }

    private void send(String to, CborOut message) {
        callbacks.send(to, message.done());
    }

    /** Sends a Raft message; {@code message} appends it to the envelope. */
    void sendRaft(VoterEndpoint to, Consumer<CborOut> message) {
        CborOut out = envelopeTo(VoterEnvelope.VoterMessageType.RAFT, to).startMessage();
        message.accept(out);
        send(to.name(), out);
    }

    void sendJoinRequest(VoterEndpoint endpoint) {
        CborOut out = envelopeTo(VoterEnvelope.VoterMessageType.JOIN_REQUEST, endpoint)
                .startMessage();
        voter.joinProtocol().orElseThrow().request().write(out);
        send(endpoint.name(), out);
    }

    @Override
    public void invite(VoterEndpoint endpoint, List<VoterEndpoint> voters) {
        try {
            CborOut out = envelopeTo(VoterEnvelope.VoterMessageType.INVITE, endpoint)
                    .startMessage()
                    .list(StateRestorer.initialVoters(voter.store()), (item, member) -> item.text(member.toString()))
                    .list(voters, (item, member) -> item.text(member.toString()));
            callbacks.log("invites " + endpoint + " to vote");
            send(endpoint.name(), out);
        } catch (StoreException e) {
            voter.fail(e);
        }
    }

    @Override
    public boolean hasAccepted(VoterEndpoint endpoint) {
        return voter.joinProtocol()
                .map(protocol -> protocol.hasAccepted(endpoint))
                .orElse(false);
    }

    @Override
    public FleetMembership.EndpointNumbers numbers(String name) {
        return voter.numbers(name);
    }

    @Override
    public void log(String message) {
        callbacks.log(message);
    }
}
