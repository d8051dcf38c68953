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

/** {@link PoolSlots}: which slots count an attempt. */
class PoolSlotsTest {
    private static final String POLICY = """
            policy "p" version 1
            budget engine kind "big" 8 connections each
            budget fleet 20 connections
            tenant "acme" weight 3
            """;

    private static PoolSlots slots() {
        PoolSlots slots = new PoolSlots();
        slots.setPolicy(PoolPolicyCheck.check(POLICY.getBytes(StandardCharsets.UTF_8), KnownNames.NONE)
                .policy());
        slots.setEngines(List.of(new PoolEngine("b1", "big", true), new PoolEngine("s1", "small", true)));
        slots.addTenant("acme");
        slots.addTenant("unnamed");
        return slots;
    }

    private static List<String> covering(Map<String, List<LimitSlot>> slots, String tenant, String engine) {
        List<String> ids = new ArrayList<>();
        slots.values()
                .forEach(limitSlots -> limitSlots.stream()
                        .filter(slot -> slot.covers(0, tenant, engine))
                        .forEach(slot -> ids.add(slot.id() + " " + slot.poolTenant())));
        return ids;
    }

    @Test
    void attemptCountsOnceInEachLimitThatCoversIt() {
        Map<String, List<LimitSlot>> slots = slots().byLimit(List.of());
        assertEquals(
                List.of("pool/engine/b1 *", "pool/fleet acme", "pool/kind/big acme"), covering(slots, "acme", "b1"));
        assertEquals(List.of("pool/fleet default", "pool/kind/small default"), covering(slots, "unnamed", "s1"));
    }

    /** A waiting query may run on an engine of any kind. */
    @Test
    void waitingQueryIsDemandAtAllKinds() {
        assertEquals(
                List.of("pool/fleet acme", "pool/kind/big acme", "pool/kind/small acme"),
                covering(slots().byLimit(List.of()), "acme", ""));
    }

    /** Guards the time between the listing of an engine and the creation of its slots. */
    @Test
    void engineWithoutSlotMayNotBeUsed() {
        assertTrue(PoolSlots.REQUIRED.covers(0, "acme", "new") && PoolSlots.REQUIRED.isPrefix());
        assertTrue(covering(slots().byLimit(List.of()), "acme", "new").stream()
                .noneMatch(id -> id.startsWith("pool/kind/")));
    }

    @Test
    void hasNoSlotsWithoutPolicy() {
        PoolSlots slots = slots();
        slots.setPolicy(Optional.empty());
        assertEquals(Map.of(), slots.byLimit(List.of("operators-own")));
    }
}
