package sandpaddle.fleet.state.voter;

import java.util.List;
import java.util.Optional;
import java.util.Random;
import sandpaddle.fleet.state.ReplicatedState;
import sandpaddle.fleet.state.admit.JoinRequest;
import sandpaddle.fleet.state.admit.LocalVoterState;
import sandpaddle.fleet.state.machine.FleetMembership;
import sandpaddle.fleet.state.raft.GroupMembers;
import sandpaddle.fleet.state.raft.LeadershipCheck;
import sandpaddle.fleet.state.raft.RaftIncarnation;
import sandpaddle.fleet.state.raft.ReplicatedStateAdapter;
import sandpaddle.fleet.state.raft.StateRestorer;
import sandpaddle.fleet.state.raft.VoterEndpoint;
import sandpaddle.fleet.state.voter.Voter.VoterPhase;
import sandpaddle.fleet.store.RecoveredState;
import sandpaddle.fleet.store.StoreException;
import sandpaddle.fleet.store.VoterStore;

/**
 * The state of a gateway as a voter: its phase, its endpoint, and the Raft incarnation that it runs while it takes
 * part. Owned by {@link Voter}, and not thread-safe either.
 */
final class VoterState {
    private final Voter.VoterSettings settings;
    private final VoterStore store;
    private final LocalVoterState localState;
    private final ReplicatedState machine;
    private final byte[] initialSnapshot;
    private final Voter.VoterCallbacks callbacks;
    private final Random random;
    private final LeadershipCheck leadershipCheck = new LeadershipCheck();
    private final PendingProposals proposals = new PendingProposals();
    private final VoterTransport transport;

    private VoterPhase phase = VoterPhase.FAILED;
    private String lastFailure = "";
    private Optional<VoterEndpoint> self = Optional.empty();
    private Optional<JoinProtocol> joinProtocol = Optional.empty();
    private Optional<RaftIncarnation> incarnation = Optional.empty();
    private Optional<MembershipChanger> changer = Optional.empty();
    private long nowUs;

    VoterState(
            Voter.VoterSettings settings,
            VoterStore store,
            LocalVoterState localState,
            ReplicatedState machine,
            Voter.VoterCallbacks callbacks,
            Random random) {
        this.settings = settings;
        this.store = store;
        this.localState = localState;
        this.machine = machine;
        this.initialSnapshot = machine.snapshot();
        this.callbacks = callbacks;
        this.random = random;
        this.transport = new VoterTransport(this, callbacks);
    }

    /** Reads the store, and requests to take part if it has an endpoint that may vote. */
    void open(long at) {
        nowUs = at;
        if (!store.state().isWritable()) {
            enterFailed(store.state().condition() + ": " + store.state().reason());
            return;
        }
        try {
            RecoveredState recovered = store.recover();
            self = localState.endpoint(recovered);
            Optional<String> disqualification =
                    self.isEmpty() ? Optional.empty() : localState.disqualification(self.get(), recovered);
            if (self.isEmpty()) {
                phase = VoterPhase.IDLE;
            } else if (disqualification.isPresent()) {
                retire(disqualification.get());
            } else {
                requestToJoin(recovered, StateRestorer.members(store, recovered));
            }
            lastFailure = "";
        } catch (StoreException e) {
            fail(e);
        }
    }

    private void requestToJoin(RecoveredState recovered, GroupMembers members) throws StoreException {
        JoinRequest request = localState.beginIncarnation(self.orElseThrow(), recovered, random);
        joinProtocol = Optional.of(new JoinProtocol(
                localState,
                request,
                members,
                endpoint -> numbers(endpoint.name()).retired() >= endpoint.number(),
                nowUs));
        phase = VoterPhase.ASKING;
        startIfAdmitted();
    }

    /** Starts Raft if enough others accepted this incarnation. */
    private void startIfAdmitted() throws StoreException {
        if (phase != VoterPhase.ASKING || !joinProtocol.orElseThrow().isAdmitted(nowUs)) {
            return;
        }
        callbacks.log("takes part in the consensus as " + self.orElseThrow());
        startRaft();
    }

    private void startRaft() throws StoreException {
        VoterEndpoint endpoint = self.orElseThrow();
        machine.install(initialSnapshot); // the snapshot and the log are applied again
        incarnation = Optional.of(new RaftIncarnation(
                new RaftIncarnation.RaftGroup(settings.cluster(), endpoint, settings.raft()),
                store,
                new ReplicatedStateAdapter(machine),
                transport::sendRaft,
                random,
                nowUs));
        changer = Optional.of(new MembershipChanger(endpoint, settings.membership(), transport));
        phase = VoterPhase.VOTING;
        incarnation.get().start();
    }

    /** Handles the end of the Raft incarnation. Returns whether one is running afterwards. */
    boolean isActive() {
        if (incarnation.isEmpty()) {
            return false;
        }
        RaftIncarnation raft = incarnation.get();
        if (raft.needsRestart()) {
            restartRaft(raft);
        } else if (raft.fault().isPresent()) {
            fail(raft.fault().get());
        } else if (raft.startFault().isPresent()) {
            fail(new StoreException(
                    StoreException.Kind.CORRUPT,
                    "Raft cannot start from the stored state: "
                            + raft.startFault().get()));
        } else if (raft.isRemoved()) {
            retire("it was removed from the group");
        }
        return incarnation.isPresent();
    }

    private void restartRaft(RaftIncarnation former) {
        changer.ifPresent(current -> current.end(Optional.empty()));
        former.end();
        proposals.failAll("the Raft node was restarted from its store");
        leadershipCheck.failAll();
        try {
            startRaft();
        } catch (StoreException e) {
            fail(e);
        }
    }

    void fail(StoreException failure) {
        stop("the store failed: " + failure.getMessage());
        enterFailed(failure.kind() + ": " + failure.getMessage());
    }

    /** Enters the phase FAILED; logs a reason only if it differs from the last one, since the disk is probed often. */
    private void enterFailed(String reason) {
        phase = VoterPhase.FAILED;
        if (!reason.equals(lastFailure)) {
            lastFailure = reason;
            callbacks.log("does not vote or acknowledge entries: " + reason);
        }
    }

    void stop(String reason) {
        incarnation.ifPresent(raft -> {
            Optional<String> leader =
                    raft.leader().map(VoterEndpoint::name).filter(name -> !name.equals(settings.name()));
            raft.end();
            changer.ifPresent(current -> current.end(leader));
        });
        incarnation = Optional.empty();
        changer = Optional.empty();
        joinProtocol = Optional.empty();
        proposals.failAll(reason);
        leadershipCheck.failAll();
    }

    /** Marks this endpoint as never voting again: durably, or the voter fails. */
    void retire(String reason) {
        VoterEndpoint old = self.orElseThrow();
        stop(old + " is retired: " + reason);
        phase = VoterPhase.RETIRED;
        callbacks.log(old + " is retired and does not vote until it is invited under a new number: " + reason);
        try {
            localState.retire(old);
        } catch (StoreException e) {
            fail(e);
        }
    }

    /** A leader invites this gateway to vote as {@code endpoint}, among {@code voters}. */
    void onInvited(VoterEndpoint endpoint, List<VoterEndpoint> initialVoters, List<VoterEndpoint> voters)
            throws StoreException {
        if (phase == VoterPhase.FAILED
                || !endpoint.name().equals(settings.name())
                || self.isPresent() && self.get().number() >= endpoint.number()) {
            return;
        }
        stop("this gateway was invited to vote as " + endpoint);
        phase = VoterPhase.IDLE;
        localState.adoptEndpoint(endpoint, initialVoters, store.recover());
        self = Optional.of(endpoint);
        requestToJoin(store.recover(), new GroupMembers(0, voters, voters));
    }

    void onJoinAccepted(VoterEndpoint by) throws StoreException {
        joinProtocol.orElseThrow().acceptedBy(by);
        startIfAdmitted();
    }

    /** Sends the join requests that are due. */
    void step(long at) {
        nowUs = at;
        joinProtocol.ifPresent(protocol -> protocol.endpointsToRequest(nowUs).forEach(transport::sendJoinRequest));
        try {
            startIfAdmitted();
        } catch (StoreException e) {
            fail(e);
        }
    }

    FleetMembership.EndpointNumbers numbers(String name) {
        return ((FleetMembership) settings.membership().state()).numbers(name);
    }

    VoterPhase phase() {
        return phase;
    }

    Optional<VoterEndpoint> self() {
        return self;
    }

    Optional<RaftIncarnation> incarnation() {
        return incarnation;
    }

    Optional<JoinProtocol> joinProtocol() {
        return joinProtocol;
    }

    Optional<MembershipChanger> changer() {
        return changer;
    }

    LeadershipCheck leadershipCheck() {
        return leadershipCheck;
    }

    PendingProposals proposals() {
        return proposals;
    }

    VoterTransport transport() {
        return transport;
    }

    VoterStore store() {
        return store;
    }

    String name() {
        return settings.name();
    }
}
