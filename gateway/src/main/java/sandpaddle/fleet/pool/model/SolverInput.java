package sandpaddle.fleet.pool.model;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The input of the solver, with at most {@value #MAX_GATEWAYS} gateways, {@value #MAX_ENGINES} engines and
 * {@value #MAX_DEMANDS} demands.
 *
 * @param state the state in which conditions are evaluated
 * @param gateways those that take part in the division
 * @param engines those that may be connected to
 */
public record SolverInput(FleetState state, List<Gateway> gateways, List<Engine> engines, List<Demand> demands) {
    /** The maximum number of gateways. */
    public static final int MAX_GATEWAYS = 1_024;
    /** The maximum number of engines. */
    public static final int MAX_ENGINES = 4_096;
    /** The maximum number of demands. */
    public static final int MAX_DEMANDS = 262_144;
    /** The maximum number of connections in one demand. */
    public static final int MAX_CONNECTIONS = 1_000_000;

    /** A gateway that takes part in the division. */
    public record Gateway(String name, String zone) {}

    /**
     * An engine that may be connected to.
     *
     * @param returning whether it has returned recently and its caches are still cold
     */
    public record Engine(String name, String kind, boolean returning) {}

    /** The number of connections to engines of a kind that a tenant could use on a gateway for requests of a class. */
    public record Demand(String tenant, String className, String gateway, String kind, int connections) {}

    /**
     * Checks and copies the input.
     *
     * @throws IllegalArgumentException if a bound is exceeded, a name occurs twice, a demand is out of range, or the
     * gateway of a demand is unknown
     */
    public SolverInput {
        gateways = List.copyOf(gateways);
        engines = List.copyOf(engines);
        demands = List.copyOf(demands);
        checkBound("gateways", gateways.size(), MAX_GATEWAYS);
        checkBound("engines", engines.size(), MAX_ENGINES);
        checkBound("demands", demands.size(), MAX_DEMANDS);
        Set<String> gatewayNames = new HashSet<>();
        gateways.forEach(g -> checkUnique(gatewayNames, "gateway", g.name()));
        Set<String> engineNames = new HashSet<>();
        engines.forEach(e -> checkUnique(engineNames, "engine", e.name()));
        for (Demand demand : demands) {
            if (!gatewayNames.contains(demand.gateway())) {
                throw new IllegalArgumentException("demand for unknown gateway " + demand.gateway());
            }
            if (demand.connections() < 0 || demand.connections() > MAX_CONNECTIONS) {
                throw new IllegalArgumentException("demand of " + demand.connections() + " connections by tenant "
                        + demand.tenant() + "; expected 0 to " + MAX_CONNECTIONS);
            }
        }
    }

    private static void checkBound(String label, int found, int max) {
        if (found > max) {
            throw new IllegalArgumentException(found + " " + label + "; at most " + max + " are allowed");
        }
    }

    private static void checkUnique(Set<String> gatewayNames, String label, String name) {
        if (!gatewayNames.add(name)) {
            throw new IllegalArgumentException("duplicate " + label + " " + name);
        }
    }

    /** The zone of each gateway, by gateway name. */
    public Map<String, String> zonesByGateway() {
        Map<String, String> zones = new HashMap<>();
        gateways.forEach(g -> zones.put(g.name(), g.zone()));
        return zones;
    }
}
