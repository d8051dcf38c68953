package sandpaddle.fleet.pool.check;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import sandpaddle.fleet.pool.lang.ParsedPolicy;
import sandpaddle.fleet.pool.lang.ParsedPolicy.GroupDefinition;
import sandpaddle.fleet.pool.lang.ParsedPolicy.Member;
import sandpaddle.fleet.pool.model.DiagnosticList;
import sandpaddle.fleet.pool.model.Policy;
import sandpaddle.fleet.pool.model.PolicyLimits;
import sandpaddle.fleet.pool.model.SourcePosition;

/**
 * Resolves groups to their tenants by depth-first search. Each group is visited once, and the number of tenants copied
 * by all visits is bounded, so nested groups cannot expand a small file to a large set.
 */
final class Groups {
    private final DiagnosticList diagnostics;
    private final Map<String, GroupDefinition> definitions = new LinkedHashMap<>();
    private final Map<String, Set<String>> resolved = new HashMap<>();
    private final Map<String, Integer> depths = new HashMap<>();
    private final Set<String> visiting = new HashSet<>();
    private int copiedTenants;

    private Groups(DiagnosticList diagnostics) {
        this.diagnostics = diagnostics;
    }

    /** Returns the tenants of every group; invalid members are reported and left out. */
    static Map<String, Set<String>> resolve(ParsedPolicy parsed, DiagnosticList diagnostics) {
        Groups groups = new Groups(diagnostics);
        for (GroupDefinition each : parsed.groups) {
            groups.add(each);
        }
        for (GroupDefinition each : groups.definitions.values()) {
            groups.visit(each);
        }
        return groups.resolved;
    }

    private void add(GroupDefinition group) {
        if (definitions.size() == PolicyLimits.MAX_GROUPS) {
            diagnostics.error(
                    group.position(),
                    "more than " + PolicyLimits.MAX_GROUPS + " groups",
                    PolicyLimits.MAX_GROUPS + " at most");
            return;
        }
        GroupDefinition first = definitions.putIfAbsent(group.name(), group);
        if (first != null) {
            diagnostics.error(
                    group.position(),
                    "group " + group.name() + " again, which line "
                            + first.position().line() + " has",
                    "one group of a name");
        }
    }

    private int visit(GroupDefinition group) {
        Integer visitedDepth = depths.get(group.name());
        if (visitedDepth != null) {
            return visitedDepth;
        }
        visiting.add(group.name());
        Set<String> tenants = new TreeSet<>();
        Set<Member> seenMembers = new HashSet<>();
        int depth = 1;
        for (Member member : group.members()) {
            if (!seenMembers.add(new Member(new SourcePosition(1, 1), member.isGroup(), member.name()))) {
                diagnostics.error(member.position(), "'" + member.name() + "' twice in a group", "once");
            } else if (!member.isGroup()) {
                addTenant(member, tenants);
            } else {
                depth = Math.max(depth, 1 + addNested(group, member, tenants));
            }
        }
        if (depth > PolicyLimits.MAX_GROUP_NESTING
                && depths.values().stream().noneMatch(nesting -> nesting > PolicyLimits.MAX_GROUP_NESTING)) {
            diagnostics.error(
                    group.position(), "groups nested " + depth + " deep", PolicyLimits.MAX_GROUP_NESTING + " at most");
        }
        visiting.remove(group.name());
        depths.put(group.name(), depth);
        resolved.put(group.name(), tenants);
        return depth;
    }

    private void addTenant(Member member, Set<String> tenants) {
        if (member.name().equals(Policy.DEFAULT_TENANT)) {
            diagnostics.error(member.position(), "the tenant \"default\"", "'default tenant', which is in no group");
        } else {
            tenants.add(member.name());
        }
    }

    private int addNested(GroupDefinition group, Member member, Set<String> tenants) {
        GroupDefinition inner = definitions.get(member.name());
        if (inner == null) {
            diagnostics.error(
                    member.position(),
                    "the unknown group " + member.name(),
                    NameSuggestions.describe("a group of this file", member.name(), definitions.keySet()));
            return 0;
        }
        if (visiting.contains(member.name())) {
            diagnostics.error(
                    member.position(),
                    "group " + member.name() + ", which holds group " + group.name() + " itself",
                    "groups without a circle");
            return 0;
        }
        int depth = visit(inner);
        copiedTenants += resolved.get(member.name()).size();
        if (copiedTenants <= PolicyLimits.MAX_EXPANDED_SELECTORS) {
            tenants.addAll(resolved.get(member.name()));
        } else if (copiedTenants - resolved.get(member.name()).size() <= PolicyLimits.MAX_EXPANDED_SELECTORS) {
            diagnostics.error(
                    member.position(),
                    "groups that copy more than " + PolicyLimits.MAX_EXPANDED_SELECTORS + " members",
                    PolicyLimits.MAX_EXPANDED_SELECTORS + " at most");
        }
        return depth;
    }
}
