package sandpaddle.fleet.node.lead;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.tinylog.Logger;
import sandpaddle.fleet.limit.LimitSettings;
import sandpaddle.fleet.limit.LimitSpec;
import sandpaddle.fleet.limit.allocator.AllocatorOutput;
import sandpaddle.fleet.limit.allocator.QuotaAllocator;
import sandpaddle.fleet.limit.table.LimitCommand;
import sandpaddle.fleet.limit.table.LimitCommandCodec;
import sandpaddle.fleet.limit.table.QuotaTable;
import sandpaddle.fleet.limit.wire.Heartbeat;
import sandpaddle.fleet.limit.wire.QuotaGrant;
import sandpaddle.fleet.member.Member;
import sandpaddle.fleet.member.Roster;
import sandpaddle.fleet.member.VoterPlan;
import sandpaddle.fleet.node.agree.FleetConfig;
import sandpaddle.fleet.node.agree.VoterThread;
import sandpaddle.fleet.node.pool.PoolAllocator;
import sandpaddle.fleet.pool.model.FleetState;
import sandpaddle.fleet.state.Consensus;
import sandpaddle.fleet.state.machine.CommandResult;
import sandpaddle.fleet.state.machine.FleetMembership;
import sandpaddle.fleet.state.machine.StateMachinePart;
import sandpaddle.fleet.state.machine.VersionedDocuments;

/**
 * The leader's tasks: proposes the newest configuration, reconciles members and limits with it, receives heartbeats,
 * allocates quotas, and keeps the voters spread over zones. It changes replicated state only by proposals, and those of
 * a former leader are refused. Owned by the fleet's thread.
 */
public final class FleetLeader {
    /**
     * The replicated state that the leader reads and changes.
     *
     * @param membershipPart encodes commands for the membership
     * @param membership the members and their endpoint numbers
     * @param documentsPart encodes commands for the documents
     * @param documents the replicated documents, of which one is the configuration
     * @param quotaPart encodes commands for the quota table
     * @param quotaTable the limits and quotas
     */
    public record Components(
            StateMachinePart membershipPart,
            FleetMembership membership,
            StateMachinePart documentsPart,
            VersionedDocuments documents,
            StateMachinePart quotaPart,
            QuotaTable quotaTable) {}

    private static final long RECONCILE_INTERVAL_US = 200_000; // of comparing members and limits with the config
    private static final long PROPOSAL_TIMEOUT_US = 1_000_000; // a proposal without an outcome is repeated then

    private final VoterThread voterThread;
    private final Components components;
    private final QuotaAllocator allocator;
    private final CommittedConfig committedConfig;
    private final PoolAllocator pools;
    private final VoterPlan voterPlan;
    private final String self;
    private final Map<String, VoterPlan.LastContact> lastContacts = new HashMap<>();
    private long term;
    private long leaderSinceUs;
    private long votersChangedAtUs = Long.MIN_VALUE / 2;
    private long reconciledAtUs = Long.MIN_VALUE / 2;
    private boolean isConfirming;
    private long proposedAtUs = Long.MIN_VALUE / 2;
    private int pendingProposals;

    /**
     * Creates the leader's tasks; they do nothing until this gateway is the leader.
     *
     * @param self name of this gateway
     * @param voterThread the consensus
     * @param components the replicated state
     * @param limits settings of limits
     * @param pools allocates the budgets of the pool policy
     * @param committedConfig the configuration in force
     * @param voterPlan settings of the choice of voters
     */
    public FleetLeader(
            String self,
            VoterThread voterThread,
            Components components,
            LimitSettings limits,
            PoolAllocator pools,
            CommittedConfig committedConfig,
            VoterPlan.Settings voterPlan) {
        this.self = self;
        this.voterThread = voterThread;
        this.components = components;
        this.committedConfig = committedConfig;
        this.voterPlan = new VoterPlan(voterPlan);
        allocator = new QuotaAllocator(limits, components.quotaTable(), pools);
        this.pools = pools;
    }

    /** A message of a gateway was received. */
    public void onContact(String member, long nowUs) {
        VoterPlan.LastContact before = lastContacts.get(member);
        lastContacts.put(member, new VoterPlan.LastContact(nowUs, before == null ? nowUs : before.continuousSinceUs()));
    }

    /** The link to a gateway went down. */
    public void onLinkDown(String member) {
        VoterPlan.LastContact before = lastContacts.remove(member);
        if (before != null) {
            lastContacts.put(member, new VoterPlan.LastContact(before.lastSeenUs(), Long.MAX_VALUE)); // not up
        }
    }

    /** The link to a gateway came up. */
    public void onLinkUp(String member, long nowUs) {
        lastContacts.put(member, new VoterPlan.LastContact(nowUs, nowUs));
    }

    /** A heartbeat of a gateway was received; passes it to the quota allocator. */
    public void onHeartbeat(long nowUs, String member, Heartbeat heartbeat) {
        onContact(member, nowUs);
        voterThread.read(() -> {
            allocator.receiveHeartbeat(nowUs, member, heartbeat);
            return null;
        });
    }

    /**
     * Runs the tasks that are due; to be called every few tens of milliseconds.
     *
     * @param nowUs monotonic time (us)
     * @param state the state of the fleet that the conditions of the pool policy are evaluated on
     * @param send sends a grant to its gateway
     */
    public void tick(long nowUs, FleetState state, Consumer<QuotaGrant> send) {
        VoterThread.Status status = voterThread.status();
        voterThread.read(() -> committedConfig.refresh(components.documents().document(FleetConfig.DOCUMENT_NAME)));
        if (!status.isLeader()) {
            if (term != 0) {
                term = 0;
                allocator.deposed();
                Logger.info(
                        "fleet: {} is no longer the leader; leader {}",
                        self,
                        status.leader().orElse("unknown"));
            }
            return;
        }
        if (status.term() != term) {
            term = status.term();
            leaderSinceUs = nowUs;
            pendingProposals = 0;
            isConfirming = false;
            allocator.elected(term);
            Logger.info("fleet: {} leads in term {}, voters {}", self, term, status.voters());
        }
        confirm(nowUs);
        if (pools.solve(nowUs, state)) {
            voterThread.read(() -> {
                allocator.markAllDirty();
                return null;
            });
        }
        if (nowUs - reconciledAtUs >= RECONCILE_INTERVAL_US
                && (pendingProposals == 0 || nowUs - proposedAtUs >= PROPOSAL_TIMEOUT_US)) {
            reconciledAtUs = nowUs;
            reconcile(nowUs, status);
        }
        AllocatorOutput output = voterThread.read(() -> allocator.tick(nowUs));
        output.proposals()
                .forEach(command -> voterThread.propose(
                        components.quotaPart().command(LimitCommandCodec.write(command)), this::logRefusal));
        output.grants().forEach(send);
    }

    /**
     * Confirms the leadership by a majority, one query at a time. If it is confirmed, leases may be renewed as of the
     * time of the query, since no other leader was elected before it.
     */
    private void confirm(long nowUs) {
        if (!isConfirming) {
            isConfirming = true;
            long confirmedTerm = term;
            voterThread.confirmLeadership(leads -> {
                if (confirmedTerm == term) {
                    isConfirming = false;
                    if (leads) {
                        voterThread.read(() -> {
                            allocator.onLeadershipConfirmed(nowUs);
                            return null;
                        });
                    }
                }
            });
        }
    }

    private void logRefusal(Consensus.ProposalOutcome outcome) {
        if (outcome instanceof Consensus.ProposalOutcome.Committed committed) {
            CommandResult result = CommandResult.parse(committed.result());
            if (!result.isAccepted()) {
                Logger.debug("fleet: a command was refused: {}", result.reason());
            }
        }
    }

    /**
     * Proposes the changes that members and limits need to match the configuration in force. If there are none, starts
     * the next change of the voters, if one is due.
     */
    private void reconcile(long nowUs, VoterThread.Status status) {
        List<byte[]> commands = voterThread.read(this::missingCommands);
        pendingProposals = commands.size();
        proposedAtUs = nowUs;
        commands.forEach(command -> voterThread.propose(command, outcome -> {
            pendingProposals--;
            logRefusal(outcome);
        }));
        if (commands.isEmpty()) {
            planVoters(nowUs, status);
        }
    }

    private List<byte[]> missingCommands() {
        List<byte[]> commands = new ArrayList<>();
        committedConfig
                .toPropose()
                .ifPresent(command -> commands.add(components.documentsPart().command(command)));
        FleetConfig config = committedConfig.current();
        if (config.version() == 0) {
            return commands;
        }
        for (Member member : config.members()) {
            Optional<Member> known = components.membership().member(member.name());
            // a member with a changed zone or address leaves now, and joins at the next reconciliation
            if (!known.equals(Optional.of(member))) {
                commands.add(components
                        .membershipPart()
                        .command(
                                known.isPresent()
                                        ? FleetMembership.leaveCommand(member.name())
                                        : FleetMembership.joinCommand(member)));
            }
            var row = components.quotaTable().members().get(member.name());
            if (row == null || row.leaving() || !row.zone().equals(member.zone())) {
                commands.add(quotaCommand(new LimitCommand.Join(member.name(), member.zone())));
            }
        }
        components.quotaTable().members().values().stream()
                .filter(row -> !row.leaving() && config.member(row.name()).isEmpty())
                .forEach(row -> commands.add(quotaCommand(new LimitCommand.Leave(row.name()))));
        components.membership().members().stream()
                .filter(member -> config.member(member.name()).isEmpty()
                        && !components.quotaTable().members().containsKey(member.name()))
                .forEach(member ->
                        commands.add(components.membershipPart().command(FleetMembership.leaveCommand(member.name()))));
        List<LimitSpec> limits = new ArrayList<>(config.limits());
        limits.addAll(pools.limits(components.quotaTable(), limits.size()));
        Map<String, LimitSpec> currentLimits = components.quotaTable().specs();
        if (components.quotaTable().epoch() == 0
                || limits.size() != currentLimits.size()
                || limits.stream().anyMatch(limit -> !limit.equals(currentLimits.get(limit.id())))) {
            commands.add(quotaCommand(new LimitCommand.SetLimits(
                    Math.max(config.version(), components.quotaTable().epoch() + 1), limits)));
        }
        return commands;
    }

    private byte[] quotaCommand(LimitCommand command) {
        return components.quotaPart().command(LimitCommandCodec.write(command));
    }

    private void planVoters(long nowUs, VoterThread.Status status) {
        Roster roster = voterThread.read(() -> Roster.of(components.membership().members()));
        if (!roster.contains(self)) {
            return;
        }
        lastContacts.put(self, new VoterPlan.LastContact(nowUs, leaderSinceUs));
        voterPlan
                .nextChange(
                        new VoterPlan.ClusterState(
                                roster,
                                status.voters(),
                                self,
                                Map.copyOf(lastContacts),
                                leaderSinceUs,
                                votersChangedAtUs),
                        nowUs)
                .ifPresent(change -> {
                    votersChangedAtUs = nowUs;
                    List<String> names = change.applyTo(status.voters());
                    Logger.info("fleet: voters {} are to become {}", status.voters(), names);
                    voterThread.changeVoters(names, this::logRefusal);
                });
    }
}
