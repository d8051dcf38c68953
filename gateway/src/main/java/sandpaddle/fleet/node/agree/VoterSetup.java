package sandpaddle.fleet.node.agree;

import java.util.List;
import java.util.concurrent.Executor;
import org.tinylog.Logger;
import sandpaddle.fleet.FleetSettings;
import sandpaddle.fleet.limit.table.QuotaTable;
import sandpaddle.fleet.link.Links;
import sandpaddle.fleet.link.MessageKind;
import sandpaddle.fleet.node.MonotonicClock;
import sandpaddle.fleet.node.lead.FleetLeader;
import sandpaddle.fleet.state.machine.FleetMembership;
import sandpaddle.fleet.state.machine.FleetStateMachine;
import sandpaddle.fleet.state.machine.StateMachinePart;
import sandpaddle.fleet.state.machine.VersionedDocuments;
import sandpaddle.fleet.state.raft.RaftSettings;
import sandpaddle.fleet.state.voter.Voter;

/** The consensus of one gateway wired up: its state machine parts, its store, its thread. */
public record VoterSetup(VoterThread voter, FleetLeader.Components components) {
    private static final byte QUOTAS = 3; // its tag in the log, for ever
    private static final RaftSettings RAFT = RaftSettings.DEFAULTS;

    /** Starts it on the settings' directory. */
    public static VoterSetup start(
            FleetSettings settings, String name, Links links, MonotonicClock clock, Executor fleet, long seed) {
        FleetMembership membership = new FleetMembership();
        VersionedDocuments policy = new VersionedDocuments();
        QuotaTable table = new QuotaTable(settings.limits());
        StateMachinePart members = new StateMachinePart(FleetMembership.TAG, "members", membership);
        StateMachinePart policies = new StateMachinePart(VersionedDocuments.TAG, "policies", policy);
        StateMachinePart quotas = new StateMachinePart(QUOTAS, "rights", table);
        FleetStateMachine machine = new FleetStateMachine(List.of(members, policies, quotas), new Watching());
        Voter.VoterCallbacks around = new Voter.VoterCallbacks() {
            @Override
            public void send(String to, byte[] message) {
                links.send(to, MessageKind.RAFT, message);
            }

            @Override
            public void log(String what) {
                Logger.info("fleet: {}", what);
            }
        };
        VoterThread voter = new VoterThread(
                new Voter.VoterSettings(settings.cluster(), name, RAFT, members),
                () -> VoterDirectory.open(settings, name, clock),
                machine,
                around,
                clock,
                fleet,
                seed);
        return new VoterSetup(voter, new FleetLeader.Components(members, membership, policies, policy, quotas, table));
    }

    private static final class Watching implements FleetStateMachine.ApplyListener {
        @Override
        public void onApplied(long index, StateMachinePart part, byte[] answer) {
            // who needs the state reads it
        }

        @Override
        public void onInstalled() {
            Logger.info("fleet: the agreed state was taken over whole");
        }

        @Override
        public void onPartFailed(long index, StateMachinePart part, RuntimeException how) {
            Logger.error(how, "fleet: part {} failed on command {}", part.name(), index);
        }
    }
}
