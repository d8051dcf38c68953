package sandpaddle.fleet.state;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * A replicated log of commands, on which the voters agree. All calls and callbacks are made on the consensus thread
 * ({@code fleet-raft}).
 */
public interface Consensus {
    /** The outcome of a proposal. */
    sealed interface ProposalOutcome {
        /**
         * The command was committed and applied.
         *
         * @param index index of its log entry
         * @param result what the state machine returned
         */
        record Committed(long index, byte[] result) implements ProposalOutcome {}

        /**
         * The command was not accepted: this gateway is not the leader, or can accept no command now. Propose it again:
         * to the leader if one is named, else later.
         *
         * @param leader name of the gateway to propose to, if another one is known to lead
         */
        record NotLeader(Optional<String> leader) implements ProposalOutcome {}

        /**
         * The command may or may not be applied.
         *
         * @param reason why the outcome is unknown, for logs
         */
        record Unknown(String reason) implements ProposalOutcome {}
    }

    /** Proposes a command; {@code outcome} is called exactly once. */
    void propose(byte[] command, Consumer<ProposalOutcome> outcome);

    /**
     * Asks a majority of the voters whether this gateway is still the leader. The answer true proves that no other
     * leader had been elected when this method was called, so that heartbeats received by then may be confirmed.
     */
    void confirmLeadership(Consumer<Boolean> leads);

    /** Whether this gateway is the leader as far as it knows; another may have been elected since. */
    boolean isLeader();

    /** The highest term that this gateway knows of. */
    long term();

    /** Name of the leader, if one is known. */
    Optional<String> leader();

    /** The names of the gateways that vote. */
    List<String> voters();

    /** Replaces the voters one by one; the outcome is {@code NotLeader} unless this gateway is the leader. */
    void changeVoters(List<String> names, Consumer<ProposalOutcome> outcome);
}
