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
    private static final long FRESH = SETTINGS.startupDelayUs();
    private static final List<String> CLASSES = List.of("lookup", "load");

    private final Publication<FleetView> views = new Publication<>(FleetView.EMPTY);
    private final Publication<SlotUsage> usages = new Publication<>(new SlotUsage(0, 0));
    private final AttemptCounters cells = new AttemptCounters(views, usages, CLASSES.size());
    private final QuotaManager manager = new QuotaManager(
            "g", 5, "east", CLASSES, SETTINGS, List.of(), new SharedState(views, usages, new OpenConnections()), 0);

    private static LimitSpec limit(String id, String zone, String cls, String tenant, String engine) {
        return new LimitSpec(id, new LimitScope(zone, cls, tenant, engine), LimitUnit.RUNNING, 10, 0);
    }

    private static QuotaGrant grant(long confirmed, List<LimitSpec> limits, SlotGrant... given) {
        return new QuotaGrant("g", 5, 1, confirmed, 1, true, limits, List.of(given));
    }

    private FleetView publish() {
        FleetView v = manager.publish(List.of(), Map.of(), FleetView.Isolation.NONE);
        assertEquals(v, views.current());
        return v;
    }

    @Test
    void slotsAreThoseOfLimitsThatBindHere() {
        SlotNumbering numbering = new SlotNumbering(CLASSES, "east");
        assertTrue(numbering.use(
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
        assertEquals(List.of(new LimitSlot("x", "", -1, null, "*", LimitSlot.Counts.RUNNING)), numbering.each());
        assertFalse(
                numbering.use(
                        List.of(limit("a", null, null, "t", "e"), limit("b", "east", "load", null, null)), Map.of()),
                "the same slots in the same order");
        for (int i = 0; i < 9; i++) {
            assertTrue(numbering.use(List.of(limit("l" + i, null, null, null, null)), Map.of()));
        }
        assertEquals(10, numbering.latest().number());
        assertEquals(
                Optional.of("l1"), numbering.order(3).map(o -> o.slots().get(0).id()));
        assertEquals(Optional.empty(), numbering.order(2), "forgotten");
    }

    /** Guards the limits before the fleet is heard, while fresh, and after a lapse. */
    @Test
    void viewFollowsWhatWasGivenAndItsLease() {
        LimitSpec all = limit("all", null, null, null, null);
        manager.localLimits(List.of(all));
        FleetView before = publish();
        assertEquals(List.of("all"), before.slots().stream().map(LimitSlot::id).toList());
        assertEquals(0, before.quota(0, FRESH + 1), "its own file binds, with nothing given");
        manager.granted(1, grant(0, List.of(all), new SlotGrant("all", "", 1, 8, 2, 8, 2)));
        long sequence = manager.beat(FRESH - 1).sequence(); // from then on what no lease covers is given back
        manager.granted(FRESH + 5, grant(sequence, List.of(all)));
        FleetView held = publish();
        assertEquals(before.numbering(), held.numbering());
        assertEquals(0, held.quota(0, FRESH - 1));
        assertEquals(8, held.quota(0, FRESH));
        assertEquals(8, held.quota(0, FRESH + SETTINGS.leaseUs() - 2));
        assertEquals(2, held.quota(0, FRESH + SETTINGS.leaseUs() - 1));
    }

    @Test
    void beatTellsWhatRunsAndWaits() {
        LimitSpec all = limit("all", null, null, null, null);
        LimitSpec one = limit("one", null, null, null, "e");
        manager.engines(List.of("e", "f", "h"));
        manager.granted(
                1,
                grant(
                        0,
                        List.of(all, one),
                        new SlotGrant("all", "", 1, 8, 2, 8, 2),
                        new SlotGrant("one", "", 1, 8, 2, 8, 2)));
        manager.beat(FRESH);
        publish();
        cells.adoptView();
        assertTrue(cells.tryStart(0, "t", "e", FRESH) && cells.tryStart(0, "t", "f", FRESH));
        cells.addWaiting(0, "t", 4);
        Heartbeat beat = manager.beat(FRESH + 1);
        SlotReport told = beat.reports().stream()
                .filter(t -> t.limit().equals("all"))
                .findFirst()
                .orElseThrow();
        assertEquals(List.of(2L, 6L), List.of(told.used(), told.demand()));
        told = beat.reports().stream()
                .filter(t -> t.limit().equals("one"))
                .findFirst()
                .orElseThrow();
        assertEquals(List.of(1L, 3L), List.of(told.used(), told.demand()), "of the four that wait, its part of three");
    }

    /**
     * Guards the fleet's messages against ids that no message carries: the heartbeat stays readable, the engine barred.
     */
    @Test
    void anEngineWhoseIdCannotBeToldHasNoQuotaAndSpoilsNoBeat() throws Exception {
        LimitSpec each = limit("each", null, null, null, "*");
        String tooLong = "e".repeat(LimitSpec.MAX_NAME_BYTES + 1);
        manager.engines(List.of("e", tooLong));
        manager.granted(1, grant(0, List.of(each)));
        FleetView view = publish();
        assertEquals(List.of("each|e"), view.slots().stream().map(LimitSlot::id).toList());
        Heartbeat beat = manager.beat(FRESH);
        assertEquals(1, beat.instanceRequests().size());
        HeartbeatMessage message = new HeartbeatMessage(3, 4, beat);
        assertEquals(message, HeartbeatMessage.decode(message.encode()));
        manager.granted(FRESH, grant(1, List.of(each), new SlotGrant("each|e", "", 1, 8, 2, 8, 2)));
        publish();
        cells.adoptView();
        assertTrue(cells.tryStart(0, "t", "e", FRESH));
        assertFalse(cells.tryStart(0, "t", tooLong, FRESH));
    }

    /** A rate's demand follows what comes, and one burst of queries does not make it. */
    @Test
    void demandOfARateIsSmoothed() {
        SlotNumbering numbering = new SlotNumbering(CLASSES, "east");
        numbering.use(List.of(new LimitSpec("r", LimitScope.WHOLE_FLEET, LimitUnit.RATE, 5000, 1000)), Map.of());
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
        cells.adoptView();
        MeasuredUsage demand = new MeasuredUsage(numbering, usages, new OpenConnections());
        demand.sample(0);
        assertEquals(0, demand.demand("r", ""));
        for (int i = 0; i < 10; i++) {
            cells.addReceived(0, "t");
        }
        demand.sample(1_000_000);
        assertEquals(2000, demand.demand("r", ""), "a fifth of ten a second, in thousandths");
        for (int beat = 2; beat < 60; beat++) {
            cells.addReceived(0, "t");
            demand.sample(beat * 1_000_000L);
        }
        assertEquals(1001, demand.demand("r", ""));
        assertEquals(0, demand.demand("unknown", ""));
    }
}
