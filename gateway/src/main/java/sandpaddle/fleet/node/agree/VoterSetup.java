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

/**
 * Creates and connects the parts of one gateway's consensus.
 *
 * @param voter the thread of the voter
 * @param components the parts of the state machine that the leader works on
 */
public record VoterSetup(VoterThread voter, FleetLeader.Components components) {
    private static final byte QUOTA_TAG = 3; // tag of quota commands in the log; must never change
    private static final RaftSettings RAFT = RaftSettings.DEFAULTS;

    /**
     * Creates the state machine and starts the voter's thread on the directory of the settings.
     *
     * @param settings settings of the fleet
     * @param name name of this gateway
     * @param links sends messages to peers
     * @param clock the monotonic clock
     * @param fleetExecutor runs tasks on the fleet's thread
     * @param seed seed of the random decisions of Raft
     */
    public static VoterSetup start(
            FleetSettings settings, String name, Links links, MonotonicClock clock, Executor fleetExecutor, long seed) {
        FleetMembership membership = new FleetMembership();
        VersionedDocuments documents = new VersionedDocuments();
        QuotaTable quotaTable = new QuotaTable(settings.limits());
        StateMachinePart membershipPart = new StateMachinePart(FleetMembership.TAG, "members", membership);
        StateMachinePart documentsPart = new StateMachinePart(VersionedDocuments.TAG, "policies", documents);
        StateMachinePart quotaPart = new StateMachinePart(QUOTA_TAG, "rights", quotaTable);
        FleetStateMachine machine =
                new FleetStateMachine(List.of(membershipPart, documentsPart, quotaPart), new ApplyLogger());
        Voter.VoterCallbacks callbacks = new Voter.VoterCallbacks() {
            @Override
            public void send(String to, byte[] message) {
                links.send(to, MessageKind.RAFT, message);
            }

            @Override
            public void log(String message) {
                Logger.info("fleet: {}", message);
            }
        };
        VoterThread voter = new VoterThread(
                new Voter.VoterSettings(settings.cluster(), name, RAFT, membershipPart),
                () -> VoterDirectory.open(settings, name, clock),
                machine,
                callbacks,
                clock,
                fleetExecutor,
                seed);
        return new VoterSetup(
                voter,
                new FleetLeader.Components(
                        membershipPart, membership, documentsPart, documents, quotaPart, quotaTable));
    }

    private static final class ApplyLogger implements FleetStateMachine.ApplyListener {
        @Override
        public void onApplied(long index, StateMachinePart part, byte[] result) {
            // users poll the state
        }

        @Override
        public void onInstalled() {
            Logger.info("fleet: replicated state replaced by a snapshot");
        }

        @Override
        public void onPartFailed(long index, StateMachinePart part, RuntimeException exception) {
            Logger.error(exception, "fleet: part {} of the state machine failed at log index {}", part.name(), index);
        }
    }
}
