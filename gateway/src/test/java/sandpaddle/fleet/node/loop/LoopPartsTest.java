package sandpaddle.fleet.node.loop;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static sandpaddle.fleet.node.loop.LoopFixture.NEVER_EXPIRES;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import sandpaddle.fleet.view.AttemptCounters;
import sandpaddle.fleet.view.FleetView;
import sandpaddle.fleet.view.LimitSlot;
import sandpaddle.fleet.view.Publication;
import sandpaddle.fleet.view.SlotUsage;

class LoopPartsTest {
    private static final long SECOND = 1_000_000;

    /** Guards memory and the decision module against clients that send many tenant names. */
    @Test
    void tenantsBeyondBoundCountAsOne() {
        TenantIndexes tenants = new TenantIndexes();
        assertEquals(TenantIndexes.OTHERS, tenants.countedName(""));
        assertFalse(tenants.pollGrown());
        for (int i = 1; i < TenantIndexes.MAX_TENANTS; i++) {
            assertEquals("t" + i, tenants.countedName("t" + i));
            assertEquals(i, tenants.index("t" + i));
        }
        assertTrue(tenants.pollGrown());
        for (int i = 0; i < 2 * TenantIndexes.MAX_TENANTS; i++) {
            assertEquals(TenantIndexes.OTHERS, tenants.countedName("late" + i));
        }
        assertFalse(tenants.pollGrown());
        assertEquals(0, tenants.index(TenantIndexes.OTHERS));
        assertEquals(-1, tenants.indexOrMinusOne("late1"));
        assertEquals("t7", tenants.countedName("t7"), "an earlier tenant keeps its index");
    }

    /** Guards the fleet's messages against tenant names that are not valid in a limit: they are not passed on. */
    @Test
    void tenantWithInvalidNameCountsAsOthers() {
        TenantIndexes tenants = new TenantIndexes();
        for (String name : List.of("a|b", "*", " ", "\u6771".repeat(64), "a\0", "x".repeat(129))) {
            assertEquals(TenantIndexes.OTHERS, tenants.countedName(name), name);
        }
        assertEquals("\u6771".repeat(42), tenants.countedName("\u6771".repeat(42)));
    }

    private static FleetView rates(long numbering, LimitSlot.Counts counts, FleetView.SlotQuota... quotas) {
        List<LimitSlot> slots = new ArrayList<>();
        for (int i = 0; i < quotas.length; i++) {
            slots.add(new LimitSlot("r" + i, "", -1, null, null, counts));
        }
        return LoopFixture.view(numbering, NEVER_EXPIRES, slots, List.of(), quotas);
    }

    @Test
    void startTakesFromAllBucketsOrNone() {
        RateBuckets buckets = new RateBuckets();
        FleetView view = rates(
                1,
                LimitSlot.Counts.STARTS,
                new FleetView.SlotQuota(2000, 0, 3000),
                new FleetView.SlotQuota(1000, 0, 2000));
        buckets.adoptView(view, 0);
        assertFalse(buckets.tryTake(view, new int[] {0, 1}, 0, 0), "buckets start empty");
        assertEquals(SECOND / 2, buckets.nextReadyUs(0, 0));
        assertFalse(buckets.tryTake(view, new int[] {0, 1}, 0, SECOND / 2), "the second bucket has half a token");
        assertEquals(1, buckets.starts(0, SECOND / 2), "nothing was taken from the first bucket");
        assertTrue(buckets.tryTake(view, new int[] {0, 1}, 0, SECOND));
        assertEquals(1, buckets.starts(0, SECOND));
        assertEquals(0, buckets.starts(1, SECOND));
        assertEquals(3, buckets.starts(0, 9 * SECOND), "holds its burst at most");
    }

    /** Guards the rate limit against a second burst after a renumbering of the slots, which each new engine causes. */
    @Test
    void bucketKeepsTokensAfterRenumbering() {
        RateBuckets buckets = new RateBuckets();
        FleetView view = rates(1, LimitSlot.Counts.STARTS, new FleetView.SlotQuota(1000, 500, 4000));
        buckets.adoptView(view, 0);
        buckets.adoptView(rates(2, LimitSlot.Counts.STARTS, new FleetView.SlotQuota(1000, 500, 4000)), 2 * SECOND);
        assertEquals(2, buckets.starts(0, 2 * SECOND));
        buckets.adoptView(rates(3, LimitSlot.Counts.STARTS, new FleetView.SlotQuota(1000, 500, 2000)), 3 * SECOND);
        assertEquals(0, buckets.starts(0, 3 * SECOND), "a changed burst makes a new, empty bucket");
        assertFalse(buckets.isEmpty());
        buckets.adoptView(FleetView.EMPTY, 3 * SECOND);
        assertTrue(buckets.isEmpty());
    }

    @Test
    void workCostsItsEstimateUpToBurst() {
        RateBuckets buckets = new RateBuckets();
        FleetView view =
                rates(1, LimitSlot.Counts.WORK, new FleetView.SlotQuota(100_000, 0, 50_000)); // 100 ms per second
        buckets.adoptView(view, 0);
        assertFalse(buckets.tryTake(view, new int[] {0}, 40, SECOND / 10), "10 ms are available");
        assertTrue(buckets.tryTake(view, new int[] {0}, 40, 4 * SECOND / 10));
        assertFalse(buckets.tryTake(view, new int[] {0}, 0, 4 * SECOND / 10), "work of unknown length costs 1 ms");
        assertTrue(
                buckets.tryTake(view, new int[] {0}, 5000, 9 * SECOND / 10),
                "work above the burst is admitted by a full bucket");
    }

    @Test
    void orphanedAttemptsCountUntilReleased() {
        Publication<FleetView> views = new Publication<>(LoopFixture.view(
                1,
                NEVER_EXPIRES,
                List.of(LoopFixture.running("e", -1, null, "e"), LoopFixture.running("t", 1, "t", null)),
                List.of(),
                new FleetView.SlotQuota(9, 9, 0),
                new FleetView.SlotQuota(9, 9, 0)));
        AttemptCounters counters = new AttemptCounters(views, new Publication<>(new SlotUsage(0, 0)), 2);
        counters.adoptView();
        OrphanedAttempts orphaned = new OrphanedAttempts(100);
        assertEquals(Long.MAX_VALUE, orphaned.nextReleaseUs());
        orphaned.add(0, "t", "e", 10);
        orphaned.add(1, "t", "e", 20);
        orphaned.add(1, "t", "f", 20);
        assertArrayEquals(new long[] {2, 2}, orphaned.bySlot(counters, 2));
        List<String> ended = new ArrayList<>();
        assertFalse(orphaned.release(109, (classIndex, tenant, engine) -> ended.add(classIndex + tenant + engine)));
        assertEquals(110, orphaned.nextReleaseUs());
        assertTrue(orphaned.release(110, (classIndex, tenant, engine) -> ended.add(classIndex + tenant + engine)));
        assertEquals(List.of("0te"), ended);
        assertArrayEquals(new long[] {1, 2}, orphaned.bySlot(counters, 2));
        assertTrue(orphaned.release(500, (classIndex, tenant, engine) -> ended.add(classIndex + tenant + engine)));
        assertEquals(List.of("0te", "1te", "1tf"), ended);
    }
}
