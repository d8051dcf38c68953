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
 * Finds the share statements that match a subject. Statements are indexed by the forms of their terms, of which a
 * policy has few combinations, so a lookup costs one hash access for each combination and group of the tenant rather
 * than a scan of all statements.
 */
public final class ShareIndex {
    /** The tenant, class, gateway and zone that a connection is used for. */
    public record Subject(String tenant, String className, String gateway, String zone) {}

    private final Map<List<Form>, Map<List<String>, Share>> byForms = new LinkedHashMap<>();
    private final Map<String, List<String>> groupsByTenant;

    /** Indexes the statements that pass the filter; for each selector, the one that takes precedence. */
    ShareIndex(List<Share> shares, Predicate<Share> filter, Map<String, List<String>> groupsByTenant) {
        this.groupsByTenant = groupsByTenant;
        for (Share share : shares) {
            if (filter.test(share)) {
                byForms.computeIfAbsent(share.selector().forms(), f -> new HashMap<>())
                        .merge(
                                share.selector().terms().stream()
                                        .map(Term::name)
                                        .toList(),
                                share,
                                (first, second) ->
                                        Statement.BY_CONDITIONS.compare(first, second) >= 0 ? first : second);
            }
        }
    }

    /** The groups of each tenant, sorted by name. */
    static Map<String, List<String>> groupsByTenant(Map<String, Set<String>> groups) {
        Map<String, List<String>> groupsByTenant = new HashMap<>();
        groups.keySet().stream()
                .sorted()
                .forEach(group -> groups.get(group)
                        .forEach(tenant -> groupsByTenant
                                .computeIfAbsent(tenant, t -> new ArrayList<>())
                                .add(group)));
        return groupsByTenant;
    }

    /** All statements that match the subject, in no particular order. */
    public List<Share> matching(Subject subject) {
        List<Share> matches = new ArrayList<>();
        List<String> groups = groupsByTenant.getOrDefault(subject.tenant, List.of());
        byForms.forEach((forms, shares) -> {
            Form first = forms.get(0);
            if (first == Form.GROUP || first == Form.GROUP_TOTAL) {
                groups.forEach(group -> add(matches, shares.get(termNames(forms, subject, group))));
            } else {
                add(matches, shares.get(termNames(forms, subject, "")));
            }
        });
        return matches;
    }

    private static void add(List<Share> matches, Share share) {
        if (share != null) {
            matches.add(share);
        }
    }

    private static List<String> termNames(List<Form> forms, Subject subject, String group) {
        String[] termNames = new String[forms.size()];
        for (int i = 0; i < termNames.length; i++) {
            termNames[i] = switch (forms.get(i)) {
                case TENANT -> subject.tenant;
                case GROUP, GROUP_TOTAL -> group;
                case CLASS -> subject.className;
                case GATEWAY -> subject.gateway;
                case ZONE -> subject.zone;
                default -> "";
            };
        }
        return List.of(termNames);
    }

    /**
     * The statements in force for the subject: for each selector of a matching statement, with defaults and groups
     * resolved to the names of the subject, the statement that takes precedence.
     */
    public Map<Selector, Share> effectiveBySelector(Subject subject) {
        Map<Selector, Share> effective = new LinkedHashMap<>();
        for (Share share : matching(subject)) {
            effective.merge(
                    resolve(share.selector(), subject),
                    share,
                    (first, second) -> Statement.PRECEDENCE.compare(first, second) >= 0 ? first : second);
        }
        return effective;
    }

    private static Selector resolve(Selector selector, Subject subject) {
        List<Term> terms = new ArrayList<>(selector.terms().size());
        for (Term term : selector.terms()) {
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
