package sandpaddle.fleet.limit.allocator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import sandpaddle.fleet.limit.table.SlotName;

class FairSharesProperties {
    @Property(seed = "31", tries = 500)
    void sharesAreFairEfficientAndWithinTheAmount(@ForAll long seed) {
        Random random = new Random(seed);
        int slotCount = 1 + random.nextInt(30);
        long amount = slotCount + random.nextInt(200);
        List<String> names = new ArrayList<>();
        List<SlotDemand> slotDemands = new ArrayList<>();
        double demandSum = 0;
        for (int i = 0; i < slotCount; i++) {
            names.add("g" + i);
            slotDemands.add(new SlotDemand(new SlotName("g" + i, ""), random.nextInt(3) == 0 ? 0 : random.nextInt(60)));
            demandSum += slotDemands.get(i).demand();
        }
        long[] floors = Floors.of("l", amount, names, 0.05);
        double[] shares = FairShares.of(0, amount, floors, slotDemands);
        double sum = Arrays.stream(shares).sum();
        assertTrue(sum <= amount + 1e-6, sum + " of " + amount);
        assertTrue(sum >= Math.min(amount, demandSum) - 1e-6, "the whole demand or the whole amount is allocated");
        double level = 0;
        for (int i = 0; i < slotCount; i++) {
            double demand = slotDemands.get(i).demand();
            assertTrue(
                    shares[i] >= floors[i] && (demand == 0 || shares[i] >= 1),
                    "at least the floor, and one unit if there is demand");
            if (shares[i] > floors[i] + 1e-6 && shares[i] > 1 + 1e-6 && demand > 0 && demandSum > amount) {
                assertTrue(
                        level == 0 || Math.abs(level - shares[i] / demand) < 1e-6,
                        "slots above their minimum have one common level");
                level = shares[i] / demand;
            }
        }
    }

    @Property(seed = "32", tries = 100)
    void slotsTakeTurnsIfThereAreTooFewUnits(@ForAll long seed) {
        Random random = new Random(seed);
        int slotCount = 5 + random.nextInt(40);
        int amount = 1 + random.nextInt(4);
        List<SlotDemand> slotDemands = new ArrayList<>();
        for (int i = 0; i < slotCount; i++) {
            slotDemands.add(new SlotDemand(new SlotName("g" + i, ""), 3));
        }
        boolean[] hadTurn = new boolean[slotCount];
        long startUs = random.nextLong(1L << 40);
        for (int turn = 0; turn < slotCount; turn++) {
            double[] shares =
                    FairShares.of(startUs + turn * FairShares.TURN_US, amount, new long[slotCount], slotDemands);
            for (int i = 0; i < slotCount; i++) {
                hadTurn[i] |= shares[i] >= 1;
            }
        }
        for (int i = 0; i < slotCount; i++) {
            assertTrue(hadTurn[i], "g" + i + " of " + slotCount + " slots never had a turn; amount " + amount);
        }
    }

    @Property(seed = "33", tries = 100)
    void everyGatewayHasFloorOnSomeEngine(@ForAll long seed) {
        Random random = new Random(seed);
        int members = 2 + random.nextInt(60);
        int engines = 1 + random.nextInt(40);
        long amount = 2L * ((members + engines - 1) / engines) + random.nextInt(5);
        List<String> names = new ArrayList<>();
        List<String> limits = new ArrayList<>();
        for (int i = 0; i < Math.max(members, engines); i++) {
            if (i < members) {
                names.add("g" + i);
            }
            if (i < engines) {
                limits.add("e|" + i);
            }
        }
        long places = Floors.places(amount, members, engines, 0.05);
        Map<String, Set<String>> membersByLimit = Floors.onEngines(limits, places, names);
        for (String name : names) {
            assertTrue(
                    membersByLimit.values().stream().anyMatch(placed -> placed.contains(name)),
                    name + " has no floor on any engine");
        }
        membersByLimit
                .values()
                .forEach(placed -> assertTrue(placed.size() <= amount / 2, placed.size() + " of " + amount));
    }

    @Example
    void floorsAreOneUnitIfAnEvenPartIsLess() {
        assertEquals("[1, 1, 1]", Arrays.toString(Floors.of("l", 3, List.of("a", "b", "c"), 0.05)));
        assertEquals(
                1,
                Arrays.stream(Floors.of("l", 2, List.of("a", "b", "c"), 0.05)).sum(),
                "half of the amount");
        assertEquals(50, Floors.even(10_000, 10, 0.05));
    }
}
