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
 * Statements of a valid policy that this version does not carry out; they are logged when the policy comes into force.
 */
final class UnsupportedStatements {
    private UnsupportedStatements() {}

    /** A line for each of the first such statements, 3 for each kind of reason, in the order of the file. */
    static List<String> notes(Policy policy) {
        List<String> notes = new ArrayList<>();
        policy.shares().stream()
                .filter(UnsupportedStatements::isOfClass)
                .sorted(Comparator.comparing(Statement::position))
                .limit(MAX_LISTED)
                .forEach(s -> notes.add("line " + s.position().line() + ": " + s.selector()
                        + ": gateways tell demand by tenant, " + "so what is said of classes has no effect"));
        Stream.of(policy.budgets(), policy.reserves(), policy.borrows(), policy.shares())
                .flatMap(Collection<? extends Statement>::stream)
                .filter(s -> s.conditions().stream().anyMatch(UnsupportedStatements::neverHolds))
                .sorted(Comparator.comparing(Statement::position))
                .limit(MAX_LISTED)
                .forEach(s ->
                        notes.add("line " + s.position().line() + ": conditions on storm, recovery and outages do not "
                                + "hold in this version, so this statement has no effect"));
        return notes;
    }

    private static final int MAX_LISTED = 3;

    private static boolean isOfClass(Statement.Share share) {
        return share.selector().forms().stream().anyMatch(f -> f.dimension() == Dimension.CLASS);
    }

    /** The leader knows of calm alone, and of no foreseen outage ({@code PoolSide.state}). */
    private static boolean neverHolds(Condition condition) {
        return condition instanceof Condition.InPhase p && p.phase() != Phase.CALM
                || condition instanceof Condition.OutageWithin
                || condition instanceof Condition.OutageLasts;
    }
}
