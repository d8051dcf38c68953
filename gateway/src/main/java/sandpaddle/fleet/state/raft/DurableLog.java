package sandpaddle.fleet.state.raft;

import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.persistence.RaftEndpointPersistentState;
import io.microraft.model.persistence.RaftTermPersistentState;
import io.microraft.persistence.RaftStore;
import java.util.List;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;
import sandpaddle.fleet.store.StoreException;
import sandpaddle.fleet.store.StoredEntry;
import sandpaddle.fleet.store.VoterStore;
import sandpaddle.fleet.wire.CborOut;

/**
 * Implements MicroRaft's store on a {@link VoterStore}. After the first failed write it accepts no more: MicroRaft
 * logs such a failure and continues with its state in memory, which would then be ahead of the disk. So nothing that it
 * sends after {@link #fault} may leave the process. Owned by the consensus thread.
 */
final class DurableLog implements RaftStore {
    /** Key of the group's initial members. */
    static final String INITIAL_MEMBERS_KEY = "raft.initial";

    /** Key of the flag whether this endpoint votes. */
    static final String VOTING_KEY = "raft.voting";

    private final VoterStore store;
    private StoreException fault;
    private final TreeMap<Long, Integer> termsByIndex = new TreeMap<>(); // of the entries in MicroRaft's log

    DurableLog(VoterStore store, List<StoredEntry> entries) {
        this.store = store;
        entries.forEach(entry -> termsByIndex.put(entry.index(), entry.term()));
    }

    /** The terms of the entries of the log, by index. */
    NavigableMap<Long, Integer> termsByIndex() {
        return termsByIndex;
    }

    /** Durably removes entries that a later leader replaced from the store only, not from MicroRaft's log in memory. */
    void truncateDurably(long index) throws StoreException {
        truncateLogEntriesFrom(index);
        flush();
    }

    private interface StoreWrite {
        void run() throws StoreException;
    }

    private void writeOrFail(StoreWrite write) throws StoreException {
        if (fault != null) {
            throw fault;
        }
        try {
            write.run();
        } catch (StoreException e) {
            fault = e;
            throw e;
        } catch (RuntimeException e) { // a bound of the store was exceeded: the write is not durable either
            fault = new StoreException(StoreException.Kind.IO, "the store rejected a write: " + e.getMessage(), e);
            throw fault;
        }
    }

    /** The first failed write, after which this log accepts no more. */
    Optional<StoreException> fault() {
        return Optional.ofNullable(fault);
    }

    @Override
    public void persistAndFlushLocalEndpoint(RaftEndpointPersistentState state) throws StoreException {
        writeOrFail(
                () -> store.put(VOTING_KEY, new CborOut().flag(state.isVoting()).done()));
    }

    @Override
    public void persistAndFlushInitialGroupMembers(RaftGroupMembersView members) throws StoreException {
        CborOut out = new CborOut();
        RaftCodec.view(out, members);
        writeOrFail(() -> store.put(INITIAL_MEMBERS_KEY, out.done()));
    }

    @Override
    public void persistAndFlushTerm(RaftTermPersistentState state) throws StoreException {
        writeOrFail(() -> store.setTerm(
                state.getTerm(),
                state.getVotedFor() == null ? null : state.getVotedFor().toString()));
    }

    @Override
    public void persistLogEntries(List<LogEntry> entries) throws StoreException {
        for (LogEntry entry : entries) {
            CborOut out = new CborOut();
            RaftCodec.operation(out, entry.getOperation());
            writeOrFail(() -> store.append(entry.getIndex(), entry.getTerm(), out.done()));
            termsByIndex.put(entry.getIndex(), entry.getTerm());
        }
    }

    @Override
    public void persistSnapshotChunk(SnapshotChunk chunk) throws StoreException {
        CborOut out = new CborOut();
        RaftCodec.chunk(out, chunk);
        writeOrFail(() -> store.snapshotChunk(
                chunk.getIndex(),
                chunk.getTerm(),
                chunk.getSnapshotChunkIndex(),
                chunk.getSnapshotChunkCount(),
                out.done()));
    }

    @Override
    public void truncateLogEntriesFrom(long index) throws StoreException {
        writeOrFail(() -> store.truncateFrom(index));
        termsByIndex.tailMap(index, true).clear();
    }

    @Override
    public void truncateLogEntriesUntil(long index) throws StoreException {
        writeOrFail(() -> store.truncateUntil(index));
        termsByIndex.headMap(index, true).clear();
    }

    @Override
    public void deleteSnapshotChunks(long index, int chunks) throws StoreException {
        writeOrFail(() -> store.dropSnapshot(index));
    }

    @Override
    public void flush() throws StoreException {
        writeOrFail(store::flush);
    }
}
