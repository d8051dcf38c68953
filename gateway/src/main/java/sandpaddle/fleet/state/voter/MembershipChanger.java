package sandpaddle.fleet.state.voter;

import io.microraft.MembershipChangeMode;
import io.microraft.RaftEndpoint;
import io.microraft.report.RaftNodeReport;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.stream.Collectors;
import sandpaddle.fleet.state.Consensus.ProposalOutcome;
import sandpaddle.fleet.state.machine.FleetMembership;
import sandpaddle.fleet.state.machine.StateMachinePart;
import sandpaddle.fleet.state.raft.GroupMembers;
import sandpaddle.fleet.state.raft.RaftIncarnation;
import sandpaddle.fleet.state.raft.VoterEndpoint;

/**
 * Executes the steps of {@link VoterChangePlan} while this gateway is the leader, one at a time. Owned by {@link
 * VoterState}.
 */
final class MembershipChanger {
    /** Interval between two steps (us). */
    static final long STEP_INTERVAL_US = 200_000;
    /** A change that takes longer is abandoned with an unknown outcome; completed steps are not reverted (us). */
    static final long TIMEOUT_US = 120_000_000;
    /** Max number of abandoned endpoints; more than a group can have. */
    static final int MAX_ABANDONED = 32;

    private record PendingChange(List<String> names, long startedAtUs, Consumer<ProposalOutcome> outcome) {}

    /** Access to the voter. */
    interface Callbacks {
        /** Sends an invitation to vote. */
        void invite(VoterEndpoint endpoint, List<VoterEndpoint> voters);

        /** Whether this endpoint was ever accepted here. */
        boolean hasAccepted(VoterEndpoint endpoint);

        /** The endpoint numbers of a name. */
        FleetMembership.EndpointNumbers numbers(String name);

        /** Logs a line. */
        void log(String message);
    }

    private final VoterEndpoint self;
    private final StateMachinePart membership;
    private final Callbacks callbacks;
    private final Set<VoterEndpoint> abandoned = new LinkedHashSet<>();
    private Optional<PendingChange> pendingChange = Optional.empty();
    private boolean isStepRunning;
    private long nextStepAtUs;

    MembershipChanger(VoterEndpoint self, StateMachinePart membership, Callbacks callbacks) {
        this.self = self;
        this.membership = membership;
        this.callbacks = callbacks;
    }

    /** A gateway reports that it no longer has this endpoint. */
    void onEndpointAbandoned(VoterEndpoint endpoint) {
        if (abandoned.size() < MAX_ABANDONED) {
            abandoned.add(endpoint);
        }
    }

    /** Replaces the voters; {@code outcome} is called once. */
    void change(List<String> names, long now, Consumer<ProposalOutcome> outcome) {
        if (pendingChange.isPresent()) {
            outcome.accept(new ProposalOutcome.Unknown("another change of the voters is in progress"));
            return;
        }
        pendingChange = Optional.of(new PendingChange(List.copyOf(names), now, outcome));
    }

    /** This gateway is no longer the leader. */
    void end(Optional<String> leader) {
        isStepRunning = false;
        finish(new ProposalOutcome.NotLeader(leader));
    }

    private void finish(ProposalOutcome outcome) {
        Optional<PendingChange> finished = pendingChange;
        pendingChange = Optional.empty();
        finished.ifPresent(change -> change.outcome().accept(outcome));
    }

    long nextRunAtUs() {
        return nextStepAtUs;
    }

    void step(RaftIncarnation incarnation, long now) {
        if (isStepRunning || now < nextStepAtUs) {
            return;
        }
        nextStepAtUs = now + STEP_INTERVAL_US;
        GroupMembers members = incarnation.committedMembers();
        abandoned.retainAll(members.all()); // others were removed already, or are not members yet
        if (pendingChange.isPresent() && now - pendingChange.get().startedAtUs() > TIMEOUT_US) {
            finish(new ProposalOutcome.Unknown("the change of the voters did not complete within "
                    + TIMEOUT_US / 1_000_000 + " s; voters are " + members.voting()));
        }
        if (pendingChange.isEmpty() && abandoned.isEmpty() && members.all().equals(members.voting())) {
            return;
        }
        if (members.index() != incarnation.effectiveMembers().index()) {
            return; // a change is not committed yet
        }
        isStepRunning = true;
        incarnation.report((report, failure) -> {
            isStepRunning = false;
            if (failure == null) {
                planStep(incarnation, members, report.getResult());
            }
        });
    }

    private void planStep(RaftIncarnation incarnation, GroupMembers members, RaftNodeReport report) {
        List<String> requested = pendingChange
                .map(PendingChange::names)
                .orElseGet(() -> new ArrayList<>(new LinkedHashSet<>(names(members.voting()))));
        Function<String, FleetMembership.EndpointNumbers> numbers = callbacks::numbers;
        Set<VoterEndpoint> accepted = requested.stream()
                .map(name -> new VoterEndpoint(name, numbers.apply(name).issued()))
                .filter(callbacks::hasAccepted)
                .collect(Collectors.toSet());
        Map<VoterEndpoint, Long> matchIndexes =
                new TreeMap<>((left, right) -> left.toString().compareTo(right.toString()));
        for (Map.Entry<RaftEndpoint, Long> entry :
                report.getLog().getFollowerMatchIndices().entrySet()) {
            matchIndexes.put((VoterEndpoint) entry.getKey(), entry.getValue());
        }
        VoterChangePlan.Step step = VoterChangePlan.next(new VoterChangePlan.GroupView(
                self,
                members.all(),
                members.voting(),
                requested,
                abandoned,
                accepted,
                matchIndexes,
                report.getLog().getLastLogOrSnapshotIndex(),
                numbers));
        execute(incarnation, members, step);
    }

    private static List<String> names(List<VoterEndpoint> endpoints) {
        return endpoints.stream().map(VoterEndpoint::name).toList();
    }

    private void execute(RaftIncarnation incarnation, GroupMembers members, VoterChangePlan.Step step) {
        if (step instanceof VoterChangePlan.Step.IssueNumber issue) {
            replicate(incarnation, FleetMembership.issueCommand(issue.name(), issue.number()));
        } else if (step instanceof VoterChangePlan.Step.Invite invite) {
            callbacks.invite(invite.endpoint(), members.voting());
        } else if (step instanceof VoterChangePlan.Step.ChangeMember change) {
            change(incarnation, members, change);
        } else if (step instanceof VoterChangePlan.Step.TransferLeadership transfer) {
            callbacks.log("transfers the leadership to " + transfer.to() + ", since this voter is to be removed");
            incarnation.transferLeadership(transfer.to());
        } else if (step instanceof VoterChangePlan.Step.Complete) {
            finish(new ProposalOutcome.Committed(members.index(), new byte[0]));
        }
    }

    private void change(RaftIncarnation incarnation, GroupMembers members, VoterChangePlan.Step.ChangeMember change) {
        isStepRunning = true;
        callbacks.log("changes the voters from " + members.voting() + ": " + change.mode() + " " + change.endpoint());
        incarnation.changeMember(change.endpoint(), change.mode(), members.index(), (result, failure) -> {
            isStepRunning = false;
            if (failure == null && change.mode() == MembershipChangeMode.REMOVE_MEMBER) {
                abandoned.remove(change.endpoint());
                replicate(
                        incarnation,
                        FleetMembership.retireCommand(
                                change.endpoint().name(), change.endpoint().number()));
            }
        });
    }

    private void replicate(RaftIncarnation incarnation, byte[] command) {
        isStepRunning = true;
        incarnation.replicate(membership.command(command), (result, failure) -> isStepRunning = false);
    }
}
