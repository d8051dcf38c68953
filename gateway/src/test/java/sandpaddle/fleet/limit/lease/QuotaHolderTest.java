package sandpaddle.fleet.limit.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import sandpaddle.fleet.limit.Guard;
import sandpaddle.fleet.limit.LimitSettings;
import sandpaddle.fleet.limit.wire.Heartbeat;
import sandpaddle.fleet.limit.wire.QuotaGrant;
import sandpaddle.fleet.limit.wire.SlotGrant;

class QuotaHolderTest {
    private static final LimitSettings SETTINGS = LimitSettings.DEFAULTS;
    private static final long FRESH = SETTINGS.startupDelayUs();
    private long used;

    private QuotaHolder holder(LimitSettings settings, List<SavedFloor> floors) {
        return new QuotaHolder(
                "g",
                5,
                0,
                settings,
                new UsageSource() {
                    @Override
                    public long used(String limit, String tenant) {
                        return used;
                    }

                    @Override
                    public long demand(String limit, String tenant) {
                        return 9;
                    }
                },
                floors);
    }

    private static QuotaGrant grant(long incarnation, long session, long confirmed, SlotGrant... given) {
        return new QuotaGrant("g", incarnation, session, confirmed, 1, false, List.of(), List.of(given));
    }

    private static SlotGrant given(String limit, long version, long ceiling, long floor, long targetCeiling) {
        return new SlotGrant(limit, "", version, ceiling, floor, targetCeiling, Math.min(floor, targetCeiling));
    }

    /** One with a quota of eight, two of them its floor, leased from just before it is fresh. */
    private QuotaHolder leased(LimitSettings settings) {
        QuotaHolder holder = holder(settings, List.of());
        holder.receiveGrant(0, grant(5, 1, 0, given("l", 1, 8, 2, 8)));
        long sequence = holder.nextHeartbeat(FRESH - 1).sequence();
        holder.receiveGrant(FRESH + 900, grant(5, 1, sequence));
        return holder;
    }

    @Test
    void leaseCountsFromTheHeartbeatAndExpiresByTheClockAlone() {
        QuotaHolder holder = leased(SETTINGS);
        assertEquals(FRESH - 1 + SETTINGS.leaseUs(), holder.leaseExpiresAtUs());
        assertEquals(8, holder.ceiling(holder.leaseExpiresAtUs() - 1, "l", ""));
        Quotas quotas = holder.quotas();
        assertEquals(2, holder.ceiling(holder.leaseExpiresAtUs(), "l", ""));
        assertEquals(8, quotas.ceiling(holder.leaseExpiresAtUs() - 1, new Quotas.Key("l", "")));
        assertEquals(2, quotas.ceiling(holder.leaseExpiresAtUs(), new Quotas.Key("l", "")));
        used = 7;
        assertEquals(5, holder.excess(holder.leaseExpiresAtUs()).get(new Quotas.Key("l", "")));
    }

    @Test
    void newProcessUsesAndReportsNothing() {
        QuotaHolder holder = holder(SETTINGS, List.of(new SavedFloor("l", "", 2)));
        holder.receiveGrant(10, grant(5, 1, 0, given("l", 1, 8, 2, 3)));
        assertEquals(0, holder.ceiling(FRESH - 1, "l", ""));
        assertEquals(
                8, holder.nextHeartbeat(FRESH - 1).reports().get(0).ceiling(), "its former self may use eight still");
        assertEquals(2, holder.ceiling(FRESH, "l", ""));
        assertEquals(2, holder.nextHeartbeat(FRESH).reports().get(0).ceiling());
    }

    @Test
    void ceilingShrinksAsAttemptsEndAndNeverGrowsUnderOneVersion() {
        QuotaHolder holder = leased(SETTINGS);
        used = 7;
        holder.receiveGrant(FRESH + 1000, grant(5, 1, 0, given("l", 1, 8, 2, 3)));
        assertEquals(3, holder.ceiling(FRESH + 1000, "l", ""), "nothing starts above what is asked");
        assertEquals(7, holder.nextHeartbeat(FRESH + 1001).reports().get(0).ceiling(), "what runs is not promised");
        used = 1;
        assertEquals(3, holder.nextHeartbeat(FRESH + 1002).reports().get(0).ceiling());
        holder.receiveGrant(FRESH + 1003, grant(5, 1, 0, given("l", 1, 8, 2, 8)));
        assertEquals(3, holder.ceiling(FRESH + 1004, "l", ""), "an old message of the same version");
        holder.receiveGrant(FRESH + 1005, grant(5, 1, 0, given("l", 2, 5, 2, 5)));
        assertEquals(5, holder.ceiling(FRESH + 1006, "l", ""));
    }

    @Test
    void grantForAFormerProcessIsIgnored() {
        for (boolean guarded : new boolean[] {true, false}) {
            QuotaHolder holder = holder(guarded ? SETTINGS : SETTINGS.without(Guard.INCARNATION), List.of());
            holder.receiveGrant(1, grant(4, 1, 0, given("l", 1, 8, 2, 8)));
            holder.nextHeartbeat(FRESH - 1);
            holder.receiveGrant(FRESH + 1, grant(4, 1, 1));
            assertEquals(guarded ? 0 : 8, holder.ceiling(FRESH + 2, "l", ""), "with the guard: " + guarded);
        }
    }

    @Test
    void renewalInANewSessionLeavesOldQuotasVoid() {
        for (boolean guarded : new boolean[] {true, false}) {
            QuotaHolder holder = holder(guarded ? SETTINGS : SETTINGS.without(Guard.SESSION), List.of());
            List<SlotGrant> many = new ArrayList<>();
            // one more than a heartbeat tells, so one has promised nothing
            for (int i = 0; i <= Heartbeat.MAX_REPORTS; i++) {
                many.add(given("l" + (10_000 + i), 1, 8, 2, 8));
            }
            holder.receiveGrant(0, grant(5, 1, 0, many.toArray(new SlotGrant[0])));
            String last = "l" + (10_000 + Heartbeat.MAX_REPORTS);
            long sequence = holder.nextHeartbeat(FRESH).sequence(); // after a reclaim: the table holds the floors only
            holder.receiveGrant(FRESH + 1, grant(5, 2, sequence));
            assertEquals(guarded ? 2 : 8, holder.ceiling(FRESH + 2, last, ""), "with the guard: " + guarded);
        }
    }

    @Test
    void reducedFloorIsReportedOnceNoOldFileCanBeUsed() {
        QuotaHolder holder = leased(SETTINGS);
        holder.receiveGrant(FRESH + 1, grant(5, 1, 0, given("l", 1, 8, 2, 1)));
        long wrote = FRESH + 2;
        FloorFile old = new FloorFile("b", wrote - 1, SETTINGS.floorMaxAgeUs(), List.of(new SavedFloor("l", "", 2)));
        assertEquals(List.of(new SavedFloor("l", "", 1)), holder.floors());
        assertEquals(
                2,
                holder.nextHeartbeat(wrote + SETTINGS.floorMaxAgeUs())
                        .reports()
                        .get(0)
                        .floor(),
                "nothing was written");
        holder.onFloorsWritten(wrote, holder.floors());
        assertEquals(
                2,
                holder.nextHeartbeat(wrote + SETTINGS.floorMaxAgeUs() - 1)
                        .reports()
                        .get(0)
                        .floor());
        assertEquals(
                1,
                holder.nextHeartbeat(wrote + SETTINGS.floorMaxAgeUs())
                        .reports()
                        .get(0)
                        .floor());
        assertTrue(old.usable("b", wrote + SETTINGS.floorMaxAgeUs() - 1).isEmpty());
        assertTrue(old.usable("c", wrote).isEmpty(), "another boot");
    }
}
