package sandpaddle.fleet.state.voter;

import io.microraft.Ordered;
import io.microraft.exception.CannotReplicateException;
import io.microraft.exception.NotLeaderException;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletionException;
import java.util.function.Consumer;
import sandpaddle.fleet.state.Consensus.ProposalOutcome;
import sandpaddle.fleet.state.raft.RaftIncarnation;
import sandpaddle.fleet.state.raft.VoterEndpoint;

/**
 * Proposals that have no outcome yet. Each gets exactly one, even if MicroRaft drops it because its store failed. Owned
 * by {@link VoterState}.
 */
final class PendingProposals {
    /** Max number of pending proposals; further ones fail at once and may be retried later. */
    static final int MAX_PENDING = 512;

    private static final class PendingProposal {
        private Consumer<ProposalOutcome> outcome;

        PendingProposal(Consumer<ProposalOutcome> outcome) {
            this.outcome = outcome;
        }
    }

    private final Set<PendingProposal> pending = new LinkedHashSet<>();

    void propose(RaftIncarnation incarnation, byte[] command, Consumer<ProposalOutcome> outcome) {
        if (pending.size() >= MAX_PENDING) {
            outcome.accept(new ProposalOutcome.NotLeader(Optional.empty()));
            return;
        }
        PendingProposal proposal = new PendingProposal(outcome);
        pending.add(proposal);
        incarnation.replicate(
                command, (result, failure) -> finish(proposal, failure == null ? committed(result) : failed(failure)));
    }

    private void finish(PendingProposal proposal, ProposalOutcome outcome) {
        if (pending.remove(proposal)) {
            proposal.outcome.accept(outcome);
        }
    }

    private static ProposalOutcome committed(Ordered<Object> result) {
        return new ProposalOutcome.Committed(result.getCommitIndex(), (byte[]) result.getResult());
    }

    private static ProposalOutcome failed(Throwable failure) {
        Throwable cause =
                failure instanceof CompletionException && failure.getCause() != null ? failure.getCause() : failure;
        if (cause instanceof NotLeaderException e) {
            return new ProposalOutcome.NotLeader(
                    Optional.ofNullable((VoterEndpoint) e.getLeader()).map(VoterEndpoint::name));
        }
        return cause instanceof CannotReplicateException
                ? new ProposalOutcome.NotLeader(Optional.empty())
                : new ProposalOutcome.Unknown(cause.toString());
    }

    /** Ends all proposals with an unknown outcome. */
    void failAll(String reason) {
        List<PendingProposal> all = new ArrayList<>(pending);
        pending.clear();
        all.forEach(proposal -> proposal.outcome.accept(new ProposalOutcome.Unknown(reason)));
    }
}
