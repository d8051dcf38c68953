package sandpaddle.fleet.pool.check;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import sandpaddle.fleet.pool.model.DiagnosticList;
import sandpaddle.fleet.pool.model.PolicyLimits;
import sandpaddle.fleet.pool.model.Selector;
import sandpaddle.fleet.pool.model.Selector.Form;
import sandpaddle.fleet.pool.model.Selector.Term;
import sandpaddle.fleet.pool.model.Statement;
import sandpaddle.fleet.pool.model.Statement.Share;

/**
 * The share statements by selector, where statements on a group are expanded to one selector for each of its tenants.
 */
record Expansion(Map<Selector, List<Share>> sharesBySelector) {
    /** Expands the statements; if there are more selectors than allowed, reports an error and returns empty. */
    static Optional<Expansion> of(
            List<Statement> statements, Map<String, Set<String>> groups, DiagnosticList diagnostics) {
        Map<Selector, List<Share>> sharesBySelector = new LinkedHashMap<>();
        int size = 0;
        for (Statement statement : statements) {
            if (statement instanceof Share share) {
                List<Selector> selectors = expand(share.selector(), groups);
                size += selectors.size();
                if (size > PolicyLimits.MAX_EXPANDED_SELECTORS) {
                    diagnostics.error(
                            share.position(),
                            "statements on groups that stand for more than " + PolicyLimits.MAX_EXPANDED_SELECTORS
                                    + " selections",
                            PolicyLimits.MAX_EXPANDED_SELECTORS + " at most");
                    return Optional.empty();
                }
                selectors.forEach(expanded -> sharesBySelector
                        .computeIfAbsent(expanded, k -> new ArrayList<>(2))
                        .add(share));
            }
        }
        return Optional.of(new Expansion(sharesBySelector));
    }

    private static List<Selector> expand(Selector selector, Map<String, Set<String>> groups) {
        Term first = selector.terms().get(0);
        if (first.form() != Form.GROUP) {
            return List.of(selector);
        }
        List<Selector> selectors = new ArrayList<>();
        for (String tenant : groups.getOrDefault(first.name(), Set.of())) {
            List<Term> terms = new ArrayList<>(selector.terms());
            terms.set(0, new Term(Form.TENANT, tenant));
            selectors.add(new Selector(terms));
        }
        return selectors;
    }
}
