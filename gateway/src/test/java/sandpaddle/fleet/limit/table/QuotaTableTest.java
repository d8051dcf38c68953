package sandpaddle.fleet.limit.table;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import sandpaddle.fleet.limit.LimitScope;
import sandpaddle.fleet.limit.LimitSettings;
import sandpaddle.fleet.limit.LimitSpec;
import sandpaddle.fleet.limit.LimitUnit;
import sandpaddle.fleet.wire.CborIn.FaultyMessageException;

class QuotaTableTest {
    private static final SlotName A = new SlotName("a", "");
    private static final SlotName B = new SlotName("b", "");
    private final QuotaTable table = new QuotaTable(LimitSettings.DEFAULTS);

    private static LimitCommand limits(long epoch, long amount) {
        return new LimitCommand.SetLimits(
                epoch, List.of(new LimitSpec("l", LimitScope.WHOLE_FLEET, LimitUnit.RUNNING, amount, 0)));
    }

    private LimitCommandOutcome move(long term, SlotName slot, long version, long amount, long floor) {
        return table.apply(
                new LimitCommand.ChangeSlots(term, List.of(new SlotChange("l", slot, version, amount, floor))));
    }

    private void addLimitAndGateways() {
        assertTrue(table.apply(limits(1, 10)).isAccepted());
        table.apply(new LimitCommand.Join("a", "h"));
        table.apply(new LimitCommand.Join("b", "h"));
        assertTrue(table.apply(new LimitCommand.BeginTerm(1)).isAccepted());
        assertTrue(move(1, A, 0, 6, 2).isAccepted());
    }

    @Test
    void raiseBeyondTheAmountIsRefusedFromAnyLeader() {
        addLimitAndGateways();
        assertFalse(move(1, B, 0, 5, 1).isAccepted());
        assertTrue(move(1, B, 0, 4, 1).isAccepted());
        assertEquals(10, table.limits().get("l").allocated());
    }

    @Test
    void changeOfOlderVersionOrFormerLeaderIsRefused() {
        addLimitAndGateways();
        long version = table.limits().get("l").slot(A).version();
        assertTrue(move(1, A, version, 5, 2).isAccepted());
        assertFalse(move(1, A, version, 1, 0).isAccepted(), "the version was already used");
        assertTrue(table.apply(new LimitCommand.BeginTerm(2)).isAccepted());
        assertFalse(move(1, B, 0, 1, 0).isAccepted(), "a leader of a former term");
        assertFalse(table.apply(new LimitCommand.Reclaim(1, "a", 1)).isAccepted());
        assertFalse(table.apply(new LimitCommand.BeginTerm(2)).isAccepted());
    }

    @Test
    void reclaimLeavesTheFloorAndEndsTheSession() {
        addLimitAndGateways();
        assertTrue(table.apply(new LimitCommand.Reclaim(1, "a", 1)).isAccepted());
        assertEquals(2, table.limits().get("l").slot(A).amount());
        assertFalse(table.apply(new LimitCommand.Reclaim(1, "a", 1)).isAccepted(), "the session has ended");
        table.apply(new LimitCommand.Leave("a"));
        assertTrue(table.apply(new LimitCommand.Reclaim(1, "a", 2)).isAccepted());
        assertEquals(0, table.limits().get("l").allocated(), "the gateway left, so its floor is removed too");
    }

    @Test
    void lostGatewayIsReclaimedAfterItsOwnValidity() {
        addLimitAndGateways();
        assertTrue(table.apply(new LimitCommand.BeginSession(1, "a", 1, 77, 60_000_000))
                .isAccepted());
        assertEquals(60_000_000, table.members().get("a").validityUs());
        long wait =
                LimitSettings.DEFAULTS.reclaimDelayUs(table.members().get("a").validityUs());
        assertTrue(wait >= 62_300_000 && LimitSettings.DEFAULTS.reclaimDelayUs(1) < 10_000_000, wait + " us");
    }

    @Test
    void amountBelowTheFloorsIsRefusedWithSmallestAcceptedAmount() {
        addLimitAndGateways();
        LimitCommandOutcome low = table.apply(limits(2, 1));
        assertFalse(low.isAccepted());
        assertEquals(2, low.minAmount());
        assertTrue(table.apply(limits(2, 2)).isAccepted());
        assertFalse(move(1, B, 0, 1, 0).isAccepted(), "6 are allocated, above the amount of 2");
        assertFalse(table.apply(limits(2, 9)).isAccepted(), "the epoch is not newer");
    }

    @Test
    void droppedLimitStaysUntilItsQuotasAreReturned() {
        addLimitAndGateways();
        assertTrue(table.apply(new LimitCommand.SetLimits(2, List.of())).isAccepted());
        assertTrue(table.limits().get("l").dropped());
        assertTrue(move(1, A, table.limits().get("l").slot(A).version(), 0, 0).isAccepted());
        assertTrue(table.limits().isEmpty());
    }

    @Test
    void wildcardLimitIsInstantiatedForNames() {
        LimitScope each = new LimitScope(null, null, "*", "e1");
        table.apply(new LimitCommand.SetLimits(1, List.of(new LimitSpec("t", each, LimitUnit.CONNECTIONS, 5, 0))));
        assertTrue(table.limits().isEmpty());
        assertTrue(table.apply(new LimitCommand.Instantiate("t", new LimitScope("h", "c", "ann", "e1")))
                .isAccepted());
        assertFalse(table.apply(new LimitCommand.Instantiate("t", new LimitScope("h", "c", "ann", "e2")))
                .isAccepted());
        assertEquals(List.of("t|ann"), List.copyOf(table.limits().keySet()));
    }

    @Test
    void snapshotRestoresTheStateAndFaultyCommandsAreRefused() throws FaultyMessageException {
        addLimitAndGateways();
        QuotaTable other = new QuotaTable(LimitSettings.DEFAULTS);
        other.install(table.snapshot());
        assertArrayEquals(table.snapshot(), other.snapshot());
        byte[] command =
                LimitCommandCodec.write(new LimitCommand.ChangeSlots(1, List.of(new SlotChange("l", B, 0, 4, 1))));
        assertArrayEquals(table.apply(9, command), other.apply(9, command));
        assertArrayEquals(table.snapshot(), other.snapshot());
        LimitCommandOutcome fault = LimitCommandCodec.readOutcome(table.apply(10, new byte[] {1, 2, 3}));
        assertTrue(!fault.isAccepted() && fault.reason().contains("command 10"), fault.reason());
    }
}
