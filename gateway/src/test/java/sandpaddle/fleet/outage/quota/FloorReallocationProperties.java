package sandpaddle.fleet.outage.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

class FloorReallocationProperties {
    private static final FloorReallocationSettings SETTINGS = FloorReallocationSettings.DEFAULT;

    @Property(tries = 500, seed = "31")
    void reallocationPreservesSumOfFloors(@ForAll long seed) {
        Random random = new Random(seed);
        List<GatewayFloor> gateways = new ArrayList<>();
        for (int i = 0; i < 1 + random.nextInt(30); i++) {
            gateways.add(new GatewayFloor("g" + i, "h" + random.nextInt(4), random.nextInt(10), random.nextInt(40)));
        }
        long sum = gateways.stream().mapToLong(GatewayFloor::floor).sum();
        long limit = sum + random.nextInt(50);
        Map<String, Long> floors = FloorReallocation.floors(limit, gateways, Set.of("h1"), SETTINGS);
        assertEquals(sum, floors.values().stream().mapToLong(floor -> floor).sum());
        long floorsBefore = 0;
        long floorsAfter = 0;
        for (GatewayFloor gateway : gateways) {
            long floor = floors.get(gateway.gateway());
            if (gateway.zone().equals("h1")) {
                assertTrue(
                        floor >= gateway.floor() && floor <= Math.max(gateway.floor(), gateway.demand()),
                        gateway + " got " + floor);
                floorsBefore += gateway.floor();
                floorsAfter += floor;
            } else {
                assertTrue(
                        floor <= gateway.floor() && floor >= Math.min(gateway.floor(), SETTINGS.minFloor()),
                        gateway + " got " + floor);
            }
        }
        assertTrue(
                floorsAfter == floorsBefore || floorsAfter <= limit * SETTINGS.maxFraction(),
                floorsAfter + " of " + limit);
    }

    @Example
    void zoneReceivesDemandFromOthersAndFloorsRevertAfterOutage() {
        List<GatewayFloor> gateways = List.of(
                new GatewayFloor("a", "ship", 2, 8),
                new GatewayFloor("b", "ship", 2, 4),
                new GatewayFloor("c", "east", 10, 0),
                new GatewayFloor("d", "west", 6, 0));
        assertEquals(
                Map.of("a", 8L, "b", 4L, "c", 5L, "d", 3L),
                FloorReallocation.floors(30, gateways, Set.of("ship"), SETTINGS));
        assertEquals(3, FloorReallocation.concurrentDemand(3600, 2_100_000, 3_600_000));
        assertEquals(0, FloorReallocation.concurrentDemand(0, 2_100_000, 3_600_000));
        assertEquals(
                Map.of("a", 2L, "b", 2L, "c", 10L, "d", 6L),
                FloorReallocation.floors(30, gateways, Set.of(), SETTINGS));
    }

    @Example
    void isActiveFromLeadTimeUntilZoneReconnects() {
        List<PlannedOutage> outages = List.of(new PlannedOutage("ship", 100_000, 200_000));
        assertEquals(9500, SETTINGS.leadMs());
        assertFalse(FloorReallocation.isActive(outages.get(0), 90_499, SETTINGS));
        assertTrue(FloorReallocation.isActive(outages.get(0), 90_500, SETTINGS));
        assertFalse(FloorReallocation.isActive(outages.get(0), 200_000, SETTINGS));
        assertEquals(
                Set.of("ship"), FloorReallocation.zonesWithReallocation(outages, Set.of("ship"), 500_000, SETTINGS));
        assertEquals(Set.of(), FloorReallocation.zonesWithReallocation(outages, Set.of(), 500_000, SETTINGS));
        assertEquals(Set.of(), FloorReallocation.zonesWithReallocation(List.of(), Set.of("ship"), 500_000, SETTINGS));
    }
}
