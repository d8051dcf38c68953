package sandpaddle.fleet.state.raft;

import io.microraft.model.message.AppendEntriesFailureResponse;
import io.microraft.model.message.AppendEntriesRequest;
import io.microraft.model.message.AppendEntriesSuccessResponse;
import io.microraft.model.message.InstallSnapshotRequest;
import io.microraft.model.message.InstallSnapshotResponse;
import io.microraft.model.message.PreVoteRequest;
import io.microraft.model.message.PreVoteResponse;
import io.microraft.model.message.RaftMessage;
import io.microraft.model.message.VoteResponse;

/** Classifies received Raft messages, and derives from them the progress of their sender. */
final class RaftMessages {
    private RaftMessages() {}

    static RaftIncarnation.SenderProgress progressOf(RaftMessage message) {
        if (message instanceof PreVoteRequest || message instanceof PreVoteResponse) {
            return new RaftIncarnation.SenderProgress(0, 0); // their term is one that the sender has not stored
        }
        long index = message instanceof AppendEntriesSuccessResponse response
                ? response.getLastLogIndex()
                : message instanceof AppendEntriesRequest request
                        ? request.getCommitIndex() // flushed before the request was sent
                        : 0;
        return new RaftIncarnation.SenderProgress(message.getTerm(), index);
    }

    static boolean isFromLeader(RaftMessage message) {
        return message instanceof AppendEntriesRequest || message instanceof InstallSnapshotRequest;
    }

    static boolean isResponse(RaftMessage message) {
        return message instanceof AppendEntriesSuccessResponse
                || message instanceof AppendEntriesFailureResponse
                || message instanceof InstallSnapshotResponse
                || message instanceof VoteResponse
                || message instanceof PreVoteResponse;
    }

    /** The response of a follower whose log is known to match up to {@code end}, in place of its failure response. */
    static RaftMessage asSuccess(AppendEntriesFailureResponse failure, long end) {
        return RaftCodec.MODEL
                .createAppendEntriesSuccessResponseBuilder()
                .setGroupId(failure.getGroupId())
                .setSender(failure.getSender())
                .setTerm(failure.getTerm())
                .setLastLogIndex(end)
                .setQuerySequenceNumber(failure.getQuerySequenceNumber())
                .setFlowControlSequenceNumber(failure.getFlowControlSequenceNumber())
                .build();
    }
}
