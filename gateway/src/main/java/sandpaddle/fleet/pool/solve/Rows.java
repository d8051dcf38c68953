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

/** The rows among which connections are divided, with their weights, links and floors, sorted by key. */
final class Rows {
    /**
     * The key of a row; demands of equal keys are added up, as are those of all tenants accounted to the default
     * tenant.
     */
    record RowKey(String kind, String gateway, String tenant, String className) implements Comparable<RowKey> {
        @Override
        public int compareTo(RowKey other) {
            int order = kind.compareTo(other.kind);
            order = order != 0 ? order : gateway.compareTo(other.gateway);
            order = order != 0 ? order : tenant.compareTo(other.tenant);
            return order != 0 ? order : className.compareTo(other.className);
        }
    }

    /**
     * A floor that applies to a set of rows.
     *
     * @param selector the set, with all defaults resolved to names
     * @param share the statement that sets the floor
     * @param rows indices of the rows
     */
    record Floor(Selector selector, Share share, List<Integer> rows) {}

    private static final Object FLEET = new Object();

    final List<RowKey> keys;
    final int[] demand;
    final long[] weight;
    final int[] tieBreakers;
    final int[][] links;
    final long[] capacity;
    /** The floors by family, in the order in which they are granted; the sets of rows within a family are disjoint. */
    final List<List<Floor>> floors;

    Rows(Policy policy, Shares shares, SolverInput solverInput, Capacities capacities) {
        TreeMap<RowKey, Integer> demandByKey = new TreeMap<>();
        for (Demand tenantDemand : solverInput.demands()) {
            demandByKey.merge(
                    new RowKey(
                            tenantDemand.kind(),
                            tenantDemand.gateway(),
                            policy.accountedTenant(tenantDemand.tenant()),
                            tenantDemand.className()),
                    tenantDemand.connections(),
                    (a, b) -> Math.min(a + b, SolverInput.MAX_CONNECTIONS));
        }
        keys = List.copyOf(demandByKey.keySet());
        demand = demandByKey.values().stream().mapToInt(Integer::intValue).toArray();
        weight = new long[demand.length];
        tieBreakers = new int[demand.length];
        links = new int[demand.length][];
        Map<String, String> zones = solverInput.zonesByGateway();
        Map<String, OptionalLong> availableByKind = new HashMap<>();
        Map<Object, Integer> linkNumbers = new HashMap<>();
        List<Long> linkCapacities = new ArrayList<>();
        Map<Selector, Floor> floorsBySelector = new LinkedHashMap<>();
        for (int row = 0; row < demand.length; row++) {
            RowKey key = keys.get(row);
            ShareIndex.Subject subject =
                    new ShareIndex.Subject(key.tenant, key.className, key.gateway, zones.get(key.gateway));
            weight[row] = shares.weight(subject);
            tieBreakers[row] = tieBreaker(key);
            List<Integer> rowLinks = new ArrayList<>(6);
            capacities.fleet().ifPresent(c -> rowLinks.add(link(linkNumbers, linkCapacities, FLEET, c.available())));
            availableByKind
                    .computeIfAbsent(key.kind, capacities::availableForKind)
                    .ifPresent(c -> rowLinks.add(link(linkNumbers, linkCapacities, key.kind, c)));
            shares.ceilings()
                    .effectiveBySelector(subject)
                    .forEach((selector, share) -> rowLinks.add(link(
                            linkNumbers,
                            linkCapacities,
                            selector,
                            share.ceiling().getAsInt())));
            links[row] = rowLinks.stream().mapToInt(Integer::intValue).toArray();
            int rowIndex = row;
            shares.floors()
                    .effectiveBySelector(subject)
                    .forEach((selector, share) -> floorsBySelector
                            .computeIfAbsent(selector, absent -> new Floor(absent, share, new ArrayList<>()))
                            .rows
                            .add(rowIndex));
        }
        capacity = linkCapacities.stream().mapToLong(Long::longValue).toArray();
        floors = groupIntoFamilies(floorsBySelector);
    }

    private static int link(
            Map<Object, Integer> linkNumbers, List<Long> linkCapacities, Object constraint, long bound) {
        // keys of the three types of constraint differ in class (Object, String, Selector), so they are never equal
        return linkNumbers.computeIfAbsent(constraint, w -> {
            linkCapacities.add(bound);
            return linkCapacities.size() - 1;
        });
    }

    /**
     * Groups floors by the forms of their selectors, the most specific first, as for precedence. Sums over groups may
     * overlap, so each group forms a family of its own.
     */
    private static List<List<Floor>> groupIntoFamilies(Map<Selector, Floor> floorsBySelector) {
        Map<List<Object>, List<Floor>> disjointFamilies = new LinkedHashMap<>();
        floorsBySelector.values().stream()
                .sorted(Comparator.<Floor>comparingInt(floor -> -floor.selector.specificity())
                        .thenComparing(floor -> floor.share.position())
                        .thenComparing(floor -> floor.selector.toString()))
                .forEach(floor -> {
                    List<Object> family = new ArrayList<>(floor.selector.forms());
                    floor.selector.terms().stream()
                            .filter(term -> term.form() == Form.GROUP_TOTAL)
                            .forEach(term -> family.add(term.name()));
                    disjointFamilies
                            .computeIfAbsent(family, absent -> new ArrayList<>())
                            .add(floor);
                });
        return List.copyOf(disjointFamilies.values());
    }

    /** A hash of the key: FNV-1a with a finalizer; it must be the same in all processes and versions. */
    static int tieBreaker(RowKey key) {
        int hash = 0x811c9dc5;
        for (String part : List.of(key.tenant, "\n", key.gateway, "\n", key.kind, "\n", key.className)) {
            for (int i = 0; i < part.length(); i++) {
                hash = (hash ^ part.charAt(i)) * 0x01000193;
            }
        }
        hash = (hash ^ hash >>> 16) * 0x7feb352d;
        return hash ^ hash >>> 15;
    }
}
