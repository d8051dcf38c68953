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

class FloorShiftProperties {
    private static final QuotaShiftSettings S = QuotaShiftSettings.DEFAULT;

    @Property(tries = 500, seed = "31")
    void floorsNeverGrowInSum(@ForAll long seed) {
        Random r = new Random(seed);
        List<FloorShare> shares = new ArrayList<>();
        for (int i = 0; i < 1 + r.nextInt(30); i++) {
            shares.add(new FloorShare("g" + i, "h" + r.nextInt(4), r.nextInt(10), r.nextInt(40)));
        }
        long sum = shares.stream().mapToLong(FloorShare::floor).sum();
        long limit = sum + r.nextInt(50);
        Map<String, Long> floors = FloorShift.floors(limit, shares, Set.of("h1"), S);
        assertEquals(sum, floors.values().stream().mapToLong(f -> f).sum());
        long had = 0;
        long has = 0;
        for (FloorShare s : shares) {
            long f = floors.get(s.gateway());
            if (s.zone().equals("h1")) {
                assertTrue(f >= s.floor() && f <= Math.max(s.floor(), s.need()), s + " got " + f);
                had += s.floor();
                has += f;
            } else {
                assertTrue(f <= s.floor() && f >= Math.min(s.floor(), S.minEach()), s + " got " + f);
            }
        }
        assertTrue(has == had || has <= limit * S.maxShare(), has + " of " + limit);
    }

    @Example
    void theZoneGetsWhatItNeedsFromAllOthersAndTheUsualFloorsReturn() {
        List<FloorShare> shares = List.of(
                new FloorShare("a", "ship", 2, 8),
                new FloorShare("b", "ship", 2, 4),
                new FloorShare("c", "east", 10, 0),
                new FloorShare("d", "west", 6, 0));
        assertEquals(Map.of("a", 8L, "b", 4L, "c", 5L, "d", 3L), FloorShift.floors(30, shares, Set.of("ship"), S));
        assertEquals(3, FloorShift.need(3600, 2_100_000, 3_600_000));
        assertEquals(0, FloorShift.need(0, 2_100_000, 3_600_000));
        assertEquals(Map.of("a", 2L, "b", 2L, "c", 10L, "d", 6L), FloorShift.floors(30, shares, Set.of(), S));
    }

    @Example
    void movingBeginsEarlyEnoughAndLastsWhileTheZoneIsCutOff() {
        List<PlannedOutage> leaves = List.of(new PlannedOutage("ship", 100_000, 200_000));
        assertEquals(9500, S.leadMs());
        assertFalse(FloorShift.isInForce(leaves.get(0), 90_499, S));
        assertTrue(FloorShift.isInForce(leaves.get(0), 90_500, S));
        assertFalse(FloorShift.isInForce(leaves.get(0), 200_000, S));
        assertEquals(Set.of("ship"), FloorShift.leaving(leaves, Set.of("ship"), 500_000, S));
        assertEquals(Set.of(), FloorShift.leaving(leaves, Set.of(), 500_000, S));
        assertEquals(Set.of(), FloorShift.leaving(List.of(), Set.of("ship"), 500_000, S));
    }
}
