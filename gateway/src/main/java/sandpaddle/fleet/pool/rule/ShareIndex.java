package sandpaddle.fleet.pool.rule;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import sandpaddle.fleet.pool.model.Selector;
import sandpaddle.fleet.pool.model.Selector.Form;
import sandpaddle.fleet.pool.model.Selector.Term;
import sandpaddle.fleet.pool.model.Statement;
import sandpaddle.fleet.pool.model.Statement.Share;

/**
 * Finds the share statements that match one subject. They are kept by the forms of their terms, of which a policy has
 * few, so a look-up costs a hash for each of these and for each group of the tenant, not a pass over the statements.
 */
public final class ShareIndex {
    /** Who uses connections, and where. */
    public record Subject(String tenant, String className, String gateway, String zone) {}

    private final Map<List<Form>, Map<List<String>, Share>> byForms = new LinkedHashMap<>();
    private final Map<String, List<String>> groupsOf;

    /** Indexes those of the statements that are wanted; of one selection, the one that takes precedence. */
    ShareIndex(List<Share> shares, Predicate<Share> wanted, Map<String, List<String>> groupsOf) {
        this.groupsOf = groupsOf;
        for (Share share : shares) {
            if (wanted.test(share)) {
                byForms.computeIfAbsent(share.of().forms(), f -> new HashMap<>())
                        .merge(
                                share.of().terms().stream().map(Term::name).toList(),
                                share,
                                (a, b) -> Statement.BY_CONDITIONS.compare(a, b) >= 0 ? a : b);
            }
        }
    }

    /** For each tenant, the groups that it is in, by name. */
    static Map<String, List<String>> groupsOf(Map<String, Set<String>> groups) {
        Map<String, List<String>> of = new HashMap<>();
        groups.keySet().stream()
                .sorted()
                .forEach(group -> groups.get(group)
                        .forEach(tenant -> of.computeIfAbsent(tenant, t -> new ArrayList<>())
                                .add(group)));
        return of;
    }

    /** All statements that match, in no order. */
    public List<Share> matching(Subject subject) {
        List<Share> found = new ArrayList<>();
        List<String> groups = groupsOf.getOrDefault(subject.tenant, List.of());
        byForms.forEach((forms, shares) -> {
            Form first = forms.get(0);
            if (first == Form.GROUP || first == Form.TOGETHER) {
                groups.forEach(group -> add(found, shares.get(names(forms, subject, group))));
            } else {
                add(found, shares.get(names(forms, subject, "")));
            }
        });
        return found;
    }

    private static void add(List<Share> found, Share share) {
        if (share != null) {
            found.add(share);
        }
    }

    private static List<String> names(List<Form> forms, Subject subject, String group) {
        String[] names = new String[forms.size()];
        for (int i = 0; i < names.length; i++) {
            names[i] = switch (forms.get(i)) {
                case TENANT -> subject.tenant;
                case GROUP, TOGETHER -> group;
                case CLASS -> subject.className;
                case GATEWAY -> subject.gateway;
                case ZONE -> subject.zone;
                default -> "";
            };
        }
        return List.of(names);
    }

    /**
     * What floors and ceilings bind: for each set of connections that a matching statement speaks of, named in full,
     * the statement that takes precedence there.
     */
    public Map<Selector, Share> binding(Subject subject) {
        Map<Selector, Share> bound = new LinkedHashMap<>();
        for (Share share : matching(subject)) {
            bound.merge(named(share.of(), subject), share, (a, b) -> Statement.PRECEDENCE.compare(a, b) >= 0 ? a : b);
        }
        return bound;
    }

    private static Selector named(Selector of, Subject subject) {
        List<Term> terms = new ArrayList<>(of.terms().size());
        for (Term term : of.terms()) {
            terms.add(
                    switch (term.form()) {
                        case GROUP, ANY_TENANT -> new Term(Form.TENANT, subject.tenant);
                        case ANY_CLASS -> new Term(Form.CLASS, subject.className);
                        case ANY_GATEWAY -> new Term(Form.GATEWAY, subject.gateway);
                        case ANY_ZONE -> new Term(Form.ZONE, subject.zone);
                        default -> term;
                    });
        }
        return new Selector(terms);
    }
}
