package sandpaddle.fleet.pool.solve;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;
import sandpaddle.fleet.pool.model.Policy;
import sandpaddle.fleet.pool.model.Selector;
import sandpaddle.fleet.pool.model.Selector.Form;
import sandpaddle.fleet.pool.model.SolverInput;
import sandpaddle.fleet.pool.model.SolverInput.Demand;
import sandpaddle.fleet.pool.model.Statement.Share;
import sandpaddle.fleet.pool.rule.ShareIndex;
import sandpaddle.fleet.pool.rule.Shares;

/** The rows among which connections are divided, with their rules, in an order that depends on their names only. */
final class Rows {
    /** What a row is called; demands of one name are added up, those of all tenants that share the default too. */
    record Name(String kind, String gateway, String tenant, String className) implements Comparable<Name> {
        @Override
        public int compareTo(Name other) {
            int order = kind.compareTo(other.kind);
            order = order != 0 ? order : gateway.compareTo(other.gateway);
            order = order != 0 ? order : tenant.compareTo(other.tenant);
            return order != 0 ? order : className.compareTo(other.className);
        }
    }

    /** A floor, what it stands for and the statement that rules it. */
    record Floor(Selector of, Share by, List<Integer> rows) {}

    private static final Object FLEET = new Object();

    final List<Name> names;
    final int[] demand;
    final long[] weight;
    final int[] ties;
    final int[][] links;
    final long[] capacity;
    /** Families of floors whose sets do not overlap, in the order in which they are granted. */
    final List<List<Floor>> floors;

    Rows(Policy policy, Shares shares, SolverInput solverInput, Capacities capacities) {
        TreeMap<Name, Integer> sums = new TreeMap<>();
        for (Demand d : solverInput.demands()) {
            sums.merge(
                    new Name(d.kind(), d.gateway(), policy.counted(d.tenant()), d.className()),
                    d.connections(),
                    (a, b) -> Math.min(a + b, SolverInput.MAX_CONNECTIONS));
        }
        names = List.copyOf(sums.keySet());
        demand = sums.values().stream().mapToInt(Integer::intValue).toArray();
        weight = new long[demand.length];
        ties = new int[demand.length];
        links = new int[demand.length][];
        Map<String, String> zones = solverInput.zonesByGateway();
        Map<String, OptionalLong> kinds = new HashMap<>();
        Map<Object, Integer> linkNumbers = new HashMap<>();
        List<Long> bounds = new ArrayList<>();
        Map<Selector, Floor> floorSets = new LinkedHashMap<>();
        for (int row = 0; row < demand.length; row++) {
            Name name = names.get(row);
            ShareIndex.Subject subject =
                    new ShareIndex.Subject(name.tenant, name.className, name.gateway, zones.get(name.gateway));
            weight[row] = shares.weight(subject);
            ties[row] = tie(name);
            List<Integer> of = new ArrayList<>(6);
            capacities.fleet().ifPresent(c -> of.add(link(linkNumbers, bounds, FLEET, c.left())));
            kinds.computeIfAbsent(name.kind, capacities::kind)
                    .ifPresent(c -> of.add(link(linkNumbers, bounds, name.kind, c)));
            shares.ceilings()
                    .binding(subject)
                    .forEach((set, share) -> of.add(
                            link(linkNumbers, bounds, set, share.ceiling().getAsInt())));
            links[row] = of.stream().mapToInt(Integer::intValue).toArray();
            int number = row;
            shares.floors()
                    .binding(subject)
                    .forEach((set, share) -> floorSets
                            .computeIfAbsent(set, s -> new Floor(s, share, new ArrayList<>()))
                            .rows
                            .add(number));
        }
        capacity = bounds.stream().mapToLong(Long::longValue).toArray();
        floors = families(floorSets);
    }

    private static int link(Map<Object, Integer> numbers, List<Long> bounds, Object what, long bound) {
        // the fleet is an object, a kind a text and a ceiling a selection: they never meet
        return numbers.computeIfAbsent(what, w -> {
            bounds.add(bound);
            return bounds.size() - 1;
        });
    }

    /** The most specific first, as in the rest of the language; groups together may overlap, so each is by itself. */
    private static List<List<Floor>> families(Map<Selector, Floor> sets) {
        Map<List<Object>, List<Floor>> families = new LinkedHashMap<>();
        sets.values().stream()
                .sorted(Comparator.<Floor>comparingInt(f -> -f.of.specificity())
                        .thenComparing(f -> f.by.at())
                        .thenComparing(f -> f.of.toString()))
                .forEach(floor -> {
                    List<Object> family = new ArrayList<>(floor.of.forms());
                    floor.of.terms().stream()
                            .filter(t -> t.form() == Form.TOGETHER)
                            .forEach(t -> family.add(t.name()));
                    families.computeIfAbsent(family, f -> new ArrayList<>()).add(floor);
                });
        return List.copyOf(families.values());
    }

    /** FNV-1a over the names, mixed: the same in every process and version. */
    static int tie(Name name) {
        int hash = 0x811c9dc5;
        for (String part : List.of(name.tenant, "\n", name.gateway, "\n", name.kind, "\n", name.className)) {
            for (int i = 0; i < part.length(); i++) {
                hash = (hash ^ part.charAt(i)) * 0x01000193;
            }
        }
        hash = (hash ^ hash >>> 16) * 0x7feb352d;
        return hash ^ hash >>> 15;
    }
}
