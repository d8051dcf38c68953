package sandpaddle.fleet.node.pool;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import sandpaddle.fleet.pool.PoolPolicyCheck;
import sandpaddle.fleet.pool.model.KnownNames;
import sandpaddle.fleet.view.LimitSlot;

/** Which slots an attempt counts in. */
class PoolSlotsTest {
    private static final String POLICY = """
            policy "p" version 1
            budget engine kind "big" 8 connections each
            budget fleet 20 connections
            tenant "acme" weight 3
            """;

    private static PoolSlots slots() {
        PoolSlots slots = new PoolSlots();
        slots.policy(PoolPolicyCheck.check(POLICY.getBytes(StandardCharsets.UTF_8), KnownNames.NONE)
                .policy());
        slots.engines(List.of(new PoolEngine("b1", "big", true), new PoolEngine("s1", "small", true)));
        slots.met("acme");
        slots.met("unnamed");
        return slots;
    }

    private static List<String> covering(Map<String, List<LimitSlot>> slots, String tenant, String engine) {
        List<String> ids = new ArrayList<>();
        slots.values()
                .forEach(of -> of.stream()
                        .filter(slot -> slot.covers(0, tenant, engine))
                        .forEach(slot -> ids.add(slot.id() + " " + slot.poolTenant())));
        return ids;
    }

    @Test
    void anAttemptCountsOnceInEachBudgetThatCoversIt() {
        Map<String, List<LimitSlot>> slots = slots().of(List.of());
        assertEquals(
                List.of("pool/engine/b1 *", "pool/fleet acme", "pool/kind/big acme"), covering(slots, "acme", "b1"));
        assertEquals(List.of("pool/fleet default", "pool/kind/small default"), covering(slots, "unnamed", "s1"));
    }

    /** A query that waits could run at any kind. */
    @Test
    void aQueryThatWaitsIsAskedForAtAllKinds() {
        assertEquals(
                List.of("pool/fleet acme", "pool/kind/big acme", "pool/kind/small acme"),
                covering(slots().of(List.of()), "acme", ""));
    }

    /** Guards the moment when an engine is listed and has no slot here yet. */
    @Test
    void anEngineWithoutASlotIsBarred() {
        assertTrue(PoolSlots.NEEDED.covers(0, "acme", "new") && PoolSlots.NEEDED.isPrefix());
        assertTrue(covering(slots().of(List.of()), "acme", "new").stream().noneMatch(s -> s.startsWith("pool/kind/")));
    }

    @Test
    void withoutAPolicyNothingIsDivided() {
        PoolSlots slots = slots();
        slots.policy(Optional.empty());
        assertEquals(Map.of(), slots.of(List.of("operators-own")));
    }
}
