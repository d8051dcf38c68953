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

    private final LoadDeduplicator<String> runs = new LoadDeduplicator<>(SETTINGS);

    /** No key runs again unless its run is known never to have run, or the time for which it is known is over. */
    @Property(seed = "15", tries = 500)
    void noRunIsStartedTwice(@ForAll @Size(max = 200) List<@IntRange(max = 999) Integer> steps) {
        LoadDeduplicator<String> drawn = new LoadDeduplicator<>(SETTINGS);
        Set<String> running = new HashSet<>();
        Map<String, Long> mayHaveRunAt = new HashMap<>();
        long now = 0;
        for (int step : steps) {
            now += step * 5000L;
            String key = "k" + step % 7;
            if (running.contains(key) && step >= 500) {
                LoadDeduplicator.End end = LoadDeduplicator.End.values()[step % 3];
                drawn.ended(now, key, end, end == LoadDeduplicator.End.SERVED ? "rows" : null, step % 60);
                running.remove(key);
                if (end != LoadDeduplicator.End.NEVER_RAN) {
                    mayHaveRunAt.put(key, now);
                }
                continue;
            }
            LoadDeduplicator.ClaimResult v = drawn.claim(now, key, key.hashCode(), step % 5 == 0);
            if (v == LoadDeduplicator.ClaimResult.RUN) {
                assertFalse(running.contains(key), "two runs at once");
                Long ended = mayHaveRunAt.get(key);
                assertTrue(ended == null || now >= ended + SETTINGS.retentionUs(), "ran again");
                assertTrue(step % 5 != 0, "a marked repeat ran as new");
                running.add(key);
            }
            assertEquals(
                    running.contains(key) && v != LoadDeduplicator.ClaimResult.RUN,
                    v == LoadDeduplicator.ClaimResult.JOIN);
            assertTrue(drawn.size() <= SETTINGS.maxEntries());
            assertTrue(drawn.cachedBytes() >= 0 && drawn.cachedBytes() <= SETTINGS.maxResultBytes());
        }
    }

    @Test
    void aRepeatJoinsOrLearnsTheEnd() {
        assertEquals(LoadDeduplicator.ClaimResult.RUN, runs.claim(0, "a", 1, false));
        assertEquals(LoadDeduplicator.ClaimResult.JOIN, runs.claim(1, "a", 1, true));
        assertEquals(LoadDeduplicator.ClaimResult.OTHER_STATEMENT, runs.claim(2, "a", 2, false));
        runs.ended(3, "a", LoadDeduplicator.End.SERVED, "rows", 60);
        assertEquals(LoadDeduplicator.ClaimResult.SERVED, runs.claim(4, "a", 1, true));
        assertEquals("rows", runs.result("a"));
    }

    /** Its rows make room for others', but that it was served is known for the whole time. */
    @Test
    void theEndOutlivesTheRows() {
        runs.claim(0, "a", 1, false);
        runs.ended(1, "a", LoadDeduplicator.End.SERVED, "rows", 60);
        runs.claim(2, "b", 1, false);
        runs.ended(3, "b", LoadDeduplicator.End.SERVED, "more", 60);
        assertEquals(LoadDeduplicator.ClaimResult.SERVED_RESULT_DROPPED, runs.claim(4, "a", 1, true));
        assertEquals(LoadDeduplicator.ClaimResult.SERVED, runs.claim(4, "b", 1, true));
        assertEquals(60, runs.cachedBytes());
    }

    @Test
    void whatIsNotKnownIsNeverGuessed() {
        assertEquals(LoadDeduplicator.ClaimResult.UNKNOWN_KEY, runs.claim(0, "a", 1, true));
        runs.claim(1, "a", 1, false);
        runs.ended(2, "a", LoadDeduplicator.End.MAY_HAVE_RUN, null, 0);
        assertEquals(LoadDeduplicator.ClaimResult.MAY_HAVE_RUN, runs.claim(3, "a", 1, false));
        assertEquals(LoadDeduplicator.ClaimResult.UNKNOWN_KEY, runs.claim(2 + SETTINGS.retentionUs(), "a", 1, true));
    }

    /** Guards against forgetting a run for want of room: new keys are turned away instead, which is harmless. */
    @Test
    void aFullTableTurnsNewKeysAwayAndKeepsTheOld() {
        for (int i = 0; i < SETTINGS.maxEntries(); i++) {
            assertEquals(LoadDeduplicator.ClaimResult.RUN, runs.claim(0, "k" + i, 1, false));
        }
        assertEquals(LoadDeduplicator.ClaimResult.CAPACITY_EXHAUSTED, runs.claim(1, "new", 1, false));
        runs.ended(2, "k0", LoadDeduplicator.End.NEVER_RAN, null, 0);
        assertEquals(LoadDeduplicator.ClaimResult.RUN, runs.claim(3, "new", 1, false));
        assertEquals(LoadDeduplicator.ClaimResult.JOIN, runs.claim(4, "k1", 1, false));
    }
}
