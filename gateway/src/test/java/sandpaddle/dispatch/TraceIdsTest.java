package sandpaddle.dispatch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;

import java.time.Duration;
import java.time.Instant;
import org.testng.annotations.Test;

/** {@link TraceIds}, in virtual time. */
public class TraceIdsTest {
    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
    private static final Duration RETENTION = Duration.ofSeconds(20);

    private final TraceIds ids = new TraceIds();

    /** Guards against two attempts at once: two attempts of an id end in any order. */
    @Test
    public void idIsInUseUntilAllItsAttemptsHaveStopped() {
        Runnable first = ids.attemptStarted("a");
        Runnable second = ids.attemptStarted("a");
        first.run();
        assertNotNull(ids.conflict("a", START));
        second.run();
        assertNull(ids.conflict("a", START));
    }

    /** Guards the heap: ids of clients that always use new ones are forgotten. */
    @Test
    public void spentIdsAreBoundedInTimeAndNumber() {
        for (int i = 0; i < 2 * TraceIds.MAX_SPENT; i++) {
            ids.spent("n" + i, START, RETENTION);
        }
        assertEquals(ids.retained(), TraceIds.MAX_SPENT);
        assertNotNull(ids.conflict("n" + (2 * TraceIds.MAX_SPENT - 1), START.plusSeconds(19)));
        assertNull(ids.conflict("n" + (2 * TraceIds.MAX_SPENT - 1), START.plus(RETENTION)));
        ids.spent("last", START.plus(RETENTION), RETENTION);
        assertEquals(ids.retained(), 1);
    }
}
