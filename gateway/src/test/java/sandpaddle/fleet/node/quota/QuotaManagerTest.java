package sandpaddle.fleet.node.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import sandpaddle.fleet.limit.LimitScope;
import sandpaddle.fleet.limit.LimitSettings;
import sandpaddle.fleet.limit.LimitSpec;
import sandpaddle.fleet.limit.LimitUnit;
import sandpaddle.fleet.limit.wire.Heartbeat;
import sandpaddle.fleet.limit.wire.QuotaGrant;
import sandpaddle.fleet.limit.wire.SlotGrant;
import sandpaddle.fleet.limit.wire.SlotReport;
import sandpaddle.fleet.node.wire.HeartbeatMessage;
import sandpaddle.fleet.view.AttemptCounters;
import sandpaddle.fleet.view.FleetView;
import sandpaddle.fleet.view.LimitSlot;
import sandpaddle.fleet.view.OpenConnections;
import sandpaddle.fleet.view.Publication;
import sandpaddle.fleet.view.SharedState;
import sandpaddle.fleet.view.SlotUsage;

class QuotaManagerTest {
    private static final LimitSettings SETTINGS = LimitSettings.DEFAULTS;
    private static final long USABLE_FROM_US = SETTINGS.startupDelayUs();
    private static final List<String> CLASSES = List.of("lookup", "load");

    private final Publication<FleetView> views = new Publication<>(FleetView.EMPTY);
    private final Publication<SlotUsage> usages = new Publication<>(new SlotUsage(0, 0));
    private final AttemptCounters counters = new AttemptCounters(views, usages, CLASSES.size());
    private final QuotaManager manager = new QuotaManager(
            "g", 5, "east", CLASSES, SETTINGS, List.of(), new SharedState(views, usages, new OpenConnections()), 0);

    private static LimitSpec limit(String id, String zone, String requestClass, String tenant, String engine) {
        return new LimitSpec(id, new LimitScope(zone, requestClass, tenant, engine), LimitUnit.RUNNING, 10, 0);
    }

    private static QuotaGrant grant(long confirmedSequence, List<LimitSpec> limits, SlotGrant... slotGrants) {
        return new QuotaGrant("g", 5, 1, confirmedSequence, 1, true, limits, List.of(slotGrants));
    }

    private FleetView publish() {
        FleetView view = manager.publish(List.of(), Map.of(), FleetView.Isolation.NONE);
        assertEquals(view, views.current());
        return view;
    }

    @Test
    void slotsAreThoseOfLimitsThatApplyToThisGateway() {
        SlotNumbering numbering = new SlotNumbering(CLASSES, "east");
        assertTrue(numbering.update(
                List.of(
                        limit("b", "east", "load", null, null),
                        limit("a", null, null, "t", "e"),
                        limit("w", "west", null, null, null),
                        limit("x", null, null, null, "*"),
                        limit("u", null, "unknown", null, null)),
                Map.of()));
        assertEquals(
                List.of(
                        new LimitSlot("a", "", -1, "t", "e", LimitSlot.Counts.RUNNING),
                        new LimitSlot("b", "", 1, null, null, LimitSlot.Counts.RUNNING)),
                numbering.latest().slots());
        assertEquals(List.of(new LimitSlot("x", "", -1, null, "*", LimitSlot.Counts.RUNNING)), numbering.perKeySlots());
        assertFalse(
                numbering.update(
                        List.of(limit("a", null, null, "t", "e"), limit("b", "east", "load", null, null)), Map.of()),
                "the same slots in the same order");
        for (int i = 0; i < 9; i++) {
            assertTrue(numbering.update(List.of(limit("l" + i, null, null, null, null)), Map.of()));
        }
        assertEquals(10, numbering.latest().number());
        assertEquals(
                Optional.of("l1"),
                numbering.order(3).map(order -> order.slots().get(0).id()));
        assertEquals(Optional.empty(), numbering.order(2), "the ninth order from the latest was dropped");
    }

    /** Covers the quota before the first grant, during the startup delay, with a lease and after its expiry. */
    @Test
    void viewHasCeilingWithLeaseAndFloorAfterExpiry() {
        LimitSpec all = limit("all", null, null, null, null);
        manager.setLocalLimits(List.of(all));
        FleetView before = publish();
        assertEquals(List.of("all"), before.slots().stream().map(LimitSlot::id).toList());
        assertEquals(0, before.quota(0, USABLE_FROM_US + 1), "limits of the gateway's own file have no quota");
        manager.receiveGrant(1, grant(0, List.of(all), new SlotGrant("all", "", 1, 8, 2, 8, 2)));
        long sequence = manager.nextHeartbeat(USABLE_FROM_US - 1)
                .sequence(); // from here on the holder gives back quota above its floor unless a lease covers it
        manager.receiveGrant(USABLE_FROM_US + 5, grant(sequence, List.of(all)));
        FleetView leased = publish();
        assertEquals(before.numbering(), leased.numbering());
        assertEquals(0, leased.quota(0, USABLE_FROM_US - 1));
        assertEquals(8, leased.quota(0, USABLE_FROM_US));
        assertEquals(8, leased.quota(0, USABLE_FROM_US + SETTINGS.leaseUs() - 2));
        assertEquals(2, leased.quota(0, USABLE_FROM_US + SETTINGS.leaseUs() - 1));
    }

    @Test
    void heartbeatReportsRunningAndWaitingQueries() {
        LimitSpec all = limit("all", null, null, null, null);
        LimitSpec one = limit("one", null, null, null, "e");
        manager.setEngines(List.of("e", "f", "h"));
        manager.receiveGrant(
                1,
                grant(
                        0,
                        List.of(all, one),
                        new SlotGrant("all", "", 1, 8, 2, 8, 2),
                        new SlotGrant("one", "", 1, 8, 2, 8, 2)));
        manager.nextHeartbeat(USABLE_FROM_US);
        publish();
        counters.adoptView();
        assertTrue(counters.tryStart(0, "t", "e", USABLE_FROM_US) && counters.tryStart(0, "t", "f", USABLE_FROM_US));
        counters.addWaiting(0, "t", 4);
        Heartbeat heartbeat = manager.nextHeartbeat(USABLE_FROM_US + 1);
        SlotReport slotReport = heartbeat.reports().stream()
                .filter(report -> report.limit().equals("all"))
                .findFirst()
                .orElseThrow();
        assertEquals(List.of(2L, 6L), List.of(slotReport.used(), slotReport.demand()));
        slotReport = heartbeat.reports().stream()
                .filter(report -> report.limit().equals("one"))
                .findFirst()
                .orElseThrow();
        assertEquals(
                List.of(1L, 3L),
                List.of(slotReport.used(), slotReport.demand()),
                "two of the four waiting queries: a third, rounded up");
    }

    /**
     * An engine whose name is too long for a message must not make the heartbeat undecodable. Such an engine gets no
     * quota, and no attempt starts on it.
     */
    @Test
    void engineWithTooLongNameGetsNoQuotaAndHeartbeatStaysDecodable() throws Exception {
        LimitSpec each = limit("each", null, null, null, "*");
        String tooLong = "e".repeat(LimitSpec.MAX_NAME_BYTES + 1);
        manager.setEngines(List.of("e", tooLong));
        manager.receiveGrant(1, grant(0, List.of(each)));
        FleetView view = publish();
        assertEquals(List.of("each|e"), view.slots().stream().map(LimitSlot::id).toList());
        Heartbeat heartbeat = manager.nextHeartbeat(USABLE_FROM_US);
        assertEquals(1, heartbeat.instanceRequests().size());
        HeartbeatMessage message = new HeartbeatMessage(3, 4, heartbeat);
        assertEquals(message, HeartbeatMessage.decode(message.encode()));
        manager.receiveGrant(USABLE_FROM_US, grant(1, List.of(each), new SlotGrant("each|e", "", 1, 8, 2, 8, 2)));
        publish();
        counters.adoptView();
        assertTrue(counters.tryStart(0, "t", "e", USABLE_FROM_US));
        assertFalse(counters.tryStart(0, "t", tooLong, USABLE_FROM_US));
    }

    /** The demand for a rate limit follows the arrival rate; a single burst of queries raises it by a fifth only. */
    @Test
    void demandForARateLimitIsSmoothed() {
        SlotNumbering numbering = new SlotNumbering(CLASSES, "east");
        numbering.update(List.of(new LimitSpec("r", LimitScope.WHOLE_FLEET, LimitUnit.RATE, 5000, 1000)), Map.of());
        views.publish(new FleetView(
                1,
                numbering.latest().slots(),
                List.of(new FleetView.SlotQuota(0, 0, 1000)),
                List.of(),
                0,
                1,
                List.of(),
                Map.of(),
                FleetView.Isolation.NONE));
        counters.adoptView();
        MeasuredUsage usage = new MeasuredUsage(numbering, usages, new OpenConnections());
        usage.sample(0);
        assertEquals(0, usage.demand("r", ""));
        for (int i = 0; i < 10; i++) {
            counters.addReceived(0, "t");
        }
        usage.sample(1_000_000);
        assertEquals(2000, usage.demand("r", ""), "a fifth of ten a second, in thousandths");
        for (int second = 2; second < 60; second++) {
            counters.addReceived(0, "t");
            usage.sample(second * 1_000_000L);
        }
        assertEquals(1001, usage.demand("r", ""));
        assertEquals(0, usage.demand("unknown", ""));
    }
}
