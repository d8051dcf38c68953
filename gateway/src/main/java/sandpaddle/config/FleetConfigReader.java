package sandpaddle.config;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import sandpaddle.fleet.limit.LimitScope;
import sandpaddle.fleet.limit.LimitSpec;
import sandpaddle.fleet.limit.LimitUnit;
import sandpaddle.fleet.member.Member;
import sandpaddle.fleet.member.MemberName;
import sandpaddle.fleet.node.agree.FleetConfig;

/**
 * Maps the section {@code fleet.agreed} of the operator's file: the configuration that holds for the whole fleet, and
 * which the fleet's voters agree on by its version.
 */
final class FleetConfigReader {
    private static final int MAX_MEMBERS = 1024;
    private static final int MAX_LIMITS = 1024;
    private static final long MAX_VERSION = 1L << 53; // largest integer that every JSON reader keeps exact
    private static final long THOUSANDTHS = 1000; // unit of a rate in LimitSpec
    private static final List<String> AMOUNT_KEYS = List.of("running", "connections", "per_s");

    private FleetConfigReader() {}

    static FleetConfig read(SectionReader section) {
        long version = section.integer("version", 1, 1, MAX_VERSION);
        List<Member> members = members(section);
        return new FleetConfig(version, members, limits(section), PoolPolicyReader.read(section, members), "");
    }

    private static List<Member> members(SectionReader section) {
        List<Member> members = new ArrayList<>();
        Set<String> names = new HashSet<>();
        for (SectionReader member : section.sections("members", MAX_MEMBERS)) {
            String name = member.string("name", "", MemberName::isValid, FleetSettingsReader.ALLOWED_NAME);
            String zone = member.string("hall", "", MemberName::isValid, FleetSettingsReader.ALLOWED_NAME);
            String address =
                    member.string("address", "", FleetSettingsReader::isAddress, FleetSettingsReader.ALLOWED_ADDRESS);
            for (String requiredKey : List.of("name", "hall", "address")) {
                if (!member.has(requiredKey)) {
                    member.addError(requiredKey, "a value");
                }
            }
            if (!name.isEmpty() && !names.add(name)) {
                member.addError("name", "each gateway once");
            } else if (!name.isEmpty() && !zone.isEmpty() && !address.isEmpty()) {
                int colon = address.indexOf(':');
                members.add(new Member(
                        name, zone, address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))));
            }
        }
        return members;
    }

    private static List<LimitSpec> limits(SectionReader section) {
        List<LimitSpec> limits = new ArrayList<>();
        Set<String> names = new HashSet<>();
        for (SectionReader limit : section.sections("limits", MAX_LIMITS)) {
            Predicate<String> isValidName = text -> LimitScope.EACH.equals(text) || LimitScope.isName(text);
            String allowed = "a name of " + LimitSpec.MAX_NAME_BYTES + " bytes at most, without '|'";
            String name = limit.string("name", "", isValidName, allowed);
            if (!limit.has("name") || !names.add(name)) {
                limit.addError("name", "a name, each once");
            }
            LimitScope scope = new LimitScope(
                    limit.string("hall", null, isValidName, allowed),
                    limit.string("class", null, isValidName, allowed),
                    limit.string("tenant", null, isValidName, allowed),
                    limit.string("engine", null, isValidName, allowed));
            LimitSpec spec = limitOrNull(limit, name, scope);
            if (spec != null && !name.isEmpty()) {
                limits.add(spec);
            }
        }
        return limits;
    }

    /** A limit with exactly one of the amounts; null, with the error added, otherwise. Rates are in thousandths. */
    private static LimitSpec limitOrNull(SectionReader limit, String name, LimitScope scope) {
        List<String> givenKeys = AMOUNT_KEYS.stream().filter(limit::has).toList();
        long running = limit.integer("running", 0, 1, LimitSpec.MAX_AMOUNT);
        long connections = limit.integer("connections", 0, 1, LimitSpec.MAX_AMOUNT);
        double perSecond = limit.number("per_s", 0, 0.001, LimitSpec.MAX_AMOUNT / (double) THOUSANDTHS);
        double burst = limit.number("burst", 1, 1, LimitSpec.MAX_AMOUNT / (double) THOUSANDTHS);
        if (givenKeys.size() != 1) {
            limit.addError(
                    givenKeys.isEmpty() ? "running" : givenKeys.get(1), "one of 'running', 'connections' and 'per_s'");
            return null;
        }
        if (limit.has("burst") && perSecond == 0) {
            limit.addError("burst", "only beside 'per_s'");
        }
        return switch (givenKeys.get(0)) {
            case "running" -> new LimitSpec(name, scope, LimitUnit.RUNNING, running, 0);
            case "connections" -> new LimitSpec(name, scope, LimitUnit.CONNECTIONS, connections, 0);
            default ->
                new LimitSpec(
                        name,
                        scope,
                        LimitUnit.RATE,
                        Math.round(perSecond * THOUSANDTHS),
                        Math.round(burst * THOUSANDTHS));
        };
    }
}
