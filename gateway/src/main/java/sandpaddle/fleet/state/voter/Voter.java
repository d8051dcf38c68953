package sandpaddle.fleet.state.voter;

import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.function.Consumer;
import sandpaddle.fleet.state.Consensus;
import sandpaddle.fleet.state.ReplicatedState;
import sandpaddle.fleet.state.admit.LocalVoterState;
import sandpaddle.fleet.state.machine.StateMachinePart;
import sandpaddle.fleet.state.raft.RaftIncarnation;
import sandpaddle.fleet.state.raft.RaftSettings;
import sandpaddle.fleet.state.raft.ReplicatedStateAdapter;
import sandpaddle.fleet.state.raft.VoterEndpoint;
import sandpaddle.fleet.store.VoterStore;

/**
 * One gateway's participation in the consensus: Raft (Ongaro and Ousterhout, 2014) by MicroRaft on the fleet's store
 * and links. It enforces what Raft assumes: that a voter's disk never loses data. A gateway whose disk is empty,
 * restored or failing does not vote; a failing one votes again once it accepts writes, the others return under a new
 * endpoint number when the leader invites them.
 *
 * <p>Not thread-safe and without a thread or clock: the owning thread passes in messages and monotonic time (us);
 * writes to the store are made in these calls. Cost of a command: one message to and from each voter, one flush on
 * each. Bounds: 512 pending proposals, snapshots of 16 MiB.
 */
public final class Voter implements Consensus {
    /** The role of this gateway in the group; logs show the names. */
    public enum VoterPhase {
        /** Its store is empty: it does not vote until it is invited. */
        IDLE,
        /** Its store fails: it neither votes nor acknowledges until the store accepts writes again. */
        FAILED,
        /** It sends join requests to the other voters, which check whether its disk lost data. */
        ASKING,
        /** It takes part, as a voter or as a learner that will become one. */
        VOTING,
        /** Its endpoint is retired; it waits for the leader to invite it under a new number. */
        RETIRED
    }

    /** Sends messages and writes log lines. */
    public interface VoterCallbacks {
        /** Sends a message to a gateway; it may be lost. */
        void send(String to, byte[] message);

        /** Logs a line; at most a few for each event. */
        void log(String message);
    }

    /**
     * Settings of a voter.
     *
     * @param cluster name of the fleet
     * @param name name of this gateway
     * @param raft settings of Raft
     * @param membership the part of the state machine that issues endpoint numbers
     */
    public record VoterSettings(String cluster, String name, RaftSettings raft, StateMachinePart membership) {}

    private static final long PROBE_INTERVAL_US = 100_000;

    private final VoterState voterState;
    private boolean wasLeader;
    private long nowUs;
    private long nextProbeAtUs;
    private long membersIndex = -1; // log index of the members that were processed last
    private long highestTerm;

    /**
     * Opens the voter, which requests to take part if its store has an endpoint.
     *
     * @param settings settings of the voter
     * @param store the open store
     * @param machine the state machine in its initial state; only this voter may change it from now on
     * @param callbacks sends messages and writes log lines
     * @param random draws incarnations and election timeouts
     * @param now monotonic time (us)
     */
    public Voter(
            VoterSettings settings,
            VoterStore store,
            ReplicatedState machine,
            VoterCallbacks callbacks,
            Random random,
            long now) {
        this(
                settings,
                store,
                new LocalVoterState(store, settings.cluster(), settings.name()),
                machine,
                callbacks,
                random,
                now);
    }

    /**
     * As the other constructor, with another local state.
     *
     * @param settings settings of the voter
     * @param store the open store
     * @param localState the stored state besides Raft's; a test shows by another one what happens without it
     * @param machine the state machine in its initial state; only this voter may change it from now on
     * @param callbacks sends messages and writes log lines
     * @param random draws incarnations and election timeouts
     * @param now monotonic time (us)
     */
    public Voter(
            VoterSettings settings,
            VoterStore store,
            LocalVoterState localState,
            ReplicatedState machine,
            VoterCallbacks callbacks,
            Random random,
            long now) {
        this.nowUs = now;
        this.voterState = new VoterState(settings, store, localState, machine, callbacks, random);
        voterState.open(now);
    }

    /** Runs the tasks that are due at {@code atUs}. */
    public void step(long atUs) {
        nowUs = Math.max(nowUs, atUs);
        if (nowUs >= nextProbeAtUs) {
            nextProbeAtUs = nowUs + PROBE_INTERVAL_US;
            if (voterState.store().probe(nowUs).isWritable() && voterState.phase() == VoterPhase.FAILED) {
                voterState.open(nowUs);
            }
        }
        voterState.step(nowUs);
        voterState.incarnation().ifPresent(raft -> raft.run(nowUs));
        applyChanges();
    }

    /**
     * Receives a message of a peer.
     *
     * @param from name of the gateway at the other end of the link
     * @param message the encoded message
     * @param atUs monotonic time (us)
     */
    public void receive(String from, byte[] message, long atUs) {
        nowUs = Math.max(nowUs, atUs);
        voterState.transport().receive(from, message, nowUs);
        applyChanges();
    }

    /** Processes the changes of a step: members, leadership, the end of the incarnation. */
    private void applyChanges() {
        if (!voterState.isActive()) {
            wasLeader = false;
            membersIndex = -1;
            return;
        }
        RaftIncarnation incarnation = voterState.incarnation().orElseThrow();
        highestTerm = Math.max(highestTerm, incarnation.term());
        if (incarnation.effectiveMembersIndex() != membersIndex) {
            membersIndex = incarnation.effectiveMembersIndex();
            voterState.joinProtocol().orElseThrow().updateMembers(incarnation.effectiveMembers());
        }
        MembershipChanger changer = voterState.changer().orElseThrow();
        if (incarnation.isLeader()) {
            changer.step(incarnation, nowUs);
            incarnation.run(nowUs);
        } else if (wasLeader) {
            changer.end(leader());
        }
        wasLeader = incarnation.isLeader();
    }

    /** When to call {@link #step} again (us). */
    public long nextRunAtUs() {
        long next = Math.min(
                nextProbeAtUs,
                voterState.joinProtocol().map(JoinProtocol::nextRunAtUs).orElse(Long.MAX_VALUE));
        return Math.min(
                next, voterState.incarnation().map(RaftIncarnation::nextRunAtUs).orElse(Long.MAX_VALUE));
    }

    /** Stops taking part; the store is not closed. */
    public void close() {
        voterState.stop("this gateway shuts down");
    }

    /** The role of this gateway in the group. */
    public VoterPhase phase() {
        return voterState.phase();
    }

    /** The endpoint of this gateway, or its last one. */
    public Optional<VoterEndpoint> endpoint() {
        return voterState.self();
    }

    /** The committed members, including learners; empty if this gateway does not take part. */
    public List<VoterEndpoint> members() {
        return voterState
                .incarnation()
                .map(raft -> raft.committedMembers().all())
                .orElse(List.of());
    }

    /** Number of messages that were dropped as malformed. */
    public long malformedCount() {
        return voterState.transport().malformedCount();
    }

    Optional<RaftIncarnation> incarnation() {
        return voterState.incarnation();
    }

    /** For the log: phase, endpoint, term, and the members as committed. */
    @Override
    public String toString() {
        return phase() + " " + endpoint().map(VoterEndpoint::toString).orElse("") + " term " + highestTerm + " leader "
                + leader().orElse("none")
                + incarnation()
                        .map(raft -> " committed " + raft.committedMembers() + " newest " + raft.effectiveMembers())
                        .orElse("")
                + voterState.joinProtocol().map(protocol -> " " + protocol).orElse("");
    }

    @Override
    public void propose(byte[] command, Consumer<ProposalOutcome> outcome) {
        if (command.length > ReplicatedStateAdapter.MAX_COMMAND_BYTES) {
            throw new IllegalArgumentException("command has " + command.length + " bytes; at most "
                    + ReplicatedStateAdapter.MAX_COMMAND_BYTES + " are allowed");
        }
        if (!isLeader()) {
            outcome.accept(new ProposalOutcome.NotLeader(leader()));
            return;
        }
        voterState.proposals().propose(voterState.incarnation().orElseThrow(), command, outcome);
    }

    @Override
    public void confirmLeadership(Consumer<Boolean> leads) {
        if (voterState.incarnation().isEmpty()) {
            leads.accept(false);
            return;
        }
        voterState.leadershipCheck().confirm(voterState.incarnation().get(), leads);
    }

    @Override
    public boolean isLeader() {
        return voterState.incarnation().map(RaftIncarnation::isLeader).orElse(false);
    }

    @Override
    public long term() {
        return highestTerm;
    }

    @Override
    public Optional<String> leader() {
        return voterState.incarnation().flatMap(RaftIncarnation::leader).map(VoterEndpoint::name);
    }

    @Override
    public List<String> voters() {
        return voterState
                .incarnation()
                .map(raft -> raft.committedMembers().voting().stream()
                        .map(VoterEndpoint::name)
                        .distinct()
                        .toList())
                .orElse(List.of());
    }

    @Override
    public void changeVoters(List<String> names, Consumer<ProposalOutcome> outcome) {
        if (!isLeader()) {
            outcome.accept(new ProposalOutcome.NotLeader(leader()));
            return;
        }
        voterState.changer().orElseThrow().change(names, nowUs, outcome);
    }
}
