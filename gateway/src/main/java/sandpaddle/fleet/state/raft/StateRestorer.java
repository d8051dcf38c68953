package sandpaddle.fleet.state.raft;

import io.microraft.RaftEndpoint;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.log.SnapshotEntry;
import io.microraft.persistence.RestoredRaftState;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import sandpaddle.fleet.store.RecoveredState;
import sandpaddle.fleet.store.StoreException;
import sandpaddle.fleet.store.StoredEntry;
import sandpaddle.fleet.store.StoredSnapshot;
import sandpaddle.fleet.store.VoterStore;
import sandpaddle.fleet.wire.CborIn;
import sandpaddle.fleet.wire.CborIn.FaultyMessageException;
import sandpaddle.fleet.wire.CborOut;

/** Restores MicroRaft's state from the store, and initializes new stores. */
public final class StateRestorer {
    private StateRestorer() {}

    /**
     * Initializes the store of a voter; its identity must be written afterwards.
     *
     * @param store the open store
     * @param initialVoters the voters that the group was bootstrapped with
     * @param votes whether the endpoint votes from the start
     */
    public static void prepare(VoterStore store, Collection<VoterEndpoint> initialVoters, boolean votes)
            throws StoreException {
        CborOut out = new CborOut();
        List<RaftEndpoint> members = new ArrayList<>(initialVoters);
        RaftCodec.view(out, RaftCodec.view(0, members, members));
        store.put(DurableLog.INITIAL_MEMBERS_KEY, out.done());
        store.put(DurableLog.VOTING_KEY, new CborOut().flag(votes).done());
    }

    /** Whether {@link #prepare} was called on this store. */
    public static boolean isPrepared(VoterStore store) throws StoreException {
        return store.get(DurableLog.VOTING_KEY).isPresent();
    }

    /** The voters that the group was bootstrapped with. */
    public static Collection<RaftEndpoint> initialVoters(VoterStore store) throws StoreException {
        Optional<byte[]> stored = store.get(DurableLog.INITIAL_MEMBERS_KEY);
        try {
            return RaftCodec.view(new CborIn(stored.orElseThrow(() -> new StoreException(
                            StoreException.Kind.CORRUPT,
                            "the store has an identity but no " + DurableLog.INITIAL_MEMBERS_KEY))))
                    .getVotingMembers();
        } catch (FaultyMessageException e) {
            throw new StoreException(
                    StoreException.Kind.CORRUPT, DurableLog.INITIAL_MEMBERS_KEY + ": " + e.getMessage(), e);
        }
    }

    /** The newest known voters according to the initial members, the snapshot and the log of the store. */
    public static GroupMembers members(VoterStore store, RecoveredState recovered) throws StoreException {
        RestoredRaftState state = restore(store, recovered, new VoterEndpoint("unknown", 1));
        Collection<RaftEndpoint> members = state.getInitialGroupMembers().getVotingMembers();
        long index = 0;
        if (state.getSnapshotEntry() != null) {
            members = state.getSnapshotEntry().getGroupMembersView().getVotingMembers();
            index = state.getSnapshotEntry().getGroupMembersView().getLogIndex();
        }
        for (LogEntry entry : state.getLogEntries()) {
            if (entry.getOperation() instanceof io.microraft.model.groupop.UpdateRaftGroupMembersOp op) {
                members = op.getVotingMembers();
                index = entry.getIndex();
            }
        }
        List<VoterEndpoint> voting =
                members.stream().map(VoterEndpoint.class::cast).toList();
        return new GroupMembers(index, voting, voting);
    }

    static RestoredRaftState restore(VoterStore store, RecoveredState recovered, VoterEndpoint self)
            throws StoreException {
        Collection<RaftEndpoint> initialVoters = initialVoters(store);
        try {
            boolean votes = new CborIn(store.get(DurableLog.VOTING_KEY)
                            .orElseThrow(() -> new StoreException(
                                    StoreException.Kind.CORRUPT,
                                    "the store has an identity but no " + DurableLog.VOTING_KEY)))
                    .flag();
            List<LogEntry> entries = new ArrayList<>();
            for (StoredEntry entry : recovered.entries()) {
                entries.add(RaftCodec.MODEL
                        .createLogEntryBuilder()
                        .setIndex(entry.index())
                        .setTerm(entry.term())
                        .setOperation(RaftCodec.operation(new CborIn(entry.data())))
                        .build());
            }
            RaftEndpoint vote = recovered.vote().map(VoterEndpoint::parse).orElse(null);
            return new RestoredRaftState(
                    RaftCodec.MODEL
                            .createRaftEndpointPersistentStateBuilder()
                            .setLocalEndpoint(self)
                            .setVoting(votes)
                            .build(),
                    RaftCodec.view(0, initialVoters, initialVoters),
                    RaftCodec.MODEL
                            .createRaftTermPersistentStateBuilder()
                            .setTerm(recovered.term())
                            .setVotedFor(vote)
                            .build(),
                    recovered.snapshot().isPresent()
                            ? snapshot(recovered.snapshot().get())
                            : null,
                    entries);
        } catch (FaultyMessageException | IllegalArgumentException e) {
            throw new StoreException(
                    StoreException.Kind.CORRUPT, "the stored Raft state cannot be decoded: " + e.getMessage(), e);
        }
    }

    private static SnapshotEntry snapshot(StoredSnapshot stored) throws FaultyMessageException {
        List<SnapshotChunk> chunks = new ArrayList<>();
        for (byte[] data : stored.chunks()) {
            chunks.add(RaftCodec.chunk(new CborIn(data)));
        }
        RaftGroupMembersView view = chunks.get(0).getGroupMembersView();
        return RaftCodec.MODEL
                .createSnapshotEntryBuilder()
                .setIndex(stored.index())
                .setTerm(stored.term())
                .setSnapshotChunks(chunks)
                .setGroupMembersView(view)
                .build();
    }
}
