package sandpaddle.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class RejectedStatementTableProperties {
    private static final long REMEMBER_US = 5_000_000;

    /** Each rejection predicts one return, so a statement must not be claimed more often than it was rejected. */
    @Property(seed = "11", tries = 300)
    void claimsAtMostOneReturnPerRejection(@ForAll @Size(max = 400) List<@IntRange(max = 99) Integer> steps) {
        RejectedStatementTable table = new RejectedStatementTable(64, REMEMBER_US);
        Map<Long, Integer> awaited = new HashMap<>();
        long nowUs = 0;
        for (int step : steps) {
            nowUs += step * 1000L;
            long fingerprint = (step % 10 + 1) * 0x9E3779B97F4A7C15L;
            if (step >= 50) {
                table.rejected(nowUs, fingerprint, nowUs, 1, nowUs + 100_000);
                awaited.merge(fingerprint, 1, Integer::sum);
            } else if (table.claim(nowUs, fingerprint) != null) {
                int remaining = awaited.merge(fingerprint, -1, Integer::sum);
                assertTrue(remaining >= 0, "claimed more often than rejected");
            }
            assertTrue(table.usedEntries() >= 0 && table.usedEntries() <= table.capacity());
        }
    }

    /** Guards memory: the table keeps its size however many statements are rejected, and evicts the oldest. */
    @Test
    void fullSetEvictsOldestRejection() {
        RejectedStatementTable table = new RejectedStatementTable(4, REMEMBER_US);
        int capacity = table.capacity();
        for (int i = 0; i <= capacity; i++) {
            table.rejected(i, 1 + i, i, 1, 0); // all in one set, which the upper half selects
        }
        assertEquals(capacity, table.usedEntries());
        assertEquals(1, table.evictions());
        assertNull(table.claim(capacity, 1), "the oldest");
        assertNotNull(table.claim(capacity, 1 + capacity), "the newest");
    }

    @Test
    void returnIsClaimedUntilEntryExpires() {
        RejectedStatementTable table = new RejectedStatementTable(64, REMEMBER_US);
        table.rejected(1000, 7, 500, 2, 300_000);
        RejectedStatementTable.ReturningClient client = table.claim(300_000 + REMEMBER_US, 7);
        assertEquals(new RejectedStatementTable.ReturningClient(2, 500, 300_000, true), client);
        table.rejected(1000, 7, 500, 2, 300_000);
        assertNull(table.claim(300_001 + REMEMBER_US, 7));
        assertEquals(0, table.usedEntries());
    }

    /** Two clients with the same statement: each can be claimed, and neither is taken for the only one. */
    @Test
    void statementOfTwoClientsIsClaimedTwice() {
        RejectedStatementTable table = new RejectedStatementTable(64, REMEMBER_US);
        table.rejected(1000, 7, 900, 1, 300_000);
        table.rejected(2000, 7, 1900, 2, 400_000);
        assertEquals(new RejectedStatementTable.ReturningClient(2, 900, 400_000, false), table.claim(3000, 7));
        assertNotNull(table.claim(3000, 7));
        assertNull(table.claim(3000, 7));
    }
}
