package sandpaddle.fleet.pool.check;

import java.util.Collection;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import sandpaddle.fleet.pool.lang.ParsedPolicy;
import sandpaddle.fleet.pool.lang.ParsedPolicy.NameReference;
import sandpaddle.fleet.pool.lang.ParsedPolicy.Subject;
import sandpaddle.fleet.pool.model.DiagnosticList;
import sandpaddle.fleet.pool.model.KnownNames;
import sandpaddle.fleet.pool.model.Policy;
import sandpaddle.fleet.pool.model.PolicyLimits;
import sandpaddle.fleet.pool.model.SourcePosition;

/** Reports references to unknown names, as far as the caller knows the names, and unused groups. */
final class NamesCheck {
    private final DiagnosticList diagnostics;
    private final KnownNames known;
    private final Map<String, Set<String>> groups;

    private NamesCheck(DiagnosticList diagnostics, KnownNames known, Map<String, Set<String>> groups) {
        this.diagnostics = diagnostics;
        this.known = known;
        this.groups = groups;
    }

    /** Checks all names, and returns all tenants that the policy names. */
    static Set<String> check(
            ParsedPolicy parsed, Map<String, Set<String>> groups, KnownNames known, DiagnosticList diagnostics) {
        NamesCheck check = new NamesCheck(diagnostics, known, groups);
        Set<String> usedGroups = new HashSet<>();
        Set<String> tenants = new HashSet<>();
        groups.values().forEach(tenants::addAll);
        for (NameReference reference : parsed.references) {
            if (reference.subject() == Subject.GROUP) {
                usedGroups.add(reference.name());
            } else if (reference.subject() == Subject.TENANT) {
                tenants.add(reference.name());
            }
            if (!diagnostics.isErrorLimitReached()) {
                check.checkReference(reference);
            }
        }
        check.checkMembers(parsed, usedGroups);
        if (tenants.size() > PolicyLimits.MAX_TENANTS) {
            diagnostics.error(
                    new SourcePosition(1, 1),
                    tenants.size() + " tenants named",
                    PolicyLimits.MAX_TENANTS + " at most; others share 'default tenant'");
        }
        return tenants;
    }

    private void checkReference(NameReference reference) {
        switch (reference.subject()) {
            case TENANT -> checkTenant(reference);
            case GROUP -> {
                if (!groups.containsKey(reference.name())) {
                    diagnostics.error(
                            reference.position(),
                            "the unknown group " + reference.name(),
                            NameSuggestions.describe("a group of this file", reference.name(), groups.keySet()));
                }
            }
            case CLASS -> known.classes().ifPresent(names -> errorIfUnknown(reference, "class", names));
            case ZONE -> known.zones().ifPresent(names -> errorIfUnknown(reference, "hall", names));
            case GATEWAY -> known.gateways().ifPresent(names -> errorIfUnknown(reference, "gateway", names));
            case KIND -> known.engines().ifPresent(kinds -> errorIfUnknown(reference, "engine kind", kinds.keySet()));
            default ->
                known.engines()
                        .ifPresent(kinds -> errorIfUnknown(
                                reference,
                                "engine",
                                kinds.values().stream().flatMap(Set::stream).toList()));
        }
    }

    private void checkTenant(NameReference reference) {
        if (reference.name().equals(Policy.DEFAULT_TENANT)) {
            diagnostics.error(
                    reference.position(), "the tenant \"default\"", "'default tenant' for those that are not named");
        }
        warnIfUnknownTenant(reference);
    }

    /** Only a warning, since tenants become known by their queries, and a policy may name them earlier. */
    private void warnIfUnknownTenant(NameReference reference) {
        Optional<Set<String>> tenants = known.tenants();
        if (tenants.isPresent()
                && !tenants.get().contains(reference.name())
                && !reference.name().equals(Policy.DEFAULT_TENANT)) {
            diagnostics.warning(
                    reference.position(),
                    "the unknown tenant \"" + DiagnosticList.printable(reference.name()) + "\"",
                    NameSuggestions.describe("a tenant that is known", reference.name(), tenants.get()));
        }
    }

    private void errorIfUnknown(NameReference reference, String label, Collection<String> names) {
        if (!names.contains(reference.name())) {
            diagnostics.error(
                    reference.position(),
                    "the unknown " + label + " \"" + DiagnosticList.printable(reference.name()) + "\"",
                    NameSuggestions.describe("a name that the fleet has", reference.name(), names));
        }
    }

    private void checkMembers(ParsedPolicy parsed, Set<String> usedGroups) {
        for (ParsedPolicy.GroupDefinition group : parsed.groups) {
            for (ParsedPolicy.Member member : group.members()) {
                if (member.isGroup()) {
                    usedGroups.add(member.name());
                } else if (!diagnostics.isErrorLimitReached()) {
                    warnIfUnknownTenant(new NameReference(member.position(), Subject.TENANT, member.name()));
                }
            }
        }
        for (ParsedPolicy.GroupDefinition group : parsed.groups) {
            if (!usedGroups.contains(group.name())) {
                diagnostics.warning(
                        group.position(),
                        "group " + group.name() + ", which nothing uses",
                        "groups that a statement or another group names");
            }
        }
    }
}
