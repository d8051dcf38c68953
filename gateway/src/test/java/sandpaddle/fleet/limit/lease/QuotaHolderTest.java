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
    private static final long USABLE_FROM_US = SETTINGS.startupDelayUs();
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

    private static QuotaGrant grant(long incarnation, long session, long confirmedSequence, SlotGrant... slotGrants) {
        return new QuotaGrant("g", incarnation, session, confirmedSequence, 1, false, List.of(), List.of(slotGrants));
    }

    private static SlotGrant slotGrant(String limit, long version, long ceiling, long floor, long targetCeiling) {
        return new SlotGrant(limit, "", version, ceiling, floor, targetCeiling, Math.min(floor, targetCeiling));
    }

    /** A holder with a quota of 8 and a floor of 2, whose lease counts from 1 us before the startup delay ends. */
    private QuotaHolder leased(LimitSettings settings) {
        QuotaHolder holder = holder(settings, List.of());
        holder.receiveGrant(0, grant(5, 1, 0, slotGrant("l", 1, 8, 2, 8)));
        long sequence = holder.nextHeartbeat(USABLE_FROM_US - 1).sequence();
        holder.receiveGrant(USABLE_FROM_US + 900, grant(5, 1, sequence));
        return holder;
    }

    @Test
    void leaseCountsFromHeartbeatAndExpiresByOwnClock() {
        QuotaHolder holder = leased(SETTINGS);
        assertEquals(USABLE_FROM_US - 1 + SETTINGS.leaseUs(), holder.leaseExpiresAtUs());
        assertEquals(8, holder.ceiling(holder.leaseExpiresAtUs() - 1, "l", ""));
        Quotas quotas = holder.quotas();
        assertEquals(2, holder.ceiling(holder.leaseExpiresAtUs(), "l", ""));
        assertEquals(8, quotas.ceiling(holder.leaseExpiresAtUs() - 1, new Quotas.Key("l", "")));
        assertEquals(2, quotas.ceiling(holder.leaseExpiresAtUs(), new Quotas.Key("l", "")));
        used = 7;
        assertEquals(5, holder.excess(holder.leaseExpiresAtUs()).get(new Quotas.Key("l", "")));
    }

    @Test
    void newProcessUsesAndGivesBackNothingDuringStartupDelay() {
        QuotaHolder holder = holder(SETTINGS, List.of(new SavedFloor("l", "", 2)));
        holder.receiveGrant(10, grant(5, 1, 0, slotGrant("l", 1, 8, 2, 3)));
        assertEquals(0, holder.ceiling(USABLE_FROM_US - 1, "l", ""));
        assertEquals(
                8,
                holder.nextHeartbeat(USABLE_FROM_US - 1).reports().get(0).ceiling(),
                "the former process may still use 8");
        assertEquals(2, holder.ceiling(USABLE_FROM_US, "l", ""));
        assertEquals(2, holder.nextHeartbeat(USABLE_FROM_US).reports().get(0).ceiling());
    }

    @Test
    void ceilingShrinksAsAttemptsEndAndNeverGrowsUnderOneVersion() {
        QuotaHolder holder = leased(SETTINGS);
        used = 7;
        holder.receiveGrant(USABLE_FROM_US + 1000, grant(5, 1, 0, slotGrant("l", 1, 8, 2, 3)));
        assertEquals(
                3, holder.ceiling(USABLE_FROM_US + 1000, "l", ""), "no attempt starts above the requested ceiling");
        assertEquals(
                7,
                holder.nextHeartbeat(USABLE_FROM_US + 1001).reports().get(0).ceiling(),
                "quota of running attempts is not given back");
        used = 1;
        assertEquals(
                3, holder.nextHeartbeat(USABLE_FROM_US + 1002).reports().get(0).ceiling());
        holder.receiveGrant(USABLE_FROM_US + 1003, grant(5, 1, 0, slotGrant("l", 1, 8, 2, 8)));
        assertEquals(3, holder.ceiling(USABLE_FROM_US + 1004, "l", ""), "an old grant of the same version");
        holder.receiveGrant(USABLE_FROM_US + 1005, grant(5, 1, 0, slotGrant("l", 2, 5, 2, 5)));
        assertEquals(5, holder.ceiling(USABLE_FROM_US + 1006, "l", ""));
    }

    @Test
    void grantForFormerProcessIsIgnored() {
        for (boolean enforced : new boolean[] {true, false}) {
            QuotaHolder holder = holder(enforced ? SETTINGS : SETTINGS.without(Guard.INCARNATION), List.of());
            holder.receiveGrant(1, grant(4, 1, 0, slotGrant("l", 1, 8, 2, 8)));
            holder.nextHeartbeat(USABLE_FROM_US - 1);
            holder.receiveGrant(USABLE_FROM_US + 1, grant(4, 1, 1));
            assertEquals(enforced ? 0 : 8, holder.ceiling(USABLE_FROM_US + 2, "l", ""), "guard enforced: " + enforced);
        }
    }

    @Test
    void renewalInNewSessionDoesNotRestoreOldQuotas() {
        for (boolean enforced : new boolean[] {true, false}) {
            QuotaHolder holder = holder(enforced ? SETTINGS : SETTINGS.without(Guard.SESSION), List.of());
            List<SlotGrant> slotGrants = new ArrayList<>();
            // one more slot than fits into a heartbeat, so the last one has not been reported
            for (int i = 0; i <= Heartbeat.MAX_REPORTS; i++) {
                slotGrants.add(slotGrant("l" + (10_000 + i), 1, 8, 2, 8));
            }
            holder.receiveGrant(0, grant(5, 1, 0, slotGrants.toArray(new SlotGrant[0])));
            String last = "l" + (10_000 + Heartbeat.MAX_REPORTS);
            long sequence = holder.nextHeartbeat(USABLE_FROM_US)
                    .sequence(); // the leader then reclaims: the table has only the floors
            holder.receiveGrant(USABLE_FROM_US + 1, grant(5, 2, sequence));
            assertEquals(enforced ? 2 : 8, holder.ceiling(USABLE_FROM_US + 2, last, ""), "guard enforced: " + enforced);
        }
    }

    @Test
    void reducedFloorIsReportedOnceNoOlderFileIsUsable() {
        QuotaHolder holder = leased(SETTINGS);
        holder.receiveGrant(USABLE_FROM_US + 1, grant(5, 1, 0, slotGrant("l", 1, 8, 2, 1)));
        long writtenAtUs = USABLE_FROM_US + 2;
        FloorFile oldFile =
                new FloorFile("b", writtenAtUs - 1, SETTINGS.floorMaxAgeUs(), List.of(new SavedFloor("l", "", 2)));
        assertEquals(List.of(new SavedFloor("l", "", 1)), holder.floors());
        assertEquals(
                2,
                holder.nextHeartbeat(writtenAtUs + SETTINGS.floorMaxAgeUs())
                        .reports()
                        .get(0)
                        .floor(),
                "the reduced floor is not on disk yet");
        holder.onFloorsWritten(writtenAtUs, holder.floors());
        assertEquals(
                2,
                holder.nextHeartbeat(writtenAtUs + SETTINGS.floorMaxAgeUs() - 1)
                        .reports()
                        .get(0)
                        .floor());
        assertEquals(
                1,
                holder.nextHeartbeat(writtenAtUs + SETTINGS.floorMaxAgeUs())
                        .reports()
                        .get(0)
                        .floor());
        assertTrue(
                oldFile.usable("b", writtenAtUs + SETTINGS.floorMaxAgeUs() - 1).isEmpty());
        assertTrue(oldFile.usable("c", writtenAtUs).isEmpty(), "a file of another boot");
    }
}
