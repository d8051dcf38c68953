package sandpaddle.fleet.state.raft;

import io.microraft.model.log.LogEntry;
import io.microraft.model.message.AppendEntriesFailureResponse;
import io.microraft.model.message.AppendEntriesRequest;
import io.microraft.model.message.AppendEntriesSuccessResponse;
import io.microraft.model.message.InstallSnapshotRequest;
import io.microraft.model.message.InstallSnapshotResponse;
import io.microraft.model.message.PreVoteRequest;
import io.microraft.model.message.PreVoteResponse;
import io.microraft.model.message.RaftMessage;
import io.microraft.model.message.TriggerLeaderElectionRequest;
import io.microraft.model.message.VoteRequest;
import io.microraft.model.message.VoteResponse;
import java.util.List;
import sandpaddle.fleet.wire.CborOut;

/**
 * Encodes MicroRaft's messages for {@link RaftMessageReader}. Type numbers and the order of fields never change.
 */
final class RaftMessageWriter {
    static final int PRE_VOTE = 1;
    static final int PRE_VOTE_RESPONSE = 2;
    static final int VOTE = 3;
    static final int VOTE_RESPONSE = 4;
    static final int APPEND_ENTRIES = 5;
    static final int APPEND_SUCCESS = 6;
    static final int APPEND_FAILURE = 7;
    static final int INSTALL_SNAPSHOT = 8;
    static final int INSTALL_SNAPSHOT_RESPONSE = 9;
    static final int TRIGGER_ELECTION = 10;

    /** Max number of entries of one message. */
    static final int MAX_ENTRIES = 256;
    /**
     * Max size of all entries of one message, unless a single entry is larger (bytes). MicroRaft bounds only their
     * number.
     */
    static final int MAX_BATCH_BYTES = 256 << 10;

    private static final int COMMAND_OVERHEAD_BYTES = 32; // upper bound of the encoded index, term, type and length
    private static final int ESTIMATED_OTHER_OPERATION_BYTES = 1024;

    private RaftMessageWriter() {}

    static void write(CborOut out, RaftMessage message) {
        if (message instanceof AppendEntriesRequest request) {
            writeHeader(out, APPEND_ENTRIES, message)
                    .number(request.getPreviousLogTerm())
                    .number(request.getPreviousLogIndex())
                    .number(request.getCommitIndex())
                    .number(request.getQuerySequenceNumber())
                    .number(request.getFlowControlSequenceNumber())
                    .list(entriesThatFit(request.getLogEntries()), RaftCodec::entry);
        } else if (message instanceof AppendEntriesSuccessResponse response) {
            writeHeader(out, APPEND_SUCCESS, message)
                    .number(response.getLastLogIndex())
                    .number(response.getQuerySequenceNumber())
                    .number(response.getFlowControlSequenceNumber());
        } else if (message instanceof AppendEntriesFailureResponse response) {
            writeHeader(out, APPEND_FAILURE, message)
                    .number(response.getExpectedNextIndex())
                    .number(response.getQuerySequenceNumber())
                    .number(response.getFlowControlSequenceNumber());
        } else if (message instanceof InstallSnapshotRequest request) {
            snapshot(writeHeader(out, INSTALL_SNAPSHOT, message), request);
        } else if (message instanceof InstallSnapshotResponse response) {
            writeHeader(out, INSTALL_SNAPSHOT_RESPONSE, message)
                    .number(response.getSnapshotIndex())
                    .number(response.getRequestedSnapshotChunkIndex())
                    .number(response.getQuerySequenceNumber())
                    .number(response.getFlowControlSequenceNumber());
        } else if (message instanceof VoteRequest request) {
            writeHeader(out, VOTE, message)
                    .number(request.getLastLogTerm())
                    .number(request.getLastLogIndex())
                    .flag(request.isSticky());
        } else if (message instanceof VoteResponse response) {
            writeHeader(out, VOTE_RESPONSE, message).flag(response.isGranted());
        } else if (message instanceof PreVoteRequest request) {
            writeHeader(out, PRE_VOTE, message).number(request.getLastLogTerm()).number(request.getLastLogIndex());
        } else if (message instanceof PreVoteResponse response) {
            writeHeader(out, PRE_VOTE_RESPONSE, message).flag(response.isGranted());
        } else if (message instanceof TriggerLeaderElectionRequest request) {
            writeHeader(out, TRIGGER_ELECTION, message)
                    .number(request.getLastLogTerm())
                    .number(request.getLastLogIndex());
        } else {
            throw new IllegalArgumentException("unsupported Raft message: " + message);
        }
    }

    private static CborOut writeHeader(CborOut out, int type, RaftMessage message) {
        return out.number(type).number(message.getTerm());
    }

    /**
     * The first entries that fit into one frame. Omitting the others is safe: the receiver's response and commit index
     * depend on what it received, and the leader continues from there.
     */
    private static List<LogEntry> entriesThatFit(List<LogEntry> entries) {
        int bytes = 0;
        for (int i = 0; i < entries.size(); i++) {
            bytes += entries.get(i).getOperation() instanceof LogOperation.Command command
                    ? command.bytes().length + COMMAND_OVERHEAD_BYTES
                    : ESTIMATED_OTHER_OPERATION_BYTES;
            if (i > 0 && (bytes > MAX_BATCH_BYTES || i >= MAX_ENTRIES)) {
                return entries.subList(0, i);
            }
        }
        return entries;
    }

    private static void snapshot(CborOut out, InstallSnapshotRequest request) {
        out.flag(request.isSenderLeader())
                .number(request.getSnapshotTerm())
                .number(request.getSnapshotIndex())
                .number(request.getTotalSnapshotChunkCount())
                .flag(request.getSnapshotChunk() != null);
        if (request.getSnapshotChunk() != null) {
            RaftCodec.chunk(out, request.getSnapshotChunk());
        }
        RaftCodec.members(out, request.getSnapshottedMembers());
        RaftCodec.view(out, request.getGroupMembersView());
        out.number(request.getQuerySequenceNumber()).number(request.getFlowControlSequenceNumber());
    }
}
