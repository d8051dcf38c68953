package sandpaddle.fleet.outage.margin;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Arrays;
import java.util.Set;
import org.junit.jupiter.api.Test;
import sandpaddle.fleet.wire.CborIn;

class MarginsTest {
    private static final long MINUTE_MS = 60_000;
    private static final Set<String> RULE = Set.of("r");

    private final Margins margins = new Margins(new MarginSettings(MINUTE_MS, 20 * MINUTE_MS, 0.8));

    private static WindowOutcome outcome(long startDelayMs, long endDelayMs) {
        return new WindowOutcome("ship", RULE, false, false, startDelayMs, endDelayMs);
    }

    @Test
    void returnsMinimumMarginWithoutHistory() {
        assertEquals(MINUTE_MS, margins.startMarginMs("ship", RULE));
        assertEquals(MINUTE_MS, margins.endMarginMs("ship", RULE));
    }

    @Test
    void marginCoversQuantileOfEarlierWindows() {
        for (int i = 1; i <= 10; i++) {
            margins.learn(outcome(-i * MINUTE_MS, i * MINUTE_MS / 2));
        }
        assertEquals(8 * MINUTE_MS, margins.startMarginMs("ship", RULE));
        assertEquals(4 * MINUTE_MS, margins.endMarginMs("ship", RULE));
        assertEquals(MINUTE_MS, margins.startMarginMs("other", RULE));
        assertEquals(8 * MINUTE_MS, margins.startMarginMs("ship", Set.of("r", "unknown")));
    }

    @Test
    void outlierShiftsQuantileByOneRank() {
        for (int i = 0; i < 9; i++) {
            margins.learn(outcome(-2 * MINUTE_MS, 2 * MINUTE_MS));
        }
        margins.learn(outcome(-1000 * MINUTE_MS, 1000 * MINUTE_MS));
        assertEquals(2 * MINUTE_MS, margins.startMarginMs("ship", RULE));
        for (int i = 0; i < 9; i++) {
            margins.learn(outcome(-1000 * MINUTE_MS, 1000 * MINUTE_MS));
        }
        assertEquals(20 * MINUTE_MS, margins.startMarginMs("ship", RULE), "longest margin of the settings");
    }

    @Test
    void missedAndUnreliableWindowsLeaveMarginsUnchanged() {
        margins.learn(outcome(-5 * MINUTE_MS, 5 * MINUTE_MS));
        for (int i = 0; i < 50; i++) {
            margins.learn(new WindowOutcome("ship", RULE, true, false, 0, 0));
            margins.learn(new WindowOutcome("ship", RULE, false, true, -15 * MINUTE_MS, 15 * MINUTE_MS));
        }
        assertEquals(5 * MINUTE_MS, margins.startMarginMs("ship", RULE));
        assertEquals(50, margins.missedWindows("ship", "r"));
    }

    @Test
    void discardsOffsetsBeyondHistoryCapacity() {
        for (int i = 0; i < OffsetHistory.CAPACITY; i++) {
            margins.learn(outcome(-15 * MINUTE_MS, 0));
        }
        for (int i = 0; i < OffsetHistory.CAPACITY; i++) {
            margins.learn(outcome(-3 * MINUTE_MS, 0));
        }
        assertEquals(3 * MINUTE_MS, margins.startMarginMs("ship", RULE));
    }

    @Test
    void restoresEncodedMargins() throws Exception {
        for (int i = 1; i <= 20; i++) {
            margins.learn(outcome(-i * MINUTE_MS / 2, i * MINUTE_MS / 3));
        }
        Margins restored = new Margins(new MarginSettings(MINUTE_MS, 20 * MINUTE_MS, 0.8));
        restored.restore(margins.encode());
        assertEquals(margins.startMarginMs("ship", RULE), restored.startMarginMs("ship", RULE));
        assertArrayEquals(margins.encode(), restored.encode());
    }

    @Test
    void restoreOfTruncatedDataLeavesMarginsUnchanged() {
        margins.learn(outcome(-5 * MINUTE_MS, 5 * MINUTE_MS));
        byte[] complete = margins.encode();
        for (int length = 0; length < complete.length; length++) {
            byte[] truncated = Arrays.copyOf(complete, length);
            assertThrows(CborIn.FaultyMessageException.class, () -> margins.restore(truncated));
        }
        assertEquals(5 * MINUTE_MS, margins.startMarginMs("ship", RULE));
    }

    @Test
    void evictsLeastRecentlyUsedRule() throws Exception {
        for (int i = 0; i < 2 * Margins.MAX_RULES; i++) {
            margins.learn(new WindowOutcome("ship", Set.of("r" + i), false, false, -5 * MINUTE_MS, 0));
        }
        assertEquals(MINUTE_MS, margins.startMarginMs("ship", Set.of("r0")));
        assertEquals(5 * MINUTE_MS, margins.startMarginMs("ship", Set.of("r" + (2 * Margins.MAX_RULES - 1))));
        new Margins(MarginSettings.DEFAULT).restore(margins.encode());
    }
}
