package sandpaddle.fleet.node.agree;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import sandpaddle.fleet.member.Member;
import sandpaddle.fleet.node.MonotonicClock;
import sandpaddle.fleet.state.Consensus.ProposalOutcome;
import sandpaddle.fleet.state.machine.CommandResult;
import sandpaddle.fleet.state.machine.FleetMembership;
import sandpaddle.fleet.state.machine.FleetStateMachine;
import sandpaddle.fleet.state.machine.StateMachinePart;
import sandpaddle.fleet.state.raft.RaftSettings;
import sandpaddle.fleet.state.sim.SimDisk;
import sandpaddle.fleet.state.voter.GroupBootstrap;
import sandpaddle.fleet.state.voter.Voter;
import sandpaddle.fleet.store.StoreException;
import sandpaddle.fleet.store.VoterStore;

class VoterThreadTest {
    private static final FleetStateMachine.ApplyListener NO_LISTENER = new FleetStateMachine.ApplyListener() {
        @Override
        public void onApplied(long index, StateMachinePart part, byte[] result) {}

        @Override
        public void onInstalled() {}

        @Override
        public void onPartFailed(long index, StateMachinePart part, RuntimeException exception) {}
    };

    private static final Voter.VoterCallbacks NO_PEERS = new Voter.VoterCallbacks() {
        @Override
        public void send(String to, byte[] message) {}

        @Override
        public void log(String message) {}
    };

    @Test
    void singleVoterCommitsOnceItsDirectoryIsUnlocked() throws Exception {
        VoterStore store = new SimDisk().open();
        assertEquals(Optional.empty(), GroupBootstrap.format(store, "c", "a", List.of("a")));
        FleetMembership members = new FleetMembership();
        StateMachinePart part = new StateMachinePart(FleetMembership.TAG, "membership", members);
        Voter.VoterSettings settings = new Voter.VoterSettings("c", "a", new RaftSettings(1, 3, 1000, 50), part);
        FleetStateMachine machine = new FleetStateMachine(List.of(part), NO_LISTENER);
        AtomicInteger attempts = new AtomicInteger();
        VoterThread.StoreOpener storeOpener = () -> {
            if (attempts.getAndIncrement() == 0) {
                throw new StoreException(StoreException.Kind.LOCKED, "another process has it");
            }
            return store;
        };
        try (VoterThread voter =
                new VoterThread(settings, storeOpener, machine, NO_PEERS, new MonotonicClock(), Runnable::run, 1)) {
            ProposalOutcome outcome = new ProposalOutcome.NotLeader(Optional.empty());
            for (int i = 0; i < 1_000_000 && outcome instanceof ProposalOutcome.NotLeader; i++) {
                Thread.onSpinWait(); // until it has opened its store and is the leader
                CompletableFuture<ProposalOutcome> completed = new CompletableFuture<>();
                voter.propose(
                        part.command(FleetMembership.joinCommand(new Member("a", "h", "127.0.0.1", 9000))),
                        completed::complete);
                outcome = completed.get(30, TimeUnit.SECONDS);
            }
            assertTrue(outcome instanceof ProposalOutcome.Committed, outcome::toString);
            assertTrue(CommandResult.parse(((ProposalOutcome.Committed) outcome).result())
                    .isAccepted());
            assertEquals(1, machine.read(() -> members.members().size()));
            CompletableFuture<Boolean> leads = new CompletableFuture<>();
            voter.confirmLeadership(leads::complete);
            assertTrue(leads.get(30, TimeUnit.SECONDS));
            assertTrue(voter.status().isLeader());
            assertEquals(List.of("a"), voter.status().voters());
        }
    }
}
