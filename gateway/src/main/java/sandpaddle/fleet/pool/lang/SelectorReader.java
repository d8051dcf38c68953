package sandpaddle.fleet.pool.lang;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import org.antlr.v4.runtime.tree.TerminalNode;
import sandpaddle.fleet.pool.lang.PolicyDraft.Mention;
import sandpaddle.fleet.pool.lang.PolicyDraft.Subject;
import sandpaddle.fleet.pool.lang.PoolPolicyParser.SelectorContext;
import sandpaddle.fleet.pool.model.FaultList;
import sandpaddle.fleet.pool.model.Selector;
import sandpaddle.fleet.pool.model.Selector.Dimension;
import sandpaddle.fleet.pool.model.Selector.Form;
import sandpaddle.fleet.pool.model.Selector.Term;

/** Turns the selections of a share statement into one selector, whose terms are one for each dimension. */
final class SelectorReader {
    private final PolicyDraft draft;
    private final FaultList faults;
    private final Literals literals;

    SelectorReader(PolicyDraft draft, FaultList faults, Literals literals) {
        this.draft = draft;
        this.faults = faults;
        this.literals = literals;
    }

    Selector read(List<SelectorContext> from, boolean weighs) {
        Map<Dimension, Term> terms = new EnumMap<>(Dimension.class);
        for (SelectorContext each : from) {
            Term term = term(each);
            if (term.form() == Form.TOGETHER && weighs) {
                faults.error(
                        LineErrors.spot(each.tenant().TOGETHER().getSymbol()),
                        "'together' with a weight",
                        "'together' with floor and ceiling only, for a weight belongs to each tenant");
            }
            Term before = terms.putIfAbsent(term.form().dimension(), term);
            if (before != null) {
                faults.error(
                        LineErrors.spot(each.getStart()),
                        term + " beside " + before,
                        "one tenant or group, one class, and one hall or gateway");
            }
        }
        return new Selector(List.copyOf(terms.values()));
    }

    private Term term(SelectorContext from) {
        if (from.DEFAULT() != null) {
            return new Term(
                    switch (from.getStop().getType()) {
                        case PoolPolicyParser.TENANT -> Form.ANY_TENANT;
                        case PoolPolicyParser.CLASS -> Form.ANY_CLASS;
                        case PoolPolicyParser.HALL -> Form.ANY_ZONE;
                        default -> Form.ANY_GATEWAY;
                    },
                    "");
        }
        if (from.TENANT() == null) {
            return switch (from.getStart().getType()) {
                case PoolPolicyParser.CLASS -> named(Form.CLASS, Subject.CLASS, from.STRING());
                case PoolPolicyParser.HALL -> named(Form.ZONE, Subject.ZONE, from.STRING());
                default -> named(Form.GATEWAY, Subject.GATEWAY, from.STRING());
            };
        }
        if (from.tenant().STRING() != null) {
            return named(Form.TENANT, Subject.TENANT, from.tenant().STRING());
        }
        PoolPolicyParser.GroupNameContext group = from.tenant().groupName();
        draft.mentions.add(new Mention(LineErrors.spot(group.getStart()), Subject.GROUP, group.getText()));
        return new Term(from.tenant().TOGETHER() == null ? Form.GROUP : Form.TOGETHER, group.getText());
    }

    private Term named(Form form, Subject subject, TerminalNode node) {
        String name = literals.name(node);
        draft.mentions.add(new Mention(LineErrors.spot(node.getSymbol()), subject, name));
        return new Term(form, name);
    }
}
