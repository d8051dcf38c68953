package sandpaddle.fleet.pool.check;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import sandpaddle.fleet.pool.lang.ParsedPolicy;
import sandpaddle.fleet.pool.lang.PolicyReader;
import sandpaddle.fleet.pool.model.DiagnosticList;
import sandpaddle.fleet.pool.model.KnownNames;
import sandpaddle.fleet.pool.model.Policy;
import sandpaddle.fleet.pool.model.SourcePosition;
import sandpaddle.fleet.pool.model.Statement;
import sandpaddle.fleet.pool.model.Statement.Borrow;
import sandpaddle.fleet.pool.model.Statement.Budget;
import sandpaddle.fleet.pool.model.Statement.Reserve;
import sandpaddle.fleet.pool.model.Statement.Share;

/**
 * Parses a policy and reports all its errors at once. Statements with errors are excluded from the checks between
 * statements, and checks of the policy as a whole run only if all statements could be parsed, so that one error does
 * not cause others.
 */
public final class PolicyChecker {
    private PolicyChecker() {}

    /** Returns the policy; empty if it has an error. */
    public static Optional<Policy> check(byte[] file, KnownNames known, DiagnosticList diagnostics) {
        ParsedPolicy parsed = PolicyReader.read(file, diagnostics);
        boolean readable = diagnostics.errorCount() == 0;
        checkHeader(parsed, readable, diagnostics);
        Map<String, Set<String>> groups = Groups.resolve(parsed, diagnostics);
        Set<String> tenants = NamesCheck.check(parsed, groups, known, diagnostics);
        ConditionsCheck conditions = new ConditionsCheck(diagnostics);
        for (Statement statement : parsed.statements) {
            conditions.check(statement);
        }
        Optional<Expansion> expansion = Expansion.of(parsed.statements, groups, diagnostics);
        if (expansion.isPresent() && !diagnostics.isErrorLimitReached()) {
            new ShadowCheck(diagnostics).check(parsed.statements, expansion.get());
        }
        Policy policy = policy(parsed, groups, tenants);
        if (policy.budgets().isEmpty() && readable) {
            diagnostics.warning(
                    new SourcePosition(1, 1),
                    "a policy without a budget",
                    "a budget, without which nothing is limited");
        }
        if (readable && expansion.isPresent() && !diagnostics.isErrorLimitReached()) {
            new ScenarioCheck(policy, expansion.get(), known, diagnostics).check(parsed.statements);
        }
        return diagnostics.errorCount() > 0 ? Optional.empty() : Optional.of(policy);
    }

    private static void checkHeader(ParsedPolicy parsed, boolean readable, DiagnosticList diagnostics) {
        if (parsed.headers.isEmpty() && readable) {
            diagnostics.error(
                    new SourcePosition(1, 1), "no statement that names the policy", "policy \"name\" version 1");
        }
        for (int i = 1; i < parsed.headers.size(); i++) {
            diagnostics.error(
                    parsed.headers.get(i).position(),
                    "a second name of the policy",
                    "one, which line " + parsed.headers.get(0).position().line() + " has");
        }
    }

    private static Policy policy(ParsedPolicy parsed, Map<String, Set<String>> groups, Set<String> tenants) {
        List<Budget> budgets = new ArrayList<>();
        List<Reserve> reserves = new ArrayList<>();
        List<Borrow> borrows = new ArrayList<>();
        List<Share> shares = new ArrayList<>();
        for (Statement statement : parsed.statements) {
            if (statement instanceof Budget budget) {
                budgets.add(budget);
            } else if (statement instanceof Reserve reserve) {
                reserves.add(reserve);
            } else if (statement instanceof Borrow borrow) {
                borrows.add(borrow);
            } else if (statement instanceof Share share) {
                shares.add(share);
            }
        }
        String name = parsed.headers.isEmpty() ? "" : parsed.headers.get(0).name();
        int version = parsed.headers.isEmpty() ? 0 : parsed.headers.get(0).version();
        return new Policy(
                name,
                version,
                Collections.unmodifiableMap(new TreeMap<>(groups)),
                Collections.unmodifiableSet(new TreeSet<>(tenants)),
                List.copyOf(budgets),
                List.copyOf(reserves),
                List.copyOf(borrows),
                List.copyOf(shares));
    }
}
