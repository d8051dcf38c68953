package sandpaddle.fleet.pool.solve;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import sandpaddle.fleet.pool.model.Selector;
import sandpaddle.fleet.pool.rule.Capacity;

/**
 * A division of the fleet's connections: among tenants by engine kind, and among gateways by engine.
 *
 * @param rows sorted by engine kind, gateway, tenant and class
 * @param cells one for each engine with a budget and each gateway that has connections to it; the tenants of a gateway
 * share its connections to an engine in proportion to their rows
 * @param budgets the capacity that each budget leaves for tenants
 * @param unmetFloors floors that could not be granted in full
 * @param reclaimWithin the time within which lent connections return to a tenant that needs them again; empty if
 * nothing is lent
 * @param steps heap operations and row visits of the division, as a measure of its cost
 */
public record Allocation(
        List<Row> rows,
        List<Cell> cells,
        List<BudgetCapacity> budgets,
        List<UnmetFloor> unmetFloors,
        Optional<Duration> reclaimWithin,
        long steps) {
    /** The empty allocation. */
    public static final Allocation NONE =
            new Allocation(List.of(), List.of(), List.of(), List.of(), Optional.empty(), 0);

    /**
     * The connections of a tenant on a gateway for a class, to engines of a kind.
     *
     * @param entitled its connections if all rows demanded as much as their limits allow; any excess over this is
     * borrowed
     * @param floor the part of {@code connections} that is guaranteed by floors
     */
    public record Row(
            String kind, String gateway, String tenant, String className, int connections, int entitled, int floor) {
        /** The connections in excess of those that the row is entitled to. */
        public int borrowed() {
            return Math.max(0, connections - entitled);
        }
    }

    /** The connections of a gateway to one engine. */
    public record Cell(String kind, String engine, String gateway, int connections) {}

    /** The capacity of a budget, and the limit that enforces it. */
    public record BudgetCapacity(Limit limit, Capacity capacity) {}

    /**
     * A floor that could not be granted in full.
     *
     * @param line of the statement in the policy file
     * @param demanded the sum of the upper bounds of its rows, in connections
     * @param allocated connections that its rows received
     */
    public record UnmetFloor(Selector selector, int line, int floor, long demanded, long allocated) {}

    /** The connections of the row with these keys; 0 if there is none. */
    public int connections(String kind, String gateway, String tenant, String className) {
        OptionalInt found = rows.stream()
                .filter(r -> r.kind.equals(kind)
                        && r.gateway.equals(gateway)
                        && r.tenant.equals(tenant)
                        && r.className.equals(className))
                .mapToInt(Row::connections)
                .findFirst();
        return found.orElse(0);
    }

    /** The connections of a tenant in all rows. */
    public int connectionsOfTenant(String tenant) {
        return rows.stream()
                .filter(r -> r.tenant.equals(tenant))
                .mapToInt(Row::connections)
                .sum();
    }

    /** The connections of a gateway in all rows. */
    public int connectionsOfGateway(String gateway) {
        return rows.stream()
                .filter(r -> r.gateway.equals(gateway))
                .mapToInt(Row::connections)
                .sum();
    }
}
