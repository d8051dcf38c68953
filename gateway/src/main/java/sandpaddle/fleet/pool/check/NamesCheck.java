package sandpaddle.fleet.pool.check;

import java.util.Collection;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import sandpaddle.fleet.pool.lang.PolicyDraft;
import sandpaddle.fleet.pool.lang.PolicyDraft.Mention;
import sandpaddle.fleet.pool.lang.PolicyDraft.Subject;
import sandpaddle.fleet.pool.model.FaultList;
import sandpaddle.fleet.pool.model.KnownNames;
import sandpaddle.fleet.pool.model.Limits;
import sandpaddle.fleet.pool.model.Policy;
import sandpaddle.fleet.pool.model.SourcePosition;

/** Tells names that nobody has, as far as the caller knows names, and groups that nothing uses. */
final class NamesCheck {
    private final FaultList faults;
    private final KnownNames known;
    private final Map<String, Set<String>> groups;

    private NamesCheck(FaultList faults, KnownNames known, Map<String, Set<String>> groups) {
        this.faults = faults;
        this.known = known;
        this.groups = groups;
    }

    /** @return all tenants that the draft names */
    static Set<String> check(PolicyDraft draft, Map<String, Set<String>> groups, KnownNames known, FaultList faults) {
        NamesCheck check = new NamesCheck(faults, known, groups);
        Set<String> used = new HashSet<>();
        Set<String> tenants = new HashSet<>();
        groups.values().forEach(tenants::addAll);
        for (Mention mention : draft.mentions) {
            if (mention.subject() == Subject.GROUP) {
                used.add(mention.name());
            } else if (mention.subject() == Subject.TENANT) {
                tenants.add(mention.name());
            }
            if (!faults.isFull()) {
                check.mention(mention);
            }
        }
        check.members(draft, used);
        if (tenants.size() > Limits.MAX_TENANTS) {
            faults.error(
                    new SourcePosition(1, 1),
                    tenants.size() + " tenants named",
                    Limits.MAX_TENANTS + " at most; others share 'default tenant'");
        }
        return tenants;
    }

    private void mention(Mention mention) {
        switch (mention.subject()) {
            case TENANT -> tenant(mention);
            case GROUP -> {
                if (!groups.containsKey(mention.name())) {
                    faults.error(
                            mention.at(),
                            "the unknown group " + mention.name(),
                            NameSuggestions.words("a group of this file", mention.name(), groups.keySet()));
                }
            }
            case CLASS -> known.classes().ifPresent(names -> unknown(mention, "class", names));
            case ZONE -> known.zones().ifPresent(names -> unknown(mention, "hall", names));
            case GATEWAY -> known.gateways().ifPresent(names -> unknown(mention, "gateway", names));
            case KIND -> known.engines().ifPresent(kinds -> unknown(mention, "engine kind", kinds.keySet()));
            default ->
                known.engines()
                        .ifPresent(kinds -> unknown(
                                mention,
                                "engine",
                                kinds.values().stream().flatMap(Set::stream).toList()));
        }
    }

    private void tenant(Mention mention) {
        if (mention.name().equals(Policy.DEFAULT_TENANT)) {
            faults.error(mention.at(), "the tenant \"default\"", "'default tenant' for those that are not named");
        }
        tenantKnown(mention);
    }

    /** Only a warning: tenants come with their queries, and a policy may be ahead of them. */
    private void tenantKnown(Mention mention) {
        Optional<Set<String>> tenants = known.tenants();
        if (tenants.isPresent()
                && !tenants.get().contains(mention.name())
                && !mention.name().equals(Policy.DEFAULT_TENANT)) {
            faults.warning(
                    mention.at(),
                    "the unknown tenant \"" + FaultList.shown(mention.name()) + "\"",
                    NameSuggestions.words("a tenant that is known", mention.name(), tenants.get()));
        }
    }

    private void unknown(Mention mention, String what, Collection<String> names) {
        if (!names.contains(mention.name())) {
            faults.error(
                    mention.at(),
                    "the unknown " + what + " \"" + FaultList.shown(mention.name()) + "\"",
                    NameSuggestions.words("a name that the fleet has", mention.name(), names));
        }
    }

    private void members(PolicyDraft draft, Set<String> used) {
        for (PolicyDraft.GroupDraft group : draft.groups) {
            for (PolicyDraft.Member member : group.members()) {
                if (member.group()) {
                    used.add(member.name());
                } else if (!faults.isFull()) {
                    tenantKnown(new Mention(member.at(), Subject.TENANT, member.name()));
                }
            }
        }
        for (PolicyDraft.GroupDraft group : draft.groups) {
            if (!used.contains(group.name())) {
                faults.warning(
                        group.at(),
                        "group " + group.name() + ", which nothing uses",
                        "groups that a statement or another group names");
            }
        }
    }
}
