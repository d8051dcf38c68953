package sandpaddle.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class LoadDeduplicatorProperties {
    private static final OverloadSettings.LoadDeduplication SETTINGS =
            new OverloadSettings.LoadDeduplication(true, 10_000_000, 4, 100);

    private final LoadDeduplicator<String> deduplicator = new LoadDeduplicator<>(SETTINGS);

    /** A key must not run again unless its run has certainly not run, or its retention time is over. */
    @Property(seed = "15", tries = 500)
    void neverStartsSecondRunOfKnownKey(@ForAll @Size(max = 200) List<@IntRange(max = 999) Integer> steps) {
        LoadDeduplicator<String> drawn = new LoadDeduplicator<>(SETTINGS);
        Set<String> running = new HashSet<>();
        Map<String, Long> mayHaveRunAtUs = new HashMap<>();
        long nowUs = 0;
        for (int step : steps) {
            nowUs += step * 5000L;
            String key = "k" + step % 7;
            if (running.contains(key) && step >= 500) {
                LoadDeduplicator.End end = LoadDeduplicator.End.values()[step % 3];
                drawn.ended(nowUs, key, end, end == LoadDeduplicator.End.SERVED ? "rows" : null, step % 60);
                running.remove(key);
                if (end != LoadDeduplicator.End.NEVER_RAN) {
                    mayHaveRunAtUs.put(key, nowUs);
                }
                continue;
            }
            LoadDeduplicator.ClaimResult result = drawn.claim(nowUs, key, key.hashCode(), step % 5 == 0);
            if (result == LoadDeduplicator.ClaimResult.RUN) {
                assertFalse(running.contains(key), "two runs in flight");
                Long endedAtUs = mayHaveRunAtUs.get(key);
                assertTrue(
                        endedAtUs == null || nowUs >= endedAtUs + SETTINGS.retentionUs(),
                        "ran again within the retention time");
                assertTrue(step % 5 != 0, "a marked repeat started a run");
                running.add(key);
            }
            assertEquals(
                    running.contains(key) && result != LoadDeduplicator.ClaimResult.RUN,
                    result == LoadDeduplicator.ClaimResult.JOIN);
            assertTrue(drawn.size() <= SETTINGS.maxEntries());
            assertTrue(drawn.cachedBytes() >= 0 && drawn.cachedBytes() <= SETTINGS.maxResultBytes());
        }
    }

    @Test
    void repeatJoinsRunInFlightAndGetsResultAfterwards() {
        assertEquals(LoadDeduplicator.ClaimResult.RUN, deduplicator.claim(0, "a", 1, false));
        assertEquals(LoadDeduplicator.ClaimResult.JOIN, deduplicator.claim(1, "a", 1, true));
        assertEquals(LoadDeduplicator.ClaimResult.OTHER_STATEMENT, deduplicator.claim(2, "a", 2, false));
        deduplicator.ended(3, "a", LoadDeduplicator.End.SERVED, "rows", 60);
        assertEquals(LoadDeduplicator.ClaimResult.SERVED, deduplicator.claim(4, "a", 1, true));
        assertEquals("rows", deduplicator.result("a"));
    }

    /** A result may be dropped for want of memory, but its outcome is remembered for the whole retention time. */
    @Test
    void outcomeIsRememberedAfterResultIsDropped() {
        deduplicator.claim(0, "a", 1, false);
        deduplicator.ended(1, "a", LoadDeduplicator.End.SERVED, "rows", 60);
        deduplicator.claim(2, "b", 1, false);
        deduplicator.ended(3, "b", LoadDeduplicator.End.SERVED, "more", 60);
        assertEquals(LoadDeduplicator.ClaimResult.SERVED_RESULT_DROPPED, deduplicator.claim(4, "a", 1, true));
        assertEquals(LoadDeduplicator.ClaimResult.SERVED, deduplicator.claim(4, "b", 1, true));
        assertEquals(60, deduplicator.cachedBytes());
    }

    @Test
    void repeatWithUnknownOutcomeDoesNotRun() {
        assertEquals(LoadDeduplicator.ClaimResult.UNKNOWN_KEY, deduplicator.claim(0, "a", 1, true));
        deduplicator.claim(1, "a", 1, false);
        deduplicator.ended(2, "a", LoadDeduplicator.End.MAY_HAVE_RUN, null, 0);
        assertEquals(LoadDeduplicator.ClaimResult.MAY_HAVE_RUN, deduplicator.claim(3, "a", 1, false));
        assertEquals(
                LoadDeduplicator.ClaimResult.UNKNOWN_KEY, deduplicator.claim(2 + SETTINGS.retentionUs(), "a", 1, true));
    }

    /** Guards against forgetting a run when all entries are in use: new keys are rejected, which is harmless. */
    @Test
    void rejectsNewKeysAndKeepsOldOnesWhenFull() {
        for (int i = 0; i < SETTINGS.maxEntries(); i++) {
            assertEquals(LoadDeduplicator.ClaimResult.RUN, deduplicator.claim(0, "k" + i, 1, false));
        }
        assertEquals(LoadDeduplicator.ClaimResult.CAPACITY_EXHAUSTED, deduplicator.claim(1, "new", 1, false));
        deduplicator.ended(2, "k0", LoadDeduplicator.End.NEVER_RAN, null, 0);
        assertEquals(LoadDeduplicator.ClaimResult.RUN, deduplicator.claim(3, "new", 1, false));
        assertEquals(LoadDeduplicator.ClaimResult.JOIN, deduplicator.claim(4, "k1", 1, false));
    }
}
