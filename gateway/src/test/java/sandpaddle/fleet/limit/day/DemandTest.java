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

/** Checks how quotas follow demand, partitions and reduced limits in a simulated fleet. */
class DemandTest {
    private static final LimitSettings SETTINGS = LimitSettings.DEFAULTS;
    private static final long US_PER_S = 1_000_000;

    private static SimulatedFleet fleet(int size, int amount, int demand) {
        SimulatedFleet fleet = new SimulatedFleet(7, size, amount, SETTINGS, 0.005, TargetPolicy.NONE);
        fleet.maxDelayUs = 100_000;
        fleet.gateways.forEach(gateway -> {
            gateway.demand = demand;
            gateway.maxDurationUs = 200_000;
        });
        fleet.run(10 * US_PER_S);
        return fleet;
    }

    private static long ceiling(SimulatedFleet fleet, int index) {
        SimulatedGateway gateway = fleet.gateways.get(index);
        return gateway.holder.ceiling(gateway.localTimeUs(fleet.nowUs), SimulatedFleet.LIMIT, "");
    }

    @ParameterizedTest
    @ValueSource(ints = {3, 10, 40})
    void quotasFollowDemandWithinTwoSeconds(int size) {
        SimulatedFleet fleet = fleet(size, 200, 400 / size);
        assertTrue(
                fleet.engines.running(SimulatedFleet.LIMIT) >= 190,
                "running with even demand: " + fleet.engines.running(SimulatedFleet.LIMIT));
        fleet.gateways.forEach(gateway -> gateway.demand = Math.max(1, 60 / (size - 1)));
        fleet.gateways.get(0).demand = 240; // four fifths of the demand
        fleet.run(2 * US_PER_S);
        int used = fleet.engines.running(SimulatedFleet.LIMIT);
        assertTrue(used >= 190, "running 2 s after the change, of 200: " + used);
        long quota = ceiling(fleet, 0);
        assertTrue(quota >= 0.75 * 200, "quota of the gateway with four fifths of the demand: " + quota);
    }

    @Test
    void gatewayWithAllDemandGetsAllButTheFloors() {
        SimulatedFleet fleet = fleet(10, 200, 40);
        fleet.gateways.forEach(gateway -> gateway.demand = 0);
        fleet.gateways.get(0).demand = 1000;
        fleet.run(2 * US_PER_S);
        LimitSpec spec = new LimitSpec(SimulatedFleet.LIMIT, LimitScope.WHOLE_FLEET, LimitUnit.RUNNING, 200, 0);
        double min = new LimitBounds(SETTINGS, 100_000).minUsableShare(spec, 10);
        assertTrue(ceiling(fleet, 0) >= 200 * min, ceiling(fleet, 0) + " of 200, bound " + min);
        assertTrue(ceiling(fleet, 0) >= 190, ceiling(fleet, 0) + " of 200");
    }

    @Test
    void noiseMovesLittleQuota() {
        SimulatedFleet fleet = fleet(10, 200, 40);
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
                Map<SlotName, SlotAllocation> now = fleet.voters
                        .committedTable
                        .limits()
                        .get(SimulatedFleet.LIMIT)
                        .slots();
                if (second >= 10) {
                    for (Map.Entry<SlotName, SlotAllocation> slot : now.entrySet()) {
                        moved += Math.max(
                                0,
                                slot.getValue().amount()
                                        - before.get(slot.getKey()).amount());
                    }
                }
                before = new HashMap<>(now);
            }
        }
        assertTrue(moved <= 50, moved + " units of a limit of 200 moved in 50 s");
    }

    @Test
    void noGatewayStarvesIfThereAreFewerUnitsThanGateways() {
        SimulatedFleet fleet = fleet(20, 5, 10);
        fleet.run(150 * US_PER_S);
        for (SimulatedGateway gateway : fleet.gateways) {
            assertTrue(gateway.startedAttempts > 0, gateway.name + " never started an attempt");
        }
    }

    @Test
    void smallDemandIsMetBesideLargeOnes() {
        SimulatedFleet fleet = fleet(10, 20, 500);
        fleet.gateways.get(9).demand = 1;
        fleet.run(3 * US_PER_S);
        assertTrue(ceiling(fleet, 9) >= 1, "a demand of 1 beside nine gateways with a demand of 500");
    }

    @Test
    void partitionedGatewayUsesItsLeaseThenItsFloor() {
        SimulatedFleet fleet = fleet(5, 200, 100);
        long leased = ceiling(fleet, 2);
        long floor = fleet.voters
                .committedTable
                .limits()
                .get(SimulatedFleet.LIMIT)
                .slot(new SlotName("g2", ""))
                .floor();
        assertEquals(2, floor, "a twentieth of 200, divided by five gateways");
        for (int voter = 0; voter < 3; voter++) {
            fleet.brokenLinks.add(List.of(voter, 2, 0));
            fleet.brokenLinks.add(List.of(voter, 2, 1));
        }
        fleet.run(5 * US_PER_S);
        assertEquals(leased, ceiling(fleet, 2), "before the lease expires");
        fleet.run(2 * US_PER_S);
        assertEquals(floor, ceiling(fleet, 2), "after the lease expired");
        long startedBefore = fleet.gateways.get(2).startedAttempts;
        fleet.run(10 * US_PER_S);
        assertTrue(fleet.gateways.get(2).startedAttempts > startedBefore, "it starts attempts on its floor");
        LimitBounds bounds = new LimitBounds(SETTINGS, 100_000);
        assertTrue(bounds.reclaimDelayUs() < 12 * US_PER_S, "bound " + bounds.reclaimDelayUs());
        int running = fleet.engines.running(SimulatedFleet.LIMIT);
        assertTrue(running >= 190 && running <= 200, "running at all gateways: " + running);
    }

    @Test
    void reducedLimitIsEnforcedWithinItsBoundConnectedAndPartitioned() {
        LimitBounds bounds = new LimitBounds(SETTINGS, 100_000);
        SimulatedFleet connected = fleet(5, 200, 100);
        assertTrue(connected.setLimit(60));
        connected.run(bounds.lowerDelayConnectedUs(400_000) + SimulatedFleet.STEP_US);
        assertTrue(connected.engines.running(SimulatedFleet.LIMIT) <= 60, "running with all gateways connected");
        SimulatedFleet partitioned = fleet(5, 200, 100);
        for (int i = 0; i < 15; i++) {
            partitioned.brokenLinks.add(List.of(i % 3, i / 3, 0));
            partitioned.brokenLinks.add(List.of(i % 3, i / 3, 1));
        }
        assertTrue(partitioned.setLimit(20));
        partitioned.run(bounds.lowerDelayPartitionedUs() + SimulatedFleet.STEP_US);
        int running = partitioned.engines.running(SimulatedFleet.LIMIT);
        assertTrue(running <= 20 && running >= 10, "running with all gateways partitioned: " + running);
    }

    /** Divides a limit evenly among gateways; on each, tenant "a" has twice the weight of tenant "b". */
    private static final TargetPolicy POOL = new TargetPolicy() {
        @Override
        public boolean appliesTo(LimitSpec limit) {
            return true;
        }

        @Override
        public List<Target> targets(long nowUs, LimitSpec limit, long amount, List<SlotDemand> slotDemands) {
            double weights = slotDemands.stream()
                    .mapToDouble(slotDemand -> slotDemand.slot().tenant().equals("a") ? 2 : 1)
                    .sum();
            return slotDemands.stream()
                    .map(slotDemand ->
                            new Target((slotDemand.slot().tenant().equals("a") ? 2 : 1) * amount / weights, 1))
                    .toList();
        }
    };

    @Test
    void poolsDivideALimitByTenant() {
        SimulatedFleet fleet = new SimulatedFleet(7, 4, 60, SETTINGS, 0.005, POOL);
        fleet.run(4 * US_PER_S);
        fleet.gateways.forEach(
                gateway -> List.of("a", "b").forEach(tenant -> gateway.holder.openSlot(SimulatedFleet.LIMIT, tenant)));
        fleet.run(4 * US_PER_S);
        for (SimulatedGateway gateway : fleet.gateways) {
            long localUs = gateway.localTimeUs(fleet.nowUs);
            assertEquals(10, gateway.holder.ceiling(localUs, SimulatedFleet.LIMIT, "a"), gateway.name);
            assertEquals(5, gateway.holder.ceiling(localUs, SimulatedFleet.LIMIT, "b"), gateway.name);
            assertEquals(0, gateway.holder.ceiling(localUs, SimulatedFleet.LIMIT, ""), gateway.name);
        }
    }

    @Test
    void amountBelowTheFloorsIsRefused() {
        SimulatedFleet fleet = fleet(5, 200, 100);
        assertTrue(!fleet.setLimit(9), "five floors of 2 are in force");
        assertTrue(fleet.setLimit(10));
    }
}
