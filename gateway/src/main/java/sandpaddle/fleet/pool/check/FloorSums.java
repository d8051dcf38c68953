package sandpaddle.fleet.pool.check;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import sandpaddle.fleet.pool.model.KnownNames;
import sandpaddle.fleet.pool.model.Selector;
import sandpaddle.fleet.pool.model.Selector.Form;
import sandpaddle.fleet.pool.model.Selector.Term;
import sandpaddle.fleet.pool.model.Statement.Share;

/**
 * How many connections all floors of one kind of selection need together, at least: floors by tenant are disjoint, as
 * are those by zone, so each such family adds up. A default counts for all that may be and have no floor of their own.
 */
final class FloorSums {
    /** The sum of a family, and the statement that adds most to it. */
    record Family(long sum, Share max) {}

    private final int tenants;
    private final int classes;
    private final int zones;
    private final int gateways;

    FloorSums(Set<Selector> selections, int tenants, KnownNames known) {
        Map<Form, Set<String>> names = new HashMap<>();
        selections.forEach(s -> s.terms()
                .forEach(t ->
                        names.computeIfAbsent(t.form(), f -> new HashSet<>()).add(t.name())));
        this.tenants = tenants + 1; // all others share one
        classes = known.classes().map(Set::size).orElse(Math.max(1, size(names, Form.CLASS)));
        zones = known.zones().map(Set::size).orElse(Math.max(1, size(names, Form.ZONE)));
        gateways = Math.max(known.maxGateways(), size(names, Form.GATEWAY));
    }

    private static int size(Map<Form, Set<String>> names, Form form) {
        return names.getOrDefault(form, Set.of()).size();
    }

    /** The families of these floors, each selection with the statement that rules it. */
    Map<List<String>, Family> of(Map<Selector, Share> floors) {
        Map<List<String>, Map<Selector, Share>> families = new LinkedHashMap<>();
        floors.forEach((s, share) ->
                families.computeIfAbsent(family(s), f -> new LinkedHashMap<>()).put(s, share));
        Map<List<String>, Family> sums = new LinkedHashMap<>();
        families.forEach((family, members) -> sums.put(family, sum(members)));
        return sums;
    }

    /** Selections of one family never overlap, but for defaults with what is named. */
    private static List<String> family(Selector of) {
        List<String> family = new ArrayList<>();
        for (Term term : of.terms()) {
            family.add(
                    switch (term.form()) {
                        case TENANT, ANY_TENANT, GROUP -> "tenant";
                        case TOGETHER -> "tenant group " + term.name() + " together";
                        case CLASS, ANY_CLASS -> "class";
                        case GATEWAY, ANY_GATEWAY -> "gateway";
                        default -> "hall";
                    });
        }
        return family;
    }

    private Family sum(Map<Selector, Share> members) {
        Map<Selector, Long> own = new HashMap<>(); // selections under a default that have a floor of their own
        boolean crossing = crossing(members.keySet());
        for (Selector each : members.keySet()) {
            for (Selector general : generals(each)) {
                own.merge(general, size(each), Long::sum);
            }
        }
        Map<Share, Long> parts = new LinkedHashMap<>();
        long sum = 0;
        for (Map.Entry<Selector, Share> each : members.entrySet()) {
            long count = size(each.getKey());
            if (count != 1
                    || each.getKey().terms().stream().anyMatch(t -> t.form().isDefault())) {
                // crossing defaults overlap, and the sum is to be none that could be less
                count = crossing ? 0 : Math.max(0, count - own.getOrDefault(each.getKey(), 0L));
            }
            long part = count * each.getValue().floor().getAsInt();
            sum += part;
            parts.merge(each.getValue(), part, Long::sum);
        }
        Share max = null;
        for (Map.Entry<Share, Long> part : parts.entrySet()) {
            if (max == null || part.getValue() > parts.get(max)) {
                max = part.getKey();
            }
        }
        return new Family(sum, max);
    }

    /** Whether there are defaults of which neither holds the other. */
    private static boolean crossing(Set<Selector> members) {
        Set<Set<Integer>> defaults = new HashSet<>();
        for (Selector each : members) {
            Set<Integer> at = new HashSet<>();
            for (int i = 0; i < each.terms().size(); i++) {
                if (each.terms().get(i).form().isDefault()) {
                    at.add(i);
                }
            }
            defaults.add(at);
        }
        return defaults.stream().anyMatch(a -> defaults.stream().anyMatch(b -> !a.containsAll(b) && !b.containsAll(a)));
    }

    /** How many selections named in full this one stands for. */
    private long size(Selector of) {
        long size = 1;
        for (Term term : of.terms()) {
            size *= switch (term.form()) {
                case ANY_TENANT -> tenants;
                case ANY_CLASS -> classes;
                case ANY_ZONE -> zones;
                case ANY_GATEWAY -> gateways;
                default -> 1;
            };
        }
        return size;
    }

    /** The same selection with one or more of its names replaced by the default; a group together has none. */
    static List<Selector> generals(Selector of) {
        List<Selector> generals = new ArrayList<>();
        int terms = of.terms().size();
        Set<Form> replaceable = EnumSet.of(Form.TENANT, Form.CLASS, Form.GATEWAY, Form.ZONE);
        for (int mask = 1; mask < 1 << terms; mask++) {
            List<Term> changed = new ArrayList<>(of.terms());
            boolean possible = true;
            for (int i = 0; i < terms; i++) {
                if ((mask >> i & 1) != 0) {
                    Form form = of.terms().get(i).form();
                    possible &= replaceable.contains(form);
                    changed.set(i, new Term(general(form), ""));
                }
            }
            if (possible) {
                generals.add(new Selector(changed));
            }
        }
        return generals;
    }

    private static Form general(Form form) {
        return switch (form.dimension()) {
            case TENANT -> Form.ANY_TENANT;
            case CLASS -> Form.ANY_CLASS;
            case PLACE -> form == Form.ZONE ? Form.ANY_ZONE : Form.ANY_GATEWAY;
        };
    }
}
