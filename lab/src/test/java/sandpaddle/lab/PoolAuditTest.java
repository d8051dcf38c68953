package sandpaddle.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.LinkedHashMap;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Checks that connections over a pool's budget are counted if they last. */
class PoolAuditTest {
    private static final long US_PER_MS = 1000;

    private final PoolAudit audit = new PoolAudit();

    private Object maxExcess() {
        Map<String, Object> f = new LinkedHashMap<>();
        audit.figures(f);
        return f.get("poolOverMost");
    }

    @Test
    void countsLastingExcess() {
        audit.budget(2, 0, 0);
        audit.connections("s-0", 3, 10 * US_PER_MS);
        audit.connections("s-0", 2, 300 * US_PER_MS);
        assertEquals(1L, maxExcess());
    }

    @Test
    void ignoresBriefExcessDuringReplacement() {
        audit.budget(2, 0, 0);
        audit.connections("s-0", 3, 10 * US_PER_MS);
        audit.connections("s-0", 2, 11 * US_PER_MS);
        assertEquals(0L, maxExcess());
    }

    @Test
    void countsExcessAtEnd() {
        audit.budget(2, 0, 0);
        audit.connections("s-0", 4, 10 * US_PER_MS);
        audit.end(500 * US_PER_MS);
        assertEquals(2L, maxExcess());
    }

    @Test
    void appliesReducedBudgetOnceEffective() {
        audit.budget(4, 0, 0);
        audit.budget(2, 10 * US_PER_MS, 1000 * US_PER_MS);
        audit.connections("s-0", 4, 20 * US_PER_MS);
        audit.connections("s-0", 3, 900 * US_PER_MS);
        assertEquals(0L, maxExcess());
        audit.connections("s-0", 3, 1100 * US_PER_MS);
        audit.connections("s-0", 2, 1300 * US_PER_MS);
        assertEquals(1L, maxExcess());
    }
}
