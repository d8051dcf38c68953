package sandpaddle.fleet.pool.rule;

import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import sandpaddle.fleet.pool.model.FleetState;
import sandpaddle.fleet.pool.model.Policy;
import sandpaddle.fleet.pool.model.Selector.Dimension;
import sandpaddle.fleet.pool.model.Selector.Term;
import sandpaddle.fleet.pool.model.Statement;
import sandpaddle.fleet.pool.model.Statement.Share;

/** The weights, floors and ceilings of a policy that apply in one state of the fleet, indexed by subject. */
public final class Shares {
    private final ShareIndex weights;
    private final ShareIndex floors;
    private final ShareIndex ceilings;

    private Shares(Policy policy, FleetState state) {
        List<Share> shares =
                policy.shares().stream().filter(s -> s.holds(state)).toList();
        Map<String, List<String>> groupsByTenant = ShareIndex.groupsByTenant(policy.groups());
        weights = new ShareIndex(shares, s -> s.weight().isPresent(), groupsByTenant);
        floors = new ShareIndex(shares, s -> s.floor().isPresent(), groupsByTenant);
        ceilings = new ShareIndex(shares, s -> s.ceiling().isPresent(), groupsByTenant);
    }

    /** Selects the share statements whose conditions hold in the given state. */
    public static Shares of(Policy policy, FleetState state) {
        return new Shares(policy, state);
    }

    /**
     * The weight of a subject in millionths, 1 to 10^12: the product of the weights of tenant, class and place, each
     * from the statement that takes precedence. A statement of several terms covers all their dimensions at once. The
     * weight of a dimension that no statement covers is 1.
     */
    public long weight(ShareIndex.Subject subject) {
        List<Share> matching = weights.matching(subject);
        matching.sort(Statement.PRECEDENCE.reversed());
        Set<Dimension> coveredDimensions = EnumSet.noneOf(Dimension.class);
        long weight = 1;
        for (Share share : matching) {
            boolean isUncovered = true;
            for (Term term : share.selector().terms()) {
                isUncovered &= !coveredDimensions.contains(term.form().dimension());
            }
            if (isUncovered) {
                share.selector()
                        .terms()
                        .forEach(t -> coveredDimensions.add(t.form().dimension()));
                weight *= share.weight().getAsInt();
                for (int i = 1; i < share.selector().terms().size(); i++) {
                    weight *= 100; // covers one more dimension, with a factor of 1.00
                }
            }
        }
        for (int i = coveredDimensions.size(); i < Dimension.values().length; i++) {
            weight *= 100;
        }
        return weight;
    }

    /** The statements that set a floor. */
    public ShareIndex floors() {
        return floors;
    }

    /** The statements that set a ceiling. */
    public ShareIndex ceilings() {
        return ceilings;
    }
}
