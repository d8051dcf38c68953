package sandpaddle.fleet.outage.quota;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Reallocates the floors of a limit for the duration of an expected outage. The gateways of the affected zones get
 * their expected demand, up to a fraction of the limit for all of them together. The floors of all other gateways
 * shrink in proportion to what they have above the minimum floor.
 *
 * <p>The sum of the floors never grows, so a limit that covers the usual floors also covers these. The wall clock
 * decides only when floors are reallocated. It does not decide when quotas pass from one gateway to another: as in
 * every transfer of quotas, the lease ensures that a gateway gets a quota only after the former holder must have given
 * it up. Amounts are whole units. O(n log n) for n gateways.
 */
public final class FloorReallocation {
    private FloorReallocation() {}

    /**
     * Whether the schedule alone makes the reallocation for an outage active at a time (wall clock, ms): from the lead
     * time before the earliest expected loss until the expected return. {@link #zonesWithReallocation} adds zones that
     * are still isolated then.
     */
    public static boolean isActive(PlannedOutage outage, long wallMs, FloorReallocationSettings settings) {
        return wallMs >= outage.lossAtMs() - settings.leadMs() && wallMs < outage.returnAtMs();
    }

    /**
     * Returns the zones whose reallocation is active: by the schedule, or because a zone with an expected outage is
     * still isolated after its expected return.
     */
    public static Set<String> zonesWithReallocation(
            List<PlannedOutage> outages, Set<String> isolatedZones, long wallMs, FloorReallocationSettings settings) {
        Set<String> zones = new TreeSet<>();
        outages.stream()
                .filter(outage -> isActive(outage, wallMs, settings))
                .forEach(outage -> zones.add(outage.zone()));
        // an isolated zone without an expected outage gets no reallocation: an isolated gateway does not receive new
        // floors
        outages.stream()
                .filter(outage ->
                        isolatedZones.contains(outage.zone()) && wallMs >= outage.lossAtMs() - settings.leadMs())
                .forEach(outage -> zones.add(outage.zone()));
        return zones;
    }

    /**
     * Returns the floors of all gateways in one limit; the usual ones if no zone has an active reallocation.
     *
     * @param limit the limit
     * @param gateways usual floors and expected demand
     * @param zonesInOutage zones whose reallocation is active
     * @param settings settings of the reallocation
     */
    public static Map<String, Long> floors(
            long limit, List<GatewayFloor> gateways, Set<String> zonesInOutage, FloorReallocationSettings settings) {
        Map<String, Long> floors = new LinkedHashMap<>();
        gateways.forEach(gateway -> floors.put(gateway.gateway(), gateway.floor()));
        List<GatewayFloor> receiving = gateways.stream()
                .filter(gateway -> zonesInOutage.contains(gateway.zone()))
                .toList();
        List<GatewayFloor> giving = gateways.stream()
                .filter(gateway -> !zonesInOutage.contains(gateway.zone()))
                .toList();
        long missing = receiving.stream()
                .mapToLong(gateway -> Math.max(0, gateway.demand() - gateway.floor()))
                .sum();
        long available = giving.stream()
                .mapToLong(gateway -> Math.max(0, gateway.floor() - settings.minFloor()))
                .sum();
        long receivingFloors = receiving.stream().mapToLong(GatewayFloor::floor).sum();
        long maxIncrease = Math.max(0, (long) Math.floor(limit * settings.maxFraction()) - receivingFloors);
        // floors are only moved, not made from the rest of the limit: their sum stays as validated against the limit
        long moved = Math.min(Math.min(missing, available), maxIncrease);
        if (moved <= 0) {
            return floors;
        }
        divide(moved, receiving, gateway -> Math.max(0, gateway.demand() - gateway.floor()))
                .forEach((name, amount) -> floors.merge(name, amount, Long::sum));
        divide(moved, giving, gateway -> Math.max(0, gateway.floor() - settings.minFloor()))
                .forEach((name, amount) -> floors.merge(name, -amount, Long::sum));
        return floors;
    }

    /**
     * Returns the number of quota units that a gateway needs concurrently, by Little's law, rounded up.
     *
     * @param requests expected number of requests
     * @param heldUs time for which a request holds a unit, in microseconds
     * @param durationMs time in which the requests are expected, in milliseconds
     */
    public static long concurrentDemand(double requests, double heldUs, long durationMs) {
        return (long) Math.ceil(Math.max(0, requests) * Math.max(0, heldUs) / (Math.max(1, durationMs) * 1000.0));
    }

    private interface Claim {
        long of(GatewayFloor gateway);
    }

    /**
     * Divides whole units in proportion to claims by the largest-remainder method, ties by name. No gateway gets more
     * than its claim.
     */
    private static Map<String, Long> divide(long units, List<GatewayFloor> gateways, Claim claim) {
        long claimSum = gateways.stream().mapToLong(claim::of).sum();
        Map<String, Long> amounts = new LinkedHashMap<>();
        Map<String, Double> remainders = new HashMap<>();
        long remaining = units;
        for (GatewayFloor gateway : gateways) {
            double exactAmount = (double) units * claim.of(gateway) / claimSum;
            long amount = Math.min(claim.of(gateway), (long) Math.floor(exactAmount));
            amounts.put(gateway.gateway(), amount);
            remainders.put(gateway.gateway(), exactAmount - amount);
            remaining -= amount;
        }
        List<GatewayFloor> byRemainder = new ArrayList<>(gateways);
        byRemainder.sort(Comparator.comparingDouble((GatewayFloor gateway) -> remainders.get(gateway.gateway()))
                .reversed()
                .thenComparing(GatewayFloor::gateway));
        while (remaining > 0) {
            for (GatewayFloor gateway : byRemainder) {
                if (remaining > 0 && amounts.get(gateway.gateway()) < claim.of(gateway)) {
                    amounts.merge(gateway.gateway(), 1L, Long::sum);
                    remaining--;
                }
            }
        }
        return amounts;
    }
}
