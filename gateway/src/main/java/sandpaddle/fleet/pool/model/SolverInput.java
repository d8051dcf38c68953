package sandpaddle.fleet.pool.model;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The input of the solver: the fleet's state, the gateways that take part, the engines that may be connected to, and
 * the demands. Bounds: {@value #MAX_GATEWAYS} gateways, {@value #MAX_ENGINES} engines, {@value #MAX_DEMANDS} demands.
 */
public record SolverInput(FleetState state, List<Gateway> gateways, List<Engine> engines, List<Demand> demands) {
    public static final int MAX_GATEWAYS = 1_024;
    public static final int MAX_ENGINES = 4_096;
    public static final int MAX_DEMANDS = 262_144;
    public static final int MAX_CONNECTIONS = 1_000_000;

    /** A gateway that takes part. */
    public record Gateway(String name, String zone) {}

    /** An engine that may be connected to; {@code returning}: it comes back and is still cold. */
    public record Engine(String name, String kind, boolean returning) {}

    /** How many connections to engines of a kind a tenant could use on a gateway for queries of a class. */
    public record Demand(String tenant, String className, String gateway, String kind, int connections) {}

    /** @throws IllegalArgumentException where a bound is passed, a name comes twice, or a gateway is unknown */
    public SolverInput {
        gateways = List.copyOf(gateways);
        engines = List.copyOf(engines);
        demands = List.copyOf(demands);
        bound("gateways", gateways.size(), MAX_GATEWAYS);
        bound("engines", engines.size(), MAX_ENGINES);
        bound("demands", demands.size(), MAX_DEMANDS);
        Set<String> names = new HashSet<>();
        gateways.forEach(g -> once(names, "gateway", g.name()));
        Set<String> engineNames = new HashSet<>();
        engines.forEach(e -> once(engineNames, "engine", e.name()));
        for (Demand demand : demands) {
            if (!names.contains(demand.gateway())) {
                throw new IllegalArgumentException("demand of a gateway unknown: " + demand.gateway());
            }
            if (demand.connections() < 0 || demand.connections() > MAX_CONNECTIONS) {
                throw new IllegalArgumentException("demand of " + demand.connections() + " connections by tenant "
                        + demand.tenant() + ", not from 0 to " + MAX_CONNECTIONS);
            }
        }
    }

    private static void bound(String what, int found, int max) {
        if (found > max) {
            throw new IllegalArgumentException(found + " " + what + ", " + max + " at most");
        }
    }

    private static void once(Set<String> names, String what, String name) {
        if (!names.add(name)) {
            throw new IllegalArgumentException(what + " twice: " + name);
        }
    }

    public Map<String, String> zonesByGateway() {
        Map<String, String> zones = new HashMap<>();
        gateways.forEach(g -> zones.put(g.name(), g.zone()));
        return zones;
    }
}
