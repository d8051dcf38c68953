package sandpaddle.fleet.state.raft;

import io.microraft.model.message.PreVoteResponse;
import io.microraft.model.message.RaftMessage;
import io.microraft.model.message.VoteRequest;
import java.util.Optional;

/**
 * Works around a fault of MicroRaft 0.7: a node whose pre-vote is refused because its term is behind does not adopt the
 * later term. If two voters are left, one with the later term and one with the longer log, they refuse each other
 * forever. So such a refusal is replaced by a vote request of that term, with a log position that no node votes
 * for: its only effect is that the node adopts the later term, as Raft requires for any message.
 */
final class TermCatchUp {
    private TermCatchUp() {}

    /**
     * The request to deliver instead of {@code message}, if any. MicroRaft responds with the requested term, which is
     * one more than the requester's, unless its own is later; so only a term above that is the term of a node.
     */
    static Optional<VoteRequest> toVoteRequest(RaftMessage message, int term) {
        if (!(message instanceof PreVoteResponse response) || response.isGranted() || response.getTerm() <= term + 1) {
            return Optional.empty();
        }
        return Optional.of(RaftCodec.MODEL
                .createVoteRequestBuilder()
                .setGroupId(response.getGroupId())
                .setSender(response.getSender())
                .setTerm(response.getTerm())
                .setLastLogTerm(-1)
                .setLastLogIndex(0)
                .setSticky(false)
                .build());
    }
}
