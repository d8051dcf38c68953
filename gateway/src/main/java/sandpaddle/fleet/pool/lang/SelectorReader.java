package sandpaddle.fleet.pool.lang;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import org.antlr.v4.runtime.tree.TerminalNode;
import sandpaddle.fleet.pool.lang.ParsedPolicy.NameReference;
import sandpaddle.fleet.pool.lang.ParsedPolicy.Subject;
import sandpaddle.fleet.pool.lang.PoolPolicyParser.SelectorContext;
import sandpaddle.fleet.pool.model.DiagnosticList;
import sandpaddle.fleet.pool.model.Selector;
import sandpaddle.fleet.pool.model.Selector.Dimension;
import sandpaddle.fleet.pool.model.Selector.Form;
import sandpaddle.fleet.pool.model.Selector.Term;

/** Converts the parsed selectors of a share statement into one {@link Selector} with at most one term per dimension. */
final class SelectorReader {
    private final ParsedPolicy parsed;
    private final DiagnosticList diagnostics;
    private final Literals literals;

    SelectorReader(ParsedPolicy parsed, DiagnosticList diagnostics, Literals literals) {
        this.parsed = parsed;
        this.diagnostics = diagnostics;
        this.literals = literals;
    }

    Selector read(List<SelectorContext> context, boolean hasWeight) {
        Map<Dimension, Term> terms = new EnumMap<>(Dimension.class);
        for (SelectorContext selector : context) {
            Term term = term(selector);
            if (term.form() == Form.GROUP_TOTAL && hasWeight) {
                diagnostics.error(
                        LineErrorStrategy.positionOf(
                                selector.tenant().TOGETHER().getSymbol()),
                        "'together' with a weight",
                        "'together' with floor and ceiling only, for a weight belongs to each tenant");
            }
            Term first = terms.putIfAbsent(term.form().dimension(), term);
            if (first != null) {
                diagnostics.error(
                        LineErrorStrategy.positionOf(selector.getStart()),
                        term + " beside " + first,
                        "one tenant or group, one class, and one hall or gateway");
            }
        }
        return new Selector(List.copyOf(terms.values()));
    }

    private Term term(SelectorContext context) {
        if (context.DEFAULT() != null) {
            return new Term(
                    switch (context.getStop().getType()) {
                        case PoolPolicyParser.TENANT -> Form.ANY_TENANT;
                        case PoolPolicyParser.CLASS -> Form.ANY_CLASS;
                        case PoolPolicyParser.HALL -> Form.ANY_ZONE;
                        default -> Form.ANY_GATEWAY;
                    },
                    "");
        }
        if (context.TENANT() == null) {
            return switch (context.getStart().getType()) {
                case PoolPolicyParser.CLASS -> namedTerm(Form.CLASS, Subject.CLASS, context.STRING());
                case PoolPolicyParser.HALL -> namedTerm(Form.ZONE, Subject.ZONE, context.STRING());
                default -> namedTerm(Form.GATEWAY, Subject.GATEWAY, context.STRING());
            };
        }
        if (context.tenant().STRING() != null) {
            return namedTerm(Form.TENANT, Subject.TENANT, context.tenant().STRING());
        }
        PoolPolicyParser.GroupNameContext group = context.tenant().groupName();
        parsed.references.add(
                new NameReference(LineErrorStrategy.positionOf(group.getStart()), Subject.GROUP, group.getText()));
        return new Term(context.tenant().TOGETHER() == null ? Form.GROUP : Form.GROUP_TOTAL, group.getText());
    }

    private Term namedTerm(Form form, Subject subject, TerminalNode node) {
        String name = literals.name(node);
        parsed.references.add(new NameReference(LineErrorStrategy.positionOf(node.getSymbol()), subject, name));
        return new Term(form, name);
    }
}
