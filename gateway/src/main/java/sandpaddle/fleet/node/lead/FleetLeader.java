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
 * The leader's tasks, on the fleet's thread: commits the newest configuration, brings members and limits in line with
 * it, receives heartbeats, moves quotas, and keeps the voters spread over zones. Everything it does is a proposal;
 * those of a former leader are refused.
 */
public final class FleetLeader {
    /** The replicated parts that this stands on. */
    public record Components(
            StateMachinePart members,
            FleetMembership membership,
            StateMachinePart policies,
            VersionedDocuments policy,
            StateMachinePart quotas,
            QuotaTable table) {}

    private static final long LINE_UP_US = 200_000; // between two looks at whether members and limits are in line
    private static final long ANSWER_US = 1_000_000; // a proposal that was not answered is made again

    private final VoterThread voters;
    private final Components parts;
    private final QuotaAllocator allocator;
    private final CommittedConfig committedConfig;
    private final PoolAllocator pools;
    private final VoterPlan plan;
    private final String self;
    private final Map<String, VoterPlan.LastContact> heard = new HashMap<>();
    private long term;
    private long ledSince;
    private long changedAt = Long.MIN_VALUE / 2;
    private long linedUpAt = Long.MIN_VALUE / 2;
    private boolean confirming;
    private long pendingSince = Long.MIN_VALUE / 2;
    private int pending;

    public FleetLeader(
            String self,
            VoterThread voters,
            Components parts,
            LimitSettings limits,
            PoolAllocator pools,
            CommittedConfig committedConfig,
            VoterPlan.Settings plan) {
        this.self = self;
        this.voters = voters;
        this.parts = parts;
        this.committedConfig = committedConfig;
        this.plan = new VoterPlan(plan);
        allocator = new QuotaAllocator(limits, parts.table(), pools);
        this.pools = pools;
    }

    /** A gateway was heard. */
    public void heard(String member, long nowUs) {
        VoterPlan.LastContact before = heard.get(member);
        heard.put(member, new VoterPlan.LastContact(nowUs, before == null ? nowUs : before.continuousSinceUs()));
    }

    /** Its link is down. */
    public void lost(String member) {
        VoterPlan.LastContact before = heard.remove(member);
        if (before != null) {
            heard.put(member, new VoterPlan.LastContact(before.lastSeenUs(), Long.MAX_VALUE)); // up since never
        }
    }

    /** Its link is up. */
    public void met(String member, long nowUs) {
        heard.put(member, new VoterPlan.LastContact(nowUs, nowUs));
    }

    public void beat(long nowUs, String member, Heartbeat beat) {
        heard(member, nowUs);
        voters.read(() -> {
            allocator.receiveHeartbeat(nowUs, member, beat);
            return null;
        });
    }

    /** To be called every few tens of milliseconds, with what conditions are judged by; grants go to {@code send}. */
    public void tick(long nowUs, FleetState state, Consumer<QuotaGrant> send) {
        VoterThread.Status status = voters.status();
        voters.read(() -> committedConfig.read(parts.policy().document(FleetConfig.NAME)));
        if (!status.leads()) {
            if (term != 0) {
                term = 0;
                allocator.deposed();
                Logger.info(
                        "fleet: {} leads no more; leader {}",
                        self,
                        status.leader().orElse("unknown"));
            }
            return;
        }
        if (status.term() != term) {
            term = status.term();
            ledSince = nowUs;
            pending = 0;
            confirming = false;
            allocator.elected(term);
            Logger.info("fleet: {} leads in term {}, voters {}", self, term, status.voters());
        }
        confirm(nowUs);
        if (pools.solve(nowUs, state)) {
            voters.read(() -> {
                allocator.markAllDirty();
                return null;
            });
        }
        if (nowUs - linedUpAt >= LINE_UP_US && (pending == 0 || nowUs - pendingSince >= ANSWER_US)) {
            linedUpAt = nowUs;
            lineUp(nowUs, status);
        }
        AllocatorOutput turn = voters.read(() -> allocator.tick(nowUs));
        turn.proposals().forEach(c -> voters.propose(parts.quotas().command(LimitCommandCodec.write(c)), this::told));
        turn.grants().forEach(send);
    }

    /** One question at a time whether a majority still follows: leases may be renewed as of when it was asked. */
    private void confirm(long nowUs) {
        if (!confirming) {
            confirming = true;
            long of = term;
            voters.confirm(leads -> {
                if (of == term) {
                    confirming = false;
                    if (leads) {
                        voters.read(() -> {
                            allocator.onLeadershipConfirmed(nowUs);
                            return null;
                        });
                    }
                }
            });
        }
    }

    private void told(Consensus.ProposalOutcome outcome) {
        if (outcome instanceof Consensus.ProposalOutcome.Committed d) {
            CommandResult answer = CommandResult.parse(d.result());
            if (!answer.isAccepted()) {
                Logger.debug("fleet: a command was refused: {}", answer.reason());
            }
        }
    }

    /** Proposes what members and limits lack against what rules; then the next change of voters, if one is due. */
    private void lineUp(long nowUs, VoterThread.Status status) {
        List<byte[]> commands = voters.read(this::missing);
        pending = commands.size();
        pendingSince = nowUs;
        commands.forEach(c -> voters.propose(c, o -> {
            pending--;
            told(o);
        }));
        if (commands.isEmpty()) {
            replan(nowUs, status);
        }
    }

    private List<byte[]> missing() {
        List<byte[]> commands = new ArrayList<>();
        committedConfig.toPropose().ifPresent(c -> commands.add(parts.policies().command(c)));
        FleetConfig agreed = committedConfig.agreed();
        if (agreed.version() == 0) {
            return commands;
        }
        for (Member member : agreed.members()) {
            Optional<Member> known = parts.membership().member(member.name());
            if (!known.equals(Optional.of(member))) { // one that moved leaves first, and joins with the next look
                commands.add(parts.members()
                        .command(
                                known.isPresent()
                                        ? FleetMembership.leaveCommand(member.name())
                                        : FleetMembership.joinCommand(member)));
            }
            var row = parts.table().members().get(member.name());
            if (row == null || row.leaving() || !row.zone().equals(member.zone())) {
                commands.add(quotas(new LimitCommand.Join(member.name(), member.zone())));
            }
        }
        parts.table().members().values().stream()
                .filter(r -> !r.leaving() && agreed.member(r.name()).isEmpty())
                .forEach(r -> commands.add(quotas(new LimitCommand.Leave(r.name()))));
        parts.membership().members().stream()
                .filter(member -> agreed.member(member.name()).isEmpty()
                        && !parts.table().members().containsKey(member.name()))
                .forEach(member -> commands.add(parts.members().command(FleetMembership.leaveCommand(member.name()))));
        List<LimitSpec> limits = new ArrayList<>(agreed.limits());
        limits.addAll(pools.limits(parts.table(), limits.size()));
        Map<String, LimitSpec> stand = parts.table().specs();
        if (parts.table().epoch() == 0
                || limits.size() != stand.size()
                || limits.stream().anyMatch(l -> !l.equals(stand.get(l.id())))) {
            commands.add(quotas(new LimitCommand.SetLimits(
                    Math.max(agreed.version(), parts.table().epoch() + 1), limits)));
        }
        return commands;
    }

    private byte[] quotas(LimitCommand command) {
        return parts.quotas().command(LimitCommandCodec.write(command));
    }

    private void replan(long nowUs, VoterThread.Status status) {
        Roster roster = voters.read(() -> Roster.of(parts.membership().members()));
        if (!roster.contains(self)) {
            return;
        }
        heard.put(self, new VoterPlan.LastContact(nowUs, ledSince));
        plan.nextChange(
                        new VoterPlan.ClusterState(
                                roster, status.voters(), self, Map.copyOf(heard), ledSince, changedAt),
                        nowUs)
                .ifPresent(change -> {
                    changedAt = nowUs;
                    List<String> names = change.applyTo(status.voters());
                    Logger.info("fleet: voters {} are to become {}", status.voters(), names);
                    voters.changeVoters(names, this::told);
                });
    }
}
