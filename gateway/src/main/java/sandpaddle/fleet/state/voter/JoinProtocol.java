package sandpaddle.fleet.state.voter;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import sandpaddle.fleet.state.admit.JoinRequest;
import sandpaddle.fleet.state.admit.LocalVoterState;
import sandpaddle.fleet.state.admit.PeerIncarnations;
import sandpaddle.fleet.state.raft.GroupMembers;
import sandpaddle.fleet.state.raft.RaftIncarnation;
import sandpaddle.fleet.state.raft.VoterEndpoint;
import sandpaddle.fleet.store.StoreException;

/**
 * Sends join requests to the other voters after an opening of the store, and answers their requests. A voter takes part
 * once it and those that accepted it are a majority, which Raft needs anyway; so the requests do not reduce
 * availability. It continues to send requests to the others, since each delivers its messages to Raft only after having
 * accepted it. Owned by {@link VoterState}.
 */
final class JoinProtocol {
    private static final long REQUEST_INTERVAL_US = 500_000;
    /** Max time to wait for responses of voters that are slower than a majority (us). */
    private static final long MAX_SLOW_PEER_WAIT_US = 1_200_000;

    private final LocalVoterState localState;
    private final PeerIncarnations peerIncarnations;
    private final JoinRequest request;
    private final Predicate<VoterEndpoint> retired;
    private final Set<VoterEndpoint> accepted = new LinkedHashSet<>();
    private List<VoterEndpoint> others;
    private long othersIndex; // log index of the members that "others" was derived from
    private final long startedAtUs;
    private long nextRequestAtUs;

    JoinProtocol(
            LocalVoterState localState,
            JoinRequest request,
            GroupMembers members,
            Predicate<VoterEndpoint> retired,
            long nowUs)
            throws StoreException {
        this.startedAtUs = nowUs;
        this.localState = localState;
        this.peerIncarnations = localState.peerIncarnations();
        this.request = request;
        this.retired = retired;
        this.others = withoutSelf(members.voting());
        this.othersIndex = members.index();
    }

    private List<VoterEndpoint> withoutSelf(List<VoterEndpoint> members) {
        List<VoterEndpoint> rest = new ArrayList<>(members);
        rest.remove(request.endpoint());
        return rest;
    }

    JoinRequest request() {
        return request;
    }

    /** Updates the members, including learners, if {@code members} are newer. */
    void updateMembers(GroupMembers members) {
        if (members.index() > othersIndex) {
            othersIndex = members.index();
            others = withoutSelf(members.all());
        }
    }

    /** The endpoints to send a request to now. */
    List<VoterEndpoint> endpointsToRequest(long nowUs) {
        if (nowUs < nextRequestAtUs) {
            return List.of();
        }
        nextRequestAtUs = nowUs + REQUEST_INTERVAL_US;
        return others.stream().filter(endpoint -> !accepted.contains(endpoint)).toList();
    }

    long nextRunAtUs() {
        return nextRequestAtUs;
    }

    void acceptedBy(VoterEndpoint endpoint) {
        if (others.contains(endpoint)) {
            accepted.add(endpoint);
        }
    }

    /**
     * Whether this voter and those that accepted it are a majority, and the others had time to respond: one of them may
     * know a newer incarnation or a longer log, and refuse.
     */
    boolean isAdmitted(long nowUs) {
        long acceptances = others.stream().filter(accepted::contains).count();
        return acceptances == others.size()
                || acceptances >= (others.size() + 1) / 2 && nowUs - startedAtUs >= MAX_SLOW_PEER_WAIT_US;
    }

    /** Checks the request of another voter; an acceptance is durable when this returns. */
    Optional<PeerIncarnations.JoinRefusal> check(JoinRequest request) throws StoreException {
        if (retired.test(request.endpoint())) {
            return Optional.of(new PeerIncarnations.JoinRefusal(
                    "the fleet has taken it out of use", request.endpoint().number()));
        }
        boolean alreadyAccepted = peerIncarnations.admits(request.endpoint(), request.incarnation());
        Optional<PeerIncarnations.JoinRefusal> refusal = peerIncarnations.check(request);
        if (refusal.isEmpty() && !alreadyAccepted) {
            localState.savePeerIncarnations(peerIncarnations);
            accepted.remove(request.endpoint()); // its disk may have lost that it accepted this voter
            nextRequestAtUs = 0;
        }
        return refusal;
    }

    boolean admits(VoterEndpoint endpoint, long incarnation) {
        return peerIncarnations.admits(endpoint, incarnation);
    }

    @Override
    public String toString() {
        return "accepted by " + accepted + " of " + others;
    }

    boolean hasAccepted(VoterEndpoint endpoint) {
        return peerIncarnations.hasAccepted(endpoint);
    }

    /** Records the progress of an accepted voter. */
    void recordProgress(VoterEndpoint endpoint, RaftIncarnation.SenderProgress progress) throws StoreException {
        if (peerIncarnations.recordProgress(endpoint, progress.term(), progress.index())) {
            localState.savePeerIncarnations(peerIncarnations);
        }
    }
}
