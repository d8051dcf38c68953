package sandpaddle.fleet.node.pool;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import sandpaddle.fleet.node.loop.PoolBudget;
import sandpaddle.fleet.view.FleetView;
import sandpaddle.fleet.view.LimitSlot;
import sandpaddle.fleet.view.OpenConnections;
import sandpaddle.fleet.view.Publication;

/** {@link PoolBudget} with one limit for an engine and one for its kind. */
class PoolBudgetTest {
    private static final LimitSlot ENGINE_SLOT =
            new LimitSlot("pool/engine/a", "*", -1, null, "a", LimitSlot.Counts.CONNECTIONS);
    private static final LimitSlot TENANT_SLOT = new LimitSlot(
            "pool/kind/k",
            "t",
            -1,
            "t",
            null,
            LimitSlot.Counts.CONNECTIONS,
            new LimitSlot.PoolScope(Set.of("a", "b"), null));
    private static final LimitSlot OTHER_TENANTS_SLOT = new LimitSlot(
            "pool/kind/k",
            "default",
            -1,
            null,
            null,
            LimitSlot.Counts.CONNECTIONS,
            new LimitSlot.PoolScope(Set.of("a", "b"), Set.of("t")));

    private final Publication<FleetView> views = new Publication<>(FleetView.EMPTY);
    private final PoolBudget budget = new PoolBudget(views, new OpenConnections(), () -> 0);

    private void publishQuotas(long engine, long tenant, long otherTenants) {
        views.publish(new FleetView(
                1,
                List.of(ENGINE_SLOT, TENANT_SLOT, OTHER_TENANTS_SLOT),
                List.of(quota(engine), quota(tenant), quota(otherTenants)),
                List.of(),
                0,
                Long.MAX_VALUE,
                List.of(),
                Map.of(),
                FleetView.Isolation.NONE));
    }

    private static FleetView.SlotQuota quota(long ceiling) {
        return new FleetView.SlotQuota(ceiling, 0, 0);
    }

    @Test
    void engineLimitBoundsItsConnections() {
        publishQuotas(1, 5, 5);
        assertTrue(budget.tryAcquire("a", false));
        assertFalse(budget.tryAcquire("a", false));
        assertTrue(budget.tryAcquire("b", false));
        budget.release("a");
        assertTrue(budget.tryAcquire("a", false));
    }

    @Test
    void sumOfKindSlotsBoundsAllEnginesOfKind() {
        publishQuotas(9, 1, 1);
        assertTrue(budget.tryAcquire("a", false) && budget.tryAcquire("b", false));
        assertFalse(budget.tryAcquire("b", false));
        assertTrue(budget.tryAcquire("elsewhere", false), "no limit covers it");
        publishQuotas(9, 1, 0);
        assertTrue(budget.isExceeded("a") && budget.isExceeded("b"));
        budget.release("b");
        assertFalse(budget.isExceeded("a"));
    }

    /** Guards withdrawals: attempts must not use the connections reserved for control calls. */
    @Test
    void controlCallsHaveReservedConnections() {
        publishQuotas(1, 5, 5);
        budget.setControlConnections(Map.of("a", 1));
        assertTrue(budget.tryAcquire("a", false));
        assertFalse(budget.tryAcquire("a", false));
        assertTrue(budget.tryAcquire("a", true));
        assertFalse(budget.tryAcquire("a", true));
        assertFalse(budget.isExceeded("a"));
    }
}
