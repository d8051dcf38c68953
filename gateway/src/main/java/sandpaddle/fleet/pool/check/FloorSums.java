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
 * Lower bounds of the connections that floors need together. Floors whose selectors have the same dimensions form a
 * family: those by tenant are disjoint, for example, as are those by zone, so the floors of a family add up. The floor
 * of a default counts for each name that it may apply to and that has no floor of its own.
 */
final class FloorSums {
    /** The sum of the floors of a family, and the statement that contributes most to it. */
    record FloorFamily(long sum, Share largest) {}

    private final int tenants;
    private final int classes;
    private final int zones;
    private final int gateways;

    FloorSums(Set<Selector> selections, int tenants, KnownNames known) {
        Map<Form, Set<String>> names = new HashMap<>();
        selections.forEach(s -> s.terms()
                .forEach(t ->
                        names.computeIfAbsent(t.form(), f -> new HashSet<>()).add(t.name())));
        this.tenants = tenants + 1; // all tenants that are not named share the default tenant
        classes = known.classes().map(Set::size).orElse(Math.max(1, size(names, Form.CLASS)));
        zones = known.zones().map(Set::size).orElse(Math.max(1, size(names, Form.ZONE)));
        gateways = Math.max(known.maxGateways(), size(names, Form.GATEWAY));
    }

    private static int size(Map<Form, Set<String>> names, Form form) {
        return names.getOrDefault(form, Set.of()).size();
    }

    /** Sums the floors by family; the map holds the statement in force for each selector. */
    Map<List<String>, FloorFamily> of(Map<Selector, Share> floors) {
        Map<List<String>, Map<Selector, Share>> families = new LinkedHashMap<>();
        floors.forEach((s, share) ->
                families.computeIfAbsent(family(s), f -> new LinkedHashMap<>()).put(s, share));
        Map<List<String>, FloorFamily> sums = new LinkedHashMap<>();
        families.forEach((family, members) -> sums.put(family, sum(members)));
        return sums;
    }

    /** The family of a selector. Selectors of one family never overlap, except defaults with names. */
    private static List<String> family(Selector selector) {
        List<String> family = new ArrayList<>();
        for (Term term : selector.terms()) {
            family.add(
                    switch (term.form()) {
                        case TENANT, ANY_TENANT, GROUP -> "tenant";
                        case GROUP_TOTAL -> "tenant group " + term.name() + " together";
                        case CLASS, ANY_CLASS -> "class";
                        case GATEWAY, ANY_GATEWAY -> "gateway";
                        default -> "hall";
                    });
        }
        return family;
    }

    private FloorFamily sum(Map<Selector, Share> members) {
        Map<Selector, Long> namedSizes =
                new HashMap<>(); // by default selector: the named ones under it that have their own floor
        boolean hasCrossingDefaults = hasCrossingDefaults(members.keySet());
        for (Selector each : members.keySet()) {
            for (Selector generalization : generalizations(each)) {
                namedSizes.merge(generalization, size(each), Long::sum);
            }
        }
        Map<Share, Long> partByShare = new LinkedHashMap<>();
        long sum = 0;
        for (Map.Entry<Selector, Share> each : members.entrySet()) {
            long count = size(each.getKey());
            if (count != 1
                    || each.getKey().terms().stream().anyMatch(t -> t.form().isDefault())) {
                // crossing defaults overlap; 0 keeps the sum a lower bound
                count = hasCrossingDefaults ? 0 : Math.max(0, count - namedSizes.getOrDefault(each.getKey(), 0L));
            }
            long part = count * each.getValue().floor().getAsInt();
            sum += part;
            partByShare.merge(each.getValue(), part, Long::sum);
        }
        Share largest = null;
        for (Map.Entry<Share, Long> part : partByShare.entrySet()) {
            if (largest == null || part.getValue() > partByShare.get(largest)) {
                largest = part.getKey();
            }
        }
        return new FloorFamily(sum, largest);
    }

    /** Whether there are two selectors with defaults of which neither includes the other. */
    private static boolean hasCrossingDefaults(Set<Selector> members) {
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

    /** The number of selectors without defaults that this one includes. */
    private long size(Selector selector) {
        long size = 1;
        for (Term term : selector.terms()) {
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

    /** The selectors with one or more of the names replaced by the default; sums over groups have no default. */
    static List<Selector> generalizations(Selector selector) {
        List<Selector> generalizations = new ArrayList<>();
        int terms = selector.terms().size();
        Set<Form> replaceable = EnumSet.of(Form.TENANT, Form.CLASS, Form.GATEWAY, Form.ZONE);
        for (int mask = 1; mask < 1 << terms; mask++) {
            List<Term> changed = new ArrayList<>(selector.terms());
            boolean possible = true;
            for (int i = 0; i < terms; i++) {
                if ((mask >> i & 1) != 0) {
                    Form form = selector.terms().get(i).form();
                    possible &= replaceable.contains(form);
                    changed.set(i, new Term(generalization(form), ""));
                }
            }
            if (possible) {
                generalizations.add(new Selector(changed));
            }
        }
        return generalizations;
    }

    private static Form generalization(Form form) {
        return switch (form.dimension()) {
            case TENANT -> Form.ANY_TENANT;
            case CLASS -> Form.ANY_CLASS;
            case PLACE -> form == Form.ZONE ? Form.ANY_ZONE : Form.ANY_GATEWAY;
        };
    }
}
