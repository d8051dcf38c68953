package sandpaddle.fleet.outage.margin;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Arrays;
import java.util.Set;
import org.junit.jupiter.api.Test;
import sandpaddle.fleet.wire.CborIn;

class MarginsTest {
    private static final long MIN = 60_000;
    private static final Set<String> RULE = Set.of("r");

    private final Margins margins = new Margins(new MarginSettings(MIN, 20 * MIN, 0.8));

    private static WindowOutcome went(long startLate, long endLate) {
        return new WindowOutcome("ship", RULE, false, false, startLate, endLate);
    }

    @Test
    void knowsOnlyTheLeastAtFirst() {
        assertEquals(MIN, margins.before("ship", RULE));
        assertEquals(MIN, margins.after("ship", RULE));
    }

    @Test
    void coversTheQuantileOfEarlierWindows() {
        for (int i = 1; i <= 10; i++) {
            margins.learn(went(-i * MIN, i * MIN / 2));
        }
        assertEquals(8 * MIN, margins.before("ship", RULE));
        assertEquals(4 * MIN, margins.after("ship", RULE));
        assertEquals(MIN, margins.before("other", RULE));
        assertEquals(8 * MIN, margins.before("ship", Set.of("r", "unknown")));
    }

    @Test
    void oneStrangeWindowMovesAQuantileByOnePlace() {
        for (int i = 0; i < 9; i++) {
            margins.learn(went(-2 * MIN, 2 * MIN));
        }
        margins.learn(went(-1000 * MIN, 1000 * MIN));
        assertEquals(2 * MIN, margins.before("ship", RULE));
        for (int i = 0; i < 9; i++) {
            margins.learn(went(-1000 * MIN, 1000 * MIN));
        }
        assertEquals(20 * MIN, margins.before("ship", RULE), "the longest that the settings allow");
    }

    @Test
    void missedAndDoubtfulWindowsMoveNoMargin() {
        margins.learn(went(-5 * MIN, 5 * MIN));
        for (int i = 0; i < 50; i++) {
            margins.learn(new WindowOutcome("ship", RULE, true, false, 0, 0));
            margins.learn(new WindowOutcome("ship", RULE, false, true, -15 * MIN, 15 * MIN));
        }
        assertEquals(5 * MIN, margins.before("ship", RULE));
        assertEquals(50, margins.missed("ship", "r"));
    }

    @Test
    void forgetsWhatIsOlderThanTheRing() {
        for (int i = 0; i < OffsetHistory.SIZE; i++) {
            margins.learn(went(-15 * MIN, 0));
        }
        for (int i = 0; i < OffsetHistory.SIZE; i++) {
            margins.learn(went(-3 * MIN, 0));
        }
        assertEquals(3 * MIN, margins.before("ship", RULE));
    }

    @Test
    void knowsAfterARestartWhatItKnewBefore() throws Exception {
        for (int i = 1; i <= 20; i++) {
            margins.learn(went(-i * MIN / 2, i * MIN / 3));
        }
        Margins next = new Margins(new MarginSettings(MIN, 20 * MIN, 0.8));
        next.take(margins.export());
        assertEquals(margins.before("ship", RULE), next.before("ship", RULE));
        assertArrayEquals(margins.export(), next.export());
    }

    @Test
    void aFaultyExportChangesNothing() {
        margins.learn(went(-5 * MIN, 5 * MIN));
        byte[] whole = margins.export();
        for (int n = 0; n < whole.length; n++) {
            byte[] torn = Arrays.copyOf(whole, n);
            assertThrows(CborIn.FaultyMessageException.class, () -> margins.take(torn));
        }
        assertEquals(5 * MIN, margins.before("ship", RULE));
    }

    @Test
    void holdsABoundedNumberOfRules() throws Exception {
        for (int i = 0; i < 2 * Margins.MAX_RULES; i++) {
            margins.learn(new WindowOutcome("ship", Set.of("r" + i), false, false, -5 * MIN, 0));
        }
        assertEquals(MIN, margins.before("ship", Set.of("r0")));
        assertEquals(5 * MIN, margins.before("ship", Set.of("r" + (2 * Margins.MAX_RULES - 1))));
        new Margins(MarginSettings.DEFAULT).take(margins.export());
    }
}
