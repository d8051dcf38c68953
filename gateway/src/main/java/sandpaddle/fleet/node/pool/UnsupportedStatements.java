package sandpaddle.fleet.node.pool;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;
import sandpaddle.fleet.pool.model.Condition;
import sandpaddle.fleet.pool.model.Phase;
import sandpaddle.fleet.pool.model.Policy;
import sandpaddle.fleet.pool.model.Selector.Dimension;
import sandpaddle.fleet.pool.model.Statement;

/**
 * Finds statements of a valid policy that this version does not implement. They are logged when the policy comes into
 * force.
 */
final class UnsupportedStatements {
    private UnsupportedStatements() {}

    /** A warning for each such statement, in the order of the file, at most {@value #MAX_PER_REASON} for a reason. */
    static List<String> warnings(Policy policy) {
        List<String> warnings = new ArrayList<>();
        policy.shares().stream()
                .filter(UnsupportedStatements::isOfClass)
                .sorted(Comparator.comparing(Statement::position))
                .limit(MAX_PER_REASON)
                .forEach(share -> warnings.add("line " + share.position().line() + ": " + share.selector()
                        + ": gateways report " + "demand by tenant only, so a statement about classes has no effect"));
        Stream.of(policy.budgets(), policy.reserves(), policy.borrows(), policy.shares())
                .flatMap(Collection<? extends Statement>::stream)
                .filter(statement -> statement.conditions().stream().anyMatch(UnsupportedStatements::neverHolds))
                .sorted(Comparator.comparing(Statement::position))
                .limit(MAX_PER_REASON)
                .forEach(statement ->
                        warnings.add("line " + statement.position().line() + ": conditions on storm, recovery and "
                                + "outages never hold in this version, so this statement has no effect"));
        return warnings;
    }

    private static final int MAX_PER_REASON = 3;

    private static boolean isOfClass(Statement.Share share) {
        return share.selector().forms().stream().anyMatch(form -> form.dimension() == Dimension.CLASS);
    }

    /** Whether the condition is always false: {@code PoolCoordinator} always states calm and no expected outages. */
    private static boolean neverHolds(Condition condition) {
        return condition instanceof Condition.InPhase inPhase && inPhase.phase() != Phase.CALM
                || condition instanceof Condition.OutageWithin
                || condition instanceof Condition.OutageLasts;
    }
}
