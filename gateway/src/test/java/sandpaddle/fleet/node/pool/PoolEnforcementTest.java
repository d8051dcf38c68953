package sandpaddle.fleet.node.pool;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.time.ZoneOffset;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import sandpaddle.fleet.limit.LimitSettings;
import sandpaddle.fleet.limit.LimitSpec;
import sandpaddle.fleet.limit.allocator.AllocatorOutput;
import sandpaddle.fleet.limit.allocator.QuotaAllocator;
import sandpaddle.fleet.limit.table.LimitCommand;
import sandpaddle.fleet.limit.table.QuotaTable;
import sandpaddle.fleet.limit.wire.Heartbeat;
import sandpaddle.fleet.pool.PoolPolicyCheck;
import sandpaddle.fleet.pool.model.FleetState;
import sandpaddle.fleet.pool.model.KnownNames;
import sandpaddle.fleet.pool.model.Phase;
import sandpaddle.fleet.pool.model.Policy;

/** Two gateways share the eight connections that a pool policy allows to one engine, in virtual time. */
class PoolEnforcementTest {
    private static final int BUDGET = 8;
    private static final long STEP_US = 20_000;
    private static final FleetState CALM =
            new FleetState(Instant.EPOCH, ZoneOffset.UTC, Phase.CALM, 0, Set.of(), List.of());

    private final LimitSettings settings = LimitSettings.DEFAULTS;
    private final QuotaTable table = new QuotaTable(settings);
    private final PoolAllocator poolAllocator = new PoolAllocator();
    private final QuotaAllocator allocator = new QuotaAllocator(settings, table, poolAllocator);
    private final List<SimulatedGateway> gateways = List.of(
            new SimulatedGateway("g0", List.of("acme", "borea"), settings, 1),
            new SimulatedGateway("g1", List.of("acme", "borea"), settings, 2));
    private final Set<String> partitioned = new HashSet<>();
    private final Set<String> stalled = new HashSet<>(); // their event loops take no turn; other threads run
    private final List<Runnable> messages = new ArrayList<>(); // in flight; delivered in the next step
    private long nowUs;
    private int maxOpen;

    private static Policy policy(int acme, int borea) {
        return policy(acme, borea, " each");
    }

    private static Policy policy(int acme, int borea, String each) {
        String text = """
                policy "eight" version 1
                budget engine kind "std" %d connections%s
                borrow idle give back within 2 s
                tenant "acme" weight %d
                tenant "borea" weight %d
                default gateway floor 2
                """.formatted(BUDGET, each, acme, borea);
        PoolPolicyCheck check = PoolPolicyCheck.check(text.getBytes(StandardCharsets.UTF_8), KnownNames.NONE);
        return check.policy().orElseThrow(() -> new AssertionError(check.diagnostics()));
    }

    private void applyPolicy(Policy policy) {
        poolAllocator.setInput(new PoolAllocator.Input(
                Optional.of(policy), List.of(new PoolEngine("s-1", "std", true)), Map.of("g0", "hall", "g1", "hall")));
        gateways.stream()
                .filter(gateway -> !partitioned.contains(gateway.name))
                .forEach(gateway -> gateway.setPolicy(policy, false));
    }

    private void step() {
        nowUs += STEP_US;
        List<Runnable> arrived = List.copyOf(messages);
        messages.clear();
        arrived.forEach(Runnable::run);
        gateways.stream().filter(gateway -> !stalled.contains(gateway.name)).forEach(gateway -> gateway.turn(nowUs));
        maxOpen = Math.max(
                maxOpen,
                gateways.stream().mapToInt(SimulatedGateway::openConnections).sum());
        runLeader();
        if (nowUs % settings.heartbeatUs() == 0) {
            gateways.forEach(gateway -> {
                Heartbeat heartbeat = gateway.heartbeat();
                if (!partitioned.contains(gateway.name)) {
                    messages.add(() -> allocator.receiveHeartbeat(nowUs, gateway.name, heartbeat));
                }
            });
        }
    }

    private void runLeader() {
        if (poolAllocator.solve(nowUs, CALM)) {
            allocator.markAllDirty();
        }
        List<LimitSpec> limits = poolAllocator.limits(table, 0);
        if (!Map.copyOf(table.specs()).values().containsAll(limits)
                || limits.size() != table.specs().size()) {
            table.apply(new LimitCommand.SetLimits(table.epoch() + 1, limits));
        }
        allocator.onLeadershipConfirmed(nowUs);
        AllocatorOutput output = allocator.tick(nowUs);
        output.proposals().forEach(table::apply);
        output.grants()
                .forEach(grant -> gateways.stream()
                        .filter(gateway -> gateway.name.equals(grant.member()) && !partitioned.contains(gateway.name))
                        .forEach(gateway -> messages.add(() -> gateway.receiveGrant(grant))));
    }

    private void run(long durationUs) {
        for (long endUs = nowUs + durationUs; nowUs < endUs; ) {
            step();
        }
    }

    /** Runs for a time; returns the mean number of running attempts of a tenant. */
    private double mean(long durationUs, String tenant, List<SimulatedGateway> measured) {
        long sum = 0;
        int steps = 0;
        for (long endUs = nowUs + durationUs; nowUs < endUs; steps++) {
            step();
            sum += measured.stream()
                    .mapToInt(gateway -> gateway.runningCount(tenant))
                    .sum();
        }
        return (double) sum / steps;
    }

    @Test
    void neverExceedsBudgetWhilePolicyChangesAndGatewayIsPartitioned() {
        table.apply(new LimitCommand.Join("g0", "hall"));
        table.apply(new LimitCommand.Join("g1", "hall"));
        allocator.elected(1);
        applyPolicy(policy(3, 1));
        run(8_000_000);
        assertEquals(6, mean(2_000_000, "acme", gateways), 0.8);
        assertEquals(2, mean(2_000_000, "borea", gateways), 0.8);

        partitioned.add("g1");
        applyPolicy(policy(1, 3));
        run(2 * settings.leaseUs());
        SimulatedGateway partitionedGateway = gateways.get(1);
        double kept = mean(2_000_000, "acme", List.of(partitionedGateway))
                + mean(2_000_000, "borea", List.of(partitionedGateway));
        assertTrue(kept > 0.5 && kept <= 2, "a partitioned gateway uses its floor: " + kept);
        double acme = mean(2_000_000, "acme", gateways.subList(0, 1));
        double borea = mean(2_000_000, "borea", gateways.subList(0, 1));
        assertTrue(
                borea > acme && acme + borea > 4.5,
                "new weights apply at the connected gateway: " + acme + ", " + borea);

        partitioned.clear();
        applyPolicy(policy(1, 3));
        run(8_000_000);
        assertEquals(2, mean(2_000_000, "acme", gateways), 0.8);
        assertEquals(6, mean(2_000_000, "borea", gateways), 0.8);
        assertEquals(BUDGET, maxOpen);
    }

    /** Guards against quotas that are returned and granted elsewhere while idle connections still use them. */
    @Test
    void doesNotReturnQuotaOfIdleConnections() {
        table.apply(new LimitCommand.Join("g0", "hall"));
        table.apply(new LimitCommand.Join("g1", "hall"));
        allocator.elected(1);
        applyPolicy(policy(1, 1, ""));
        gateways.get(1).setDemand(false);
        run(8_000_000);
        gateways.get(0).setDemand(false);
        run(1_000_000);
        int kept = gateways.get(0).openConnections();
        assertTrue(kept > 2, "idle connections stay open without other demand: " + kept);
        stalled.add("g0");
        gateways.get(1).setDemand(true);
        run(3_000_000);
        assertTrue(
                gateways.get(1).openConnections() <= BUDGET - kept,
                "open at both: " + gateways.get(1).openConnections() + ", " + kept);
        stalled.clear();
        run(4_000_000);
        assertEquals(BUDGET, gateways.get(1).openConnections());
        assertEquals(BUDGET, maxOpen);
    }

    /** Guards against a gateway that uses more than floors under a policy that it cannot read. */
    @Test
    void usesFloorsOnlyIfPolicyCannotBeRead() {
        table.apply(new LimitCommand.Join("g0", "hall"));
        table.apply(new LimitCommand.Join("g1", "hall"));
        allocator.elected(1);
        applyPolicy(policy(1, 1));
        run(8_000_000);
        SimulatedGateway outdated = gateways.get(0);
        double before = mean(1_000_000, "acme", List.of(outdated)) + mean(1_000_000, "borea", List.of(outdated));
        outdated.setPolicy(policy(1, 1), true);
        run(2_000_000);
        double after = mean(1_000_000, "acme", List.of(outdated)) + mean(1_000_000, "borea", List.of(outdated));
        assertTrue(before > 3 && after <= 2.1 && after > 0.5, "running before and after: " + before + ", " + after);
    }
}
