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

/** Two gateways share the eight connections that one engine may have, in virtual time. */
class PoolEnforcedTest {
    private static final int BUDGET = 8;
    private static final long STEP_US = 20_000;
    private static final FleetState CALM =
            new FleetState(Instant.EPOCH, ZoneOffset.UTC, Phase.CALM, 0, Set.of(), List.of());

    private final LimitSettings settings = LimitSettings.DEFAULTS;
    private final QuotaTable table = new QuotaTable(settings);
    private final PoolAllocator poolAllocator = new PoolAllocator();
    private final QuotaAllocator allocator = new QuotaAllocator(settings, table, poolAllocator);
    private final List<StandInGateway> gateways = List.of(
            new StandInGateway("g0", List.of("acme", "borea"), settings, 1),
            new StandInGateway("g1", List.of("acme", "borea"), settings, 2));
    private final Set<String> cut = new HashSet<>();
    private final Set<String> stalled = new HashSet<>(); // whose loop takes no turn, while its other threads go on
    private final List<Runnable> links = new ArrayList<>(); // a message takes a step
    private long now;
    private int max;

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

    private void rules(Policy policy) {
        poolAllocator.known(new PoolAllocator.Known(
                Optional.of(policy), List.of(new PoolEngine("s-1", "std", true)), Map.of("g0", "hall", "g1", "hall")));
        gateways.stream().filter(g -> !cut.contains(g.name)).forEach(g -> g.policy(policy, false));
    }

    private void step() {
        now += STEP_US;
        List<Runnable> arrived = List.copyOf(links);
        links.clear();
        arrived.forEach(Runnable::run);
        gateways.stream().filter(g -> !stalled.contains(g.name)).forEach(g -> g.turn(now));
        max = Math.max(max, gateways.stream().mapToInt(StandInGateway::open).sum());
        lead();
        if (now % settings.heartbeatUs() == 0) {
            gateways.forEach(g -> {
                Heartbeat beat = g.beat();
                if (!cut.contains(g.name)) {
                    links.add(() -> allocator.receiveHeartbeat(now, g.name, beat));
                }
            });
        }
    }

    private void lead() {
        if (poolAllocator.solve(now, CALM)) {
            allocator.markAllDirty();
        }
        List<LimitSpec> limits = poolAllocator.limits(table, 0);
        if (!Map.copyOf(table.specs()).values().containsAll(limits)
                || limits.size() != table.specs().size()) {
            table.apply(new LimitCommand.SetLimits(table.epoch() + 1, limits));
        }
        allocator.onLeadershipConfirmed(now);
        AllocatorOutput turn = allocator.tick(now);
        turn.proposals().forEach(table::apply);
        turn.grants()
                .forEach(grant -> gateways.stream()
                        .filter(g -> g.name.equals(grant.member()) && !cut.contains(g.name))
                        .forEach(g -> links.add(() -> g.granted(grant))));
    }

    private void run(long time) {
        for (long end = now + time; now < end; ) {
            step();
        }
    }

    private double mean(long time, String tenant, List<StandInGateway> of) {
        long sum = 0;
        int steps = 0;
        for (long end = now + time; now < end; steps++) {
            step();
            sum += of.stream().mapToInt(g -> g.runs(tenant)).sum();
        }
        return (double) sum / steps;
    }

    @Test
    void theEngineNeverMeetsMoreWhilePolicyAndLinksChange() {
        table.apply(new LimitCommand.Join("g0", "hall"));
        table.apply(new LimitCommand.Join("g1", "hall"));
        allocator.elected(1);
        rules(policy(3, 1));
        run(8_000_000);
        assertEquals(6, mean(2_000_000, "acme", gateways), 0.8);
        assertEquals(2, mean(2_000_000, "borea", gateways), 0.8);

        cut.add("g1");
        rules(policy(1, 3));
        run(2 * settings.leaseUs());
        StandInGateway away = gateways.get(1);
        double kept = mean(2_000_000, "acme", List.of(away)) + mean(2_000_000, "borea", List.of(away));
        assertTrue(kept > 0.5 && kept <= 2, "a gateway that is cut off uses its floor, " + kept);
        double acme = mean(2_000_000, "acme", gateways.subList(0, 1));
        double borea = mean(2_000_000, "borea", gateways.subList(0, 1));
        assertTrue(borea > acme && acme + borea > 4.5, "by the new weights where links hold: " + acme + ", " + borea);

        cut.clear();
        rules(policy(1, 3));
        run(8_000_000);
        assertEquals(2, mean(2_000_000, "acme", gateways), 0.8);
        assertEquals(6, mean(2_000_000, "borea", gateways), 0.8);
        assertEquals(BUDGET, max);
    }

    /** Guards against quotas that are given back while idle connections are still open by them. */
    @Test
    void anIdleConnectionIsNotGivenAway() {
        table.apply(new LimitCommand.Join("g0", "hall"));
        table.apply(new LimitCommand.Join("g1", "hall"));
        allocator.elected(1);
        rules(policy(1, 1, ""));
        gateways.get(1).wants(false);
        run(8_000_000);
        gateways.get(0).wants(false);
        run(1_000_000);
        int kept = gateways.get(0).open();
        assertTrue(kept > 2, "what nobody is short of stays open: " + kept);
        stalled.add("g0");
        gateways.get(1).wants(true);
        run(3_000_000);
        assertTrue(
                gateways.get(1).open() <= BUDGET - kept,
                "open at both: " + gateways.get(1).open() + ", " + kept);
        stalled.clear();
        run(4_000_000);
        assertEquals(BUDGET, gateways.get(1).open());
        assertEquals(BUDGET, max);
    }

    /** Guards against a gateway that holds what a policy gave it that it cannot read. */
    @Test
    void whoCannotReadWhatRulesUsesFloorsOnly() {
        table.apply(new LimitCommand.Join("g0", "hall"));
        table.apply(new LimitCommand.Join("g1", "hall"));
        allocator.elected(1);
        rules(policy(1, 1));
        run(8_000_000);
        StandInGateway old = gateways.get(0);
        double before = mean(1_000_000, "acme", List.of(old)) + mean(1_000_000, "borea", List.of(old));
        old.policy(policy(1, 1), true);
        run(2_000_000);
        double after = mean(1_000_000, "acme", List.of(old)) + mean(1_000_000, "borea", List.of(old));
        assertTrue(before > 3 && after <= 2.1 && after > 0.5, before + " and then " + after);
    }
}
