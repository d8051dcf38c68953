package sandpaddle.fleet.limit.day;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import sandpaddle.fleet.limit.LimitScope;
import sandpaddle.fleet.limit.LimitSettings;
import sandpaddle.fleet.limit.LimitSpec;
import sandpaddle.fleet.limit.LimitUnit;
import sandpaddle.fleet.limit.allocator.SlotDemand;
import sandpaddle.fleet.limit.allocator.Target;
import sandpaddle.fleet.limit.allocator.TargetPolicy;
import sandpaddle.fleet.limit.bound.LimitBounds;
import sandpaddle.fleet.limit.table.SlotAllocation;
import sandpaddle.fleet.limit.table.SlotName;

class DemandTest {
    private static final LimitSettings SETTINGS = LimitSettings.DEFAULTS;
    private static final long S = 1_000_000;

    private static Fleet fleet(int size, int amount, int demand) {
        Fleet fleet = new Fleet(7, size, amount, SETTINGS, 0.005, TargetPolicy.NONE);
        fleet.delay = 100_000;
        fleet.gateways.forEach(g -> {
            g.demand = demand;
            g.longest = 200_000;
        });
        fleet.run(10 * S);
        return fleet;
    }

    private static long ceiling(Fleet fleet, int which) {
        Gateway gateway = fleet.gateways.get(which);
        return gateway.holder.ceiling(gateway.clock(fleet.now), Fleet.LIMIT, "");
    }

    @ParameterizedTest
    @ValueSource(ints = {3, 10, 40})
    void quotasFollowDemandWithinTwoSeconds(int size) {
        Fleet fleet = fleet(size, 200, 400 / size);
        assertTrue(fleet.engines.running(Fleet.LIMIT) >= 190, "even: " + fleet.engines.running(Fleet.LIMIT));
        fleet.gateways.forEach(g -> g.demand = Math.max(1, 60 / (size - 1)));
        fleet.gateways.get(0).demand = 240; // four fifths of all demand
        fleet.run(2 * S);
        int used = fleet.engines.running(Fleet.LIMIT);
        assertTrue(used >= 190, "used of 200 two seconds later: " + used);
        long quota = ceiling(fleet, 0);
        assertTrue(quota >= 0.75 * 200, "the gateway with four fifths of the demand may use " + quota);
    }

    @Test
    void gatewayWithAllDemandGetsAllButTheFloors() {
        Fleet fleet = fleet(10, 200, 40);
        fleet.gateways.forEach(g -> g.demand = 0);
        fleet.gateways.get(0).demand = 1000;
        fleet.run(2 * S);
        LimitSpec spec = new LimitSpec(Fleet.LIMIT, LimitScope.WHOLE_FLEET, LimitUnit.RUNNING, 200, 0);
        double min = new LimitBounds(SETTINGS, 100_000).minUsableShare(spec, 10);
        assertTrue(ceiling(fleet, 0) >= 200 * min, ceiling(fleet, 0) + " of 200, stated " + min);
        assertTrue(ceiling(fleet, 0) >= 190, ceiling(fleet, 0) + " of 200");
    }

    @Test
    void noiseMovesLittleQuota() {
        Fleet fleet = fleet(10, 200, 40);
        Random noise = new Random(3);
        int[] mean = {120, 40, 40, 30, 20, 10, 5, 5, 3, 2};
        Map<SlotName, SlotAllocation> before = new HashMap<>();
        long moved = 0;
        for (int second = 0; second < 60; second++) {
            for (int step = 0; step < 10; step++) {
                for (int i = 0; i < 10; i++) {
                    fleet.gateways.get(i).demand = (int) Math.round(mean[i] * (0.8 + 0.4 * noise.nextDouble()));
                }
                fleet.step();
                Map<SlotName, SlotAllocation> now =
                        fleet.voters.truth.limits().get(Fleet.LIMIT).slots();
                if (second >= 10) {
                    for (Map.Entry<SlotName, SlotAllocation> e : now.entrySet()) {
                        moved += Math.max(
                                0,
                                e.getValue().amount() - before.get(e.getKey()).amount());
                    }
                }
                before = new HashMap<>(now);
            }
        }
        assertTrue(moved <= 50, moved + " of 200 rights moved in 50 s");
    }

    @Test
    void noGatewayStarvesIfThereAreFewerUnitsThanGateways() {
        Fleet fleet = fleet(20, 5, 10);
        fleet.run(150 * S);
        for (Gateway gateway : fleet.gateways) {
            assertTrue(gateway.starts > 0, gateway.name + " never had a turn");
        }
    }

    @Test
    void smallDemandBesideLargeOnesIsMet() {
        Fleet fleet = fleet(10, 20, 500);
        fleet.gateways.get(9).demand = 1;
        fleet.run(3 * S);
        assertTrue(ceiling(fleet, 9) >= 1, "small demand beside nine greedy gateways");
    }

    @Test
    void partitionedGatewayUsesItsLeaseThenItsFloor() {
        Fleet fleet = fleet(5, 200, 100);
        long leased = ceiling(fleet, 2);
        long floor = fleet.voters
                .truth
                .limits()
                .get(Fleet.LIMIT)
                .slot(new SlotName("g2", ""))
                .floor();
        assertEquals(2, floor, "a twentieth of 200 among five");
        for (int v = 0; v < 3; v++) {
            fleet.cut.add(List.of(v, 2, 0));
            fleet.cut.add(List.of(v, 2, 1));
        }
        fleet.run(5 * S);
        assertEquals(leased, ceiling(fleet, 2), "within the lease");
        fleet.run(2 * S);
        assertEquals(floor, ceiling(fleet, 2), "after it");
        long used = fleet.gateways.get(2).starts;
        fleet.run(10 * S);
        assertTrue(fleet.gateways.get(2).starts > used, "it goes on with its floor");
        LimitBounds bounds = new LimitBounds(SETTINGS, 100_000);
        assertTrue(bounds.reclaimDelayUs() < 12 * S, "stated " + bounds.reclaimDelayUs());
        int all = fleet.engines.running(Fleet.LIMIT);
        assertTrue(all >= 190 && all <= 200, "the others have the rest: " + all);
    }

    @Test
    void reducedLimitIsEnforcedWithinItsBoundConnectedAndPartitioned() {
        LimitBounds bounds = new LimitBounds(SETTINGS, 100_000);
        Fleet connected = fleet(5, 200, 100);
        assertTrue(connected.limit(60));
        connected.run(bounds.lowerDelayConnectedUs(400_000) + Fleet.STEP_US);
        assertTrue(connected.engines.running(Fleet.LIMIT) <= 60, "connected");
        Fleet cut = fleet(5, 200, 100);
        for (int i = 0; i < 15; i++) {
            cut.cut.add(List.of(i % 3, i / 3, 0));
            cut.cut.add(List.of(i % 3, i / 3, 1));
        }
        assertTrue(cut.limit(20));
        cut.run(bounds.lowerDelayPartitionedUs() + Fleet.STEP_US);
        int running = cut.engines.running(Fleet.LIMIT);
        assertTrue(running <= 20 && running >= 10, "all cut off: " + running);
    }

    /** A pool's budget of 60: tenant "a" has twice the weight of "b", on each gateway alike. */
    private static final TargetPolicy POOL = new TargetPolicy() {
        @Override
        public boolean appliesTo(LimitSpec limit) {
            return true;
        }

        @Override
        public List<Target> targets(long now, LimitSpec limit, long amount, List<SlotDemand> claims) {
            double weights = claims.stream()
                    .mapToDouble(c -> c.slot().tenant().equals("a") ? 2 : 1)
                    .sum();
            return claims.stream()
                    .map(c -> new Target((c.slot().tenant().equals("a") ? 2 : 1) * amount / weights, 1))
                    .toList();
        }
    };

    @Test
    void poolsDivideALimitByTenant() {
        Fleet fleet = new Fleet(7, 4, 60, SETTINGS, 0.005, POOL);
        fleet.run(4 * S);
        fleet.gateways.forEach(g -> List.of("a", "b").forEach(t -> g.holder.openSlot(Fleet.LIMIT, t)));
        fleet.run(4 * S);
        for (Gateway gateway : fleet.gateways) {
            long clock = gateway.clock(fleet.now);
            assertEquals(10, gateway.holder.ceiling(clock, Fleet.LIMIT, "a"), gateway.name);
            assertEquals(5, gateway.holder.ceiling(clock, Fleet.LIMIT, "b"), gateway.name);
            assertEquals(0, gateway.holder.ceiling(clock, Fleet.LIMIT, ""), gateway.name);
        }
    }

    @Test
    void amountBelowTheFloorsIsRefused() {
        Fleet fleet = fleet(5, 200, 100);
        assertTrue(!fleet.limit(9), "five floors of two are in force");
        assertTrue(fleet.limit(10));
    }
}
