package sandpaddle.fleet.state.raft;

import io.microraft.RaftEndpoint;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.message.RaftMessage;
import java.util.Collection;
import java.util.List;
import sandpaddle.fleet.wire.CborIn;
import sandpaddle.fleet.wire.CborIn.FaultyMessageException;

/** Decodes Raft messages. They may be malformed, so types, ranges and the order of entries are checked. */
final class RaftMessageReader {
    private final Object group;
    private final RaftEndpoint sender;
    private final CborIn in;
    private int term;

    private RaftMessageReader(Object group, RaftEndpoint sender, CborIn in) {
        this.group = group;
        this.sender = sender;
        this.in = in;
    }

    static RaftMessage read(Object group, RaftEndpoint sender, CborIn in) throws FaultyMessageException {
        return new RaftMessageReader(group, sender, in).read();
    }

    private RaftMessage read() throws FaultyMessageException {
        int type = (int) in.number(RaftMessageWriter.PRE_VOTE, RaftMessageWriter.TRIGGER_ELECTION);
        term = term();
        RaftMessage message = switch (type) {
            case RaftMessageWriter.PRE_VOTE ->
                RaftCodec.MODEL
                        .createPreVoteRequestBuilder()
                        .setGroupId(group)
                        .setSender(sender)
                        .setTerm(term)
                        .setLastLogTerm(term())
                        .setLastLogIndex(index())
                        .build();
            case RaftMessageWriter.PRE_VOTE_RESPONSE ->
                RaftCodec.MODEL
                        .createPreVoteResponseBuilder()
                        .setGroupId(group)
                        .setSender(sender)
                        .setTerm(term)
                        .setGranted(in.flag())
                        .build();
            case RaftMessageWriter.VOTE ->
                RaftCodec.MODEL
                        .createVoteRequestBuilder()
                        .setGroupId(group)
                        .setSender(sender)
                        .setTerm(term)
                        .setLastLogTerm(term())
                        .setLastLogIndex(index())
                        .setSticky(in.flag())
                        .build();
            case RaftMessageWriter.VOTE_RESPONSE ->
                RaftCodec.MODEL
                        .createVoteResponseBuilder()
                        .setGroupId(group)
                        .setSender(sender)
                        .setTerm(term)
                        .setGranted(in.flag())
                        .build();
            case RaftMessageWriter.APPEND_ENTRIES -> append();
            case RaftMessageWriter.APPEND_SUCCESS ->
                RaftCodec.MODEL
                        .createAppendEntriesSuccessResponseBuilder()
                        .setGroupId(group)
                        .setSender(sender)
                        .setTerm(term)
                        .setLastLogIndex(index())
                        .setQuerySequenceNumber(index())
                        .setFlowControlSequenceNumber(index())
                        .build();
            case RaftMessageWriter.APPEND_FAILURE ->
                RaftCodec.MODEL
                        .createAppendEntriesFailureResponseBuilder()
                        .setGroupId(group)
                        .setSender(sender)
                        .setTerm(term)
                        .setExpectedNextIndex(index())
                        .setQuerySequenceNumber(index())
                        .setFlowControlSequenceNumber(index())
                        .build();
            case RaftMessageWriter.INSTALL_SNAPSHOT -> snapshot();
            case RaftMessageWriter.INSTALL_SNAPSHOT_RESPONSE ->
                RaftCodec.MODEL
                        .createInstallSnapshotResponseBuilder()
                        .setGroupId(group)
                        .setSender(sender)
                        .setTerm(term)
                        .setSnapshotIndex(index())
                        .setRequestedSnapshotChunkIndex((int) in.number(0, RaftCodec.MAX_CHUNKS))
                        .setQuerySequenceNumber(index())
                        .setFlowControlSequenceNumber(index())
                        .build();
            default ->
                RaftCodec.MODEL
                        .createTriggerLeaderElectionRequestBuilder()
                        .setGroupId(group)
                        .setSender(sender)
                        .setTerm(term)
                        .setLastLogTerm(term())
                        .setLastLogIndex(index())
                        .build();
        };
        in.end();
        return message;
    }

    private int term() throws FaultyMessageException {
        return (int) in.number(0, Integer.MAX_VALUE);
    }

    private long index() throws FaultyMessageException {
        return in.number(0, RaftCodec.MAX_INDEX);
    }

    private RaftMessage append() throws FaultyMessageException {
        int previousTerm = term();
        long previousIndex = index();
        long commitIndex = index();
        long querySequence = index();
        long flowControlSequence = index();
        List<LogEntry> entries = in.list(RaftMessageWriter.MAX_ENTRIES, RaftCodec::entry);
        long expectedIndex = previousIndex;
        int lastTerm = previousTerm;
        for (LogEntry entry : entries) {
            // MicroRaft checks this only by an assertion; with assertions off a gap would be written to the log
            if (entry.getIndex() != ++expectedIndex || entry.getTerm() < lastTerm || entry.getTerm() > term) {
                throw in.wrong("ends entries out of order at " + entry.getIndex() + " of term " + entry.getTerm());
            }
            lastTerm = entry.getTerm();
        }
        return RaftCodec.MODEL
                .createAppendEntriesRequestBuilder()
                .setGroupId(group)
                .setSender(sender)
                .setTerm(term)
                .setPreviousLogTerm(previousTerm)
                .setPreviousLogIndex(previousIndex)
                .setCommitIndex(commitIndex)
                .setQuerySequenceNumber(querySequence)
                .setFlowControlSequenceNumber(flowControlSequence)
                .setLogEntries(entries)
                .build();
    }

    private RaftMessage snapshot() throws FaultyMessageException {
        boolean isSenderLeader = in.flag();
        int snapshotTerm = term();
        long snapshotIndex = index();
        int chunkCount = (int) in.number(1, RaftCodec.MAX_CHUNKS);
        SnapshotChunk chunk = in.flag() ? RaftCodec.chunk(in) : null;
        if (chunk != null && (chunk.getIndex() != snapshotIndex || chunk.getSnapshotChunkCount() != chunkCount)) {
            throw in.wrong("ends a chunk of another snapshot");
        }
        Collection<RaftEndpoint> snapshottedMembers = RaftCodec.members(in);
        return RaftCodec.MODEL
                .createInstallSnapshotRequestBuilder()
                .setGroupId(group)
                .setSender(sender)
                .setTerm(term)
                .setSenderLeader(isSenderLeader)
                .setSnapshotTerm(snapshotTerm)
                .setSnapshotIndex(snapshotIndex)
                .setTotalSnapshotChunkCount(chunkCount)
                .setSnapshotChunk(chunk)
                .setSnapshottedMembers(snapshottedMembers)
                .setGroupMembersView(RaftCodec.view(in))
                .setQuerySequenceNumber(index())
                .setFlowControlSequenceNumber(index())
                .build();
    }
}
