package sandpaddle.fleet.state.raft;

import io.microraft.MembershipChangeMode;
import io.microraft.Ordered;
import io.microraft.QueryPolicy;
import io.microraft.RaftEndpoint;
import io.microraft.RaftNode;
import io.microraft.RaftNodeStatus;
import io.microraft.model.message.AppendEntriesFailureResponse;
import io.microraft.model.message.AppendEntriesRequest;
import io.microraft.model.message.RaftMessage;
import io.microraft.report.RaftGroupMembers;
import io.microraft.report.RaftLogStats;
import io.microraft.report.RaftNodeReport;
import io.microraft.transport.Transport;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import sandpaddle.fleet.store.RecoveredState;
import sandpaddle.fleet.store.StoreException;
import sandpaddle.fleet.store.VoterStore;
import sandpaddle.fleet.wire.CborIn;
import sandpaddle.fleet.wire.CborIn.FaultyMessageException;
import sandpaddle.fleet.wire.CborOut;

/**
 * One incarnation of a MicroRaft node: from restoring a store's content until the first failed write, or until it is
 * ended. It works around six faults of MicroRaft 0.7:
 *
 * <ul>
 *   <li>It continues after a failed write: an incarnation sends nothing after one.
 *   <li>It counts responses of earlier terms in the current one, and so entries that were truncated since: those
 *       responses are dropped.
 *   <li>Followers do not know which entries their snapshots cover: {@link SnapshotRepair}.
 *   <li>A node whose term is behind may stay behind: {@link TermCatchUp}.
 *   <li>A query that joins a running round gets the round's older responses: {@link LeadershipCheck}.
 *   <li>A node that requested pre-votes and then received a message from a leader of the same term never replaces that
 *       leader: such an incarnation is restarted from its store once the leader has been silent for the timeout.
 * </ul>
 *
 * <p>Not thread-safe: owned by the consensus thread, which passes in messages and time.
 */
public final class RaftIncarnation implements Transport {
    /** Sends messages to peers. */
    public interface Sender {
        /**
         * Sends a message; it may be lost.
         *
         * @param to the receiver
         * @param message appends the message to its envelope
         */
        void send(VoterEndpoint to, Consumer<CborOut> message);
    }

    private static final long US_PER_S = 1_000_000L;

    private final Sender sender;
    private final String group;
    private final DurableLog log;
    private final CallerThreadExecutor executor;
    private final RaftNode node;
    private final long leaderTimeoutUs; // MicroRaft starts an election earlier, if it notices the silence at all
    private long lastLeaderMessageAtUs; // time of the last message of the current term's leader
    private boolean ended;
    private boolean needsRestart;
    // index up to which this follower's log is known to match while a message is handled; -1 otherwise
    private long matchedThrough = -1;
    private Optional<Throwable> startFault = Optional.empty();

    /**
     * The Raft group of this node.
     *
     * @param name name of the group
     * @param self the endpoint of this node
     * @param settings timeouts and sizes
     */
    public record RaftGroup(String name, VoterEndpoint self, RaftSettings settings) {}

    /**
     * Restores the content of the store; {@link #start} starts the node.
     *
     * @param group the Raft group of this node
     * @param store the open store
     * @param commands applies committed commands
     * @param sender sends messages to peers
     * @param random randomizes election timeouts
     * @param nowUs monotonic time (us)
     * @throws StoreException if the content cannot be read as a voter's state
     */
    public RaftIncarnation(
            RaftGroup group,
            VoterStore store,
            ReplicatedStateAdapter commands,
            Sender sender,
            Random random,
            long nowUs)
            throws StoreException {
        RaftSettings settings = group.settings();
        RecoveredState recovered = store.recover();
        this.group = group.name();
        this.sender = sender;
        this.log = new DurableLog(store, recovered.entries());
        this.executor = new CallerThreadExecutor(nowUs);
        this.lastLeaderMessageAtUs = nowUs;
        this.leaderTimeoutUs = (settings.leaderTimeoutS() + settings.heartbeatS()) * US_PER_S;
        this.node = RaftNode.newBuilder()
                .setGroupId(group.name())
                .setRestoredState(StateRestorer.restore(store, recovered, group.self()))
                .setConfig(settings.toRaftConfig())
                .setExecutor(executor)
                .setTransport(this)
                .setStateMachine(commands)
                .setStore(log)
                .setModelFactory(RaftCodec.MODEL)
                .setRandom(random)
                .setClock(executor.clock())
                .build();
    }

    /** Starts the node; a failure is reported by {@link #startFault}. */
    public void start() {
        node.start().whenComplete((started, failure) -> startFault = Optional.ofNullable(failure));
    }

    /** Why the node could not start from the store; empty if it could. */
    public Optional<Throwable> startFault() {
        return startFault;
    }

    /** Runs the tasks that are due at {@code nowUs}. */
    public void run(long nowUs) {
        if (!hasEnded()) {
            executor.run(nowUs);
            needsRestart |= leader().isPresent()
                    && !isLeader()
                    && !isLearner()
                    && nowUs - lastLeaderMessageAtUs > leaderTimeoutUs;
        }
    }

    /** When to call {@link #run} again (us). */
    public long nextRunAtUs() {
        return hasEnded() ? Long.MAX_VALUE : executor.nextRunAtUs();
    }

    /** Ends the incarnation: nothing more is sent; pending proposals and queries fail. */
    public void end() {
        if (!ended) {
            ended = true;
            node.terminate();
            executor.run(0); // completes pending futures; nothing is sent or written any more
        }
    }

    /** The failed write that ended the incarnation. */
    public Optional<StoreException> fault() {
        return log.fault();
    }

    /** Whether the incarnation has ended by {@link #end}, a failed write, or the removal of this endpoint. */
    public boolean hasEnded() {
        return ended || needsRestart || log.fault().isPresent() || RaftNodeStatus.isTerminal(node.getStatus());
    }

    /** Whether the group removed this endpoint. */
    public boolean isRemoved() {
        return !ended
                && !needsRestart
                && startFault.isEmpty()
                && log.fault().isEmpty()
                && RaftNodeStatus.isTerminal(node.getStatus());
    }

    @Override
    public void send(RaftEndpoint to, RaftMessage message) {
        if (ended || needsRestart || log.fault().isPresent()) {
            return;
        }
        RaftMessage outgoing = matchedThrough >= 0
                        && message instanceof AppendEntriesFailureResponse failure
                        && failure.getTerm() == term()
                ? RaftMessages.asSuccess(failure, matchedThrough)
                : message;
        sender.send((VoterEndpoint) to, out -> RaftMessageWriter.write(out, outgoing));
    }

    @Override
    public boolean isReachable(RaftEndpoint endpoint) {
        return true; // unknown; MicroRaft uses it to choose a peer for snapshots
    }

    /**
     * The progress of a message's sender.
     *
     * @param term its term; 0 if unknown
     * @param index index up to which its log is durable; 0 if unknown
     */
    public record SenderProgress(int term, long index) {}

    /**
     * Receives a message of a peer.
     *
     * @param from the sender
     * @param in the encoded message
     * @param nowUs monotonic time (us)
     * @return the progress of the sender
     * @throws FaultyMessageException if the message is malformed
     */
    public SenderProgress receive(VoterEndpoint from, CborIn in, long nowUs) throws FaultyMessageException {
        RaftMessage message = RaftMessageReader.read(group, from, in);
        SenderProgress progress = RaftMessages.progressOf(message);
        if (hasEnded()) {
            return progress;
        }
        executor.run(nowUs); // so that the term compared below is the one that the message is handled in
        if (!RaftMessages.isResponse(message) || message.getTerm() >= term()) {
            deliver(message);
        }
        if (message.getTerm() == term() && RaftMessages.isFromLeader(message)) {
            lastLeaderMessageAtUs = nowUs;
        }
        executor.run(nowUs);
        return progress;
    }

    private void deliver(RaftMessage message) {
        if (!(message instanceof AppendEntriesRequest request)) {
            RaftMessage delivered = TermCatchUp.toVoteRequest(message, term())
                    .map(RaftMessage.class::cast)
                    .orElse(message);
            executor.runDirectly(() -> node.handle(delivered));
            return;
        }
        long before = request.getPreviousLogIndex();
        SnapshotRepair.Action action = before == 0 || log.termsByIndex().containsKey(before)
                ? new SnapshotRepair.Action.Unchanged()
                : SnapshotRepair.decide(request, log.termsByIndex(), logStats(), term());
        if (action instanceof SnapshotRepair.Action.Conflict conflict) {
            try {
                log.truncateDurably(conflict.index());
                needsRestart = true;
            } catch (StoreException e) {
                ended = true; // the fault is reported by fault()
            }
            return;
        }
        matchedThrough = action instanceof SnapshotRepair.Action.AlreadyStored stored ? stored.lastIndex() : -1;
        executor.runDirectly(() ->
                node.handle(action instanceof SnapshotRepair.Action.Shortened shortened ? shortened.rest() : message));
        matchedThrough = -1;
    }

    private RaftLogStats logStats() {
        List<RaftLogStats> stats = new ArrayList<>(1);
        executor.runDirectly(
                () -> report((report, failure) -> stats.add(report.getResult().getLog())));
        return stats.get(0);
    }

    /**
     * Whether a new incarnation must be created from the store: MicroRaft's state in memory differs from it, or does
     * not notice that the leader is silent.
     */
    public boolean needsRestart() {
        return needsRestart;
    }

    /** The current term. */
    public int term() {
        return node.getTerm().getTerm();
    }

    /** The leader, if one is known. */
    public Optional<VoterEndpoint> leader() {
        return hasEnded()
                ? Optional.empty()
                : Optional.ofNullable((VoterEndpoint) node.getTerm().getLeaderEndpoint());
    }

    /** Whether this node is the leader as far as it knows; another may have been elected since. */
    public boolean isLeader() {
        return !hasEnded()
                && node.getTerm().getLeaderEndpoint() != null
                && node.getTerm().getLeaderEndpoint().equals(node.getLocalEndpoint());
    }

    /** The members by the newest committed entry. */
    public GroupMembers committedMembers() {
        return GroupMembers.of(node.getCommittedMembers());
    }

    /** Index of the entry that set the effective members; cheaper than {@link #effectiveMembers}. */
    public long effectiveMembersIndex() {
        return node.getEffectiveMembers().getLogIndex();
    }

    /** The members by the newest entry of the log, committed or not. */
    public GroupMembers effectiveMembers() {
        return GroupMembers.of(node.getEffectiveMembers());
    }

    /**
     * Replicates a command.
     *
     * @param command the encoded command
     * @param done called once with the result or the failure
     */
    public void replicate(byte[] command, BiConsumer<Ordered<Object>, Throwable> done) {
        node.replicate(new LogOperation.Command(command)).whenComplete(done);
    }

    /** Runs a query round among the voters; see {@link LeadershipCheck}. */
    void queryMajority(BiConsumer<Ordered<Object>, Throwable> done) {
        CompletableFuture<Ordered<Object>> round = node.query(
                new LogOperation.LeadershipQuery(),
                QueryPolicy.LINEARIZABLE,
                Optional.empty(),
                Optional.<Duration>empty());
        round.whenComplete(done);
    }

    /**
     * Changes one member of the group.
     *
     * @param member the member to add, promote or remove
     * @param mode the kind of change
     * @param membersIndex index of the committed members that the change is based on
     * @param done called once with the new members or the failure
     */
    public void changeMember(
            VoterEndpoint member,
            MembershipChangeMode mode,
            long membersIndex,
            BiConsumer<Ordered<RaftGroupMembers>, Throwable> done) {
        node.changeMembership(member, mode, membersIndex).whenComplete(done);
    }

    /** Starts a transfer of the leadership to a voter. */
    public void transferLeadership(VoterEndpoint to) {
        node.transferLeadership(to);
    }

    /** Reports the state of the node, such as the match index of each follower, to {@code done}. */
    public void report(BiConsumer<Ordered<RaftNodeReport>, Throwable> done) {
        node.getReport().whenComplete(done);
    }

    /** Whether this node does not vote. */
    public boolean isLearner() {
        return !committedMembers().voting().contains((VoterEndpoint) node.getLocalEndpoint());
    }
}
