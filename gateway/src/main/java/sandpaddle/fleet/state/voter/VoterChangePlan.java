package sandpaddle.fleet.state.voter;

import io.microraft.MembershipChangeMode;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import sandpaddle.fleet.state.machine.FleetMembership;
import sandpaddle.fleet.state.raft.VoterEndpoint;

/**
 * Plans the next step from the current voters to the requested ones, one member at a time (Ongaro's thesis, chapter 4):
 * an endpoint number is issued through the log, the gateway is invited under it, catches up as a learner until it has
 * nearly all of the log, and is promoted; only then is the voter that it replaces removed. So there are never fewer
 * voters than before, and a new voter without a log never counts towards a majority.
 */
public final class VoterChangePlan {
    /** Max number of entries that a learner may lack when it is promoted. */
    public static final long MAX_LEARNER_LAG = 64;

    private VoterChangePlan() {}

    /**
     * The leader's view of the group.
     *
     * @param self the leader
     * @param all committed members, including learners
     * @param voting committed members that vote
     * @param requested names of the gateways that should vote
     * @param abandoned endpoints that their gateway no longer has
     * @param accepted endpoints that have sent a join request
     * @param matchIndexes match index of each follower
     * @param lastIndex last index of the leader's log
     * @param numbers looks up the endpoint numbers of a name
     */
    public record GroupView(
            VoterEndpoint self,
            List<VoterEndpoint> all,
            List<VoterEndpoint> voting,
            List<String> requested,
            Set<VoterEndpoint> abandoned,
            Set<VoterEndpoint> accepted,
            Map<VoterEndpoint, Long> matchIndexes,
            long lastIndex,
            Function<String, FleetMembership.EndpointNumbers> numbers) {
        boolean isRequested(VoterEndpoint endpoint) {
            return requested.contains(endpoint.name()) && !abandoned.contains(endpoint);
        }

        boolean votes(String name) {
            return voting.stream().anyMatch(voter -> voter.name().equals(name) && !abandoned.contains(voter));
        }

        boolean isLearner(VoterEndpoint endpoint) {
            return all.contains(endpoint) && !voting.contains(endpoint);
        }
    }

    /** A step of the plan. */
    public sealed interface Step {
        /**
         * Replicate the issue of an endpoint number.
         *
         * @param name name of the gateway
         * @param number the number to issue
         */
        record IssueNumber(String name, int number) implements Step {}

        /**
         * Invite a gateway.
         *
         * @param endpoint the endpoint to take part as
         */
        record Invite(VoterEndpoint endpoint) implements Step {}

        /**
         * Change one member of the group.
         *
         * @param endpoint the member
         * @param mode the kind of change
         */
        record ChangeMember(VoterEndpoint endpoint, MembershipChangeMode mode) implements Step {}

        /**
         * Transfer the leadership; the next leader continues the change.
         *
         * @param to the voter that becomes the leader
         */
        record TransferLeadership(VoterEndpoint to) implements Step {}

        /**
         * Wait until a learner has caught up.
         *
         * @param learner the learner
         */
        record AwaitLearner(VoterEndpoint learner) implements Step {}

        /** The voters are the requested ones. */
        record Complete() implements Step {}
    }

    /** The next step. */
    public static Step next(GroupView view) {
        return nextForLearner(view)
                .or(() -> nextForMissing(view))
                .or(() -> nextForSurplus(view))
                .orElse(new Step.Complete());
    }

    private static Optional<Step> nextForLearner(GroupView view) {
        for (VoterEndpoint endpoint : view.all()) {
            if (!view.isLearner(endpoint)) {
                continue;
            }
            if (!view.isRequested(endpoint) || view.votes(endpoint.name())) {
                return Optional.of(new Step.ChangeMember(endpoint, MembershipChangeMode.REMOVE_MEMBER));
            }
            boolean caughtUp = view.matchIndexes().getOrDefault(endpoint, 0L) + MAX_LEARNER_LAG >= view.lastIndex()
                    && view.matchIndexes().getOrDefault(endpoint, 0L) > 0;
            return Optional.of(
                    caughtUp
                            ? new Step.ChangeMember(endpoint, MembershipChangeMode.ADD_OR_PROMOTE_TO_FOLLOWER)
                            : new Step.AwaitLearner(endpoint));
        }
        return Optional.empty();
    }

    private static Optional<Step> nextForMissing(GroupView view) {
        Step invite = null;
        for (String name : view.requested()) {
            if (view.votes(name)) {
                continue;
            }
            FleetMembership.EndpointNumbers numbers = view.numbers().apply(name);
            VoterEndpoint next = new VoterEndpoint(name, numbers.issued());
            boolean usable = numbers.issued() > 1
                    && numbers.retired() < numbers.issued()
                    && !view.abandoned().contains(next)
                    && !view.all().contains(next);
            if (!usable) {
                return Optional.of(new Step.IssueNumber(name, numbers.issued() + 1));
            }
            if (view.accepted().contains(next)) {
                return Optional.of(new Step.ChangeMember(next, MembershipChangeMode.ADD_LEARNER));
            }
            invite = new Step.Invite(next);
        }
        return Optional.ofNullable(invite);
    }

    private static Optional<Step> nextForSurplus(GroupView view) {
        Optional<VoterEndpoint> surplus = view.voting().stream()
                .filter(endpoint -> !view.isRequested(endpoint))
                .min(Comparator.comparing((VoterEndpoint endpoint) -> endpoint.equals(view.self())));
        if (surplus.isEmpty() || view.voting().size() == 1) {
            return Optional.empty();
        }
        if (!surplus.get().equals(view.self())) {
            return Optional.of(new Step.ChangeMember(surplus.get(), MembershipChangeMode.REMOVE_MEMBER));
        }
        return view.voting().stream().filter(view::isRequested).findFirst().map(Step.TransferLeadership::new);
    }
}
