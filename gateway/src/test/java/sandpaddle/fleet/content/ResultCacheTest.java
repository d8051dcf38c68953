package sandpaddle.fleet.content;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import sandpaddle.fleet.content.disk.DiskSettings;
import sandpaddle.fleet.content.disk.DiskTier;
import sandpaddle.fleet.content.disk.FileSystemDirectory;
import sandpaddle.fleet.content.memory.MemoryTier;
import sandpaddle.fleet.content.replication.CacheReplicaStore;
import sandpaddle.query.ResultSet;

class ResultCacheTest {
    private static final long WALL_MS = 1_000_000;

    @TempDir
    Path directory;

    private ResultCache store(long memoryBytes) {
        return new ResultCache(
                new MemoryTier(memoryBytes),
                Optional.of(DiskTier.open(new FileSystemDirectory(directory), DiskSettings.DEFAULT, WALL_MS)),
                1_000_000);
    }

    @Test
    void findsResultsOnDiskThatMemoryHasEvicted() {
        ResultCache store = store(3000);
        for (int n = 0; n < 50; n++) {
            assertTrue(store.put(SampleResults.result(n, WALL_MS, n, 20), n, WALL_MS));
        }
        for (int n = 0; n < 50; n++) {
            assertTrue(SampleResults.areEqual(
                    SampleResults.result(n, WALL_MS, n, 20),
                    store.find(SampleResults.key(n)).orElseThrow()));
        }
        store.tick(500_000, WALL_MS);
        assertEquals(0, store(0).ids().size(), "buffered until the flush interval has passed");
        store.tick(1_500_000, WALL_MS);
        ResultCache next = store(3000);
        assertEquals(50, next.ids().size());
        assertTrue(next.find(SampleResults.key(7)).isPresent());
        assertEquals(WALL_MS, next.requestedAtMs(SampleResults.key(7).id()));
        assertEquals(List.of(), next.faults());
    }

    @Test
    void rejectsOlderVersionOfCachedResult() {
        ResultCache store = store(100_000);
        assertTrue(store.put(SampleResults.result(1, WALL_MS, 1, 2), 0, WALL_MS));
        assertFalse(store.put(SampleResults.result(1, WALL_MS - 1, 1, 2), 0, WALL_MS));
        store.remove(SampleResults.key(1).id());
        assertTrue(store.find(SampleResults.key(1)).isEmpty());
    }

    @Test
    void distrustsWallClockBehindNewestResult() {
        ResultCache store = store(100_000);
        store.put(SampleResults.result(1, WALL_MS, 1, 2), 0, WALL_MS);
        store.tick(2_000_000, WALL_MS);
        ResultCache next = store(100_000);
        assertTrue(next.isWallClockTrusted(WALL_MS - ResultCache.MAX_CLOCK_LAG_MS));
        assertFalse(next.isWallClockTrusted(WALL_MS - ResultCache.MAX_CLOCK_LAG_MS - 1));
    }

    @Test
    void keepsAgeOfReplicatedResult() {
        CacheReplicaStore sender = new CacheReplicaStore(store(100_000), SampleResults.INCARNATION, 2000);
        sender.setTime(WALL_MS * 1000, WALL_MS);
        sender.put(SampleResults.result(1, WALL_MS, 1, 2), 0);
        sender.setTime((WALL_MS + 5000) * 1000, WALL_MS - 90_000); // its wall clock was set back
        CachedResult sent = sender.find(SampleResults.key(1).id()).orElseThrow();
        assertEquals(5000, sender.ageMs(sent));
        ResultCache store = new ResultCache(new MemoryTier(100_000), Optional.empty(), 0);
        CacheReplicaStore receiver = new CacheReplicaStore(store, 99, 2000);
        receiver.setTime(70_000_000, WALL_MS - 1000);
        assertTrue(receiver.put(sent, sender.ageMs(sent)));
        receiver.setTime(71_000_000, WALL_MS - 1000);
        assertEquals(
                6000, receiver.ageMs(receiver.find(SampleResults.key(1).id()).orElseThrow()));
        assertEquals(WALL_MS, receiver.requestedAtMs(SampleResults.key(1).id()));
    }

    @Test
    void hidesResultOfEarlierIncarnationWhileWallClockIsSetBack() {
        ResultCache store = store(100_000);
        store.put(SampleResults.result(1, WALL_MS, 1, 2), 0, WALL_MS);
        CacheReplicaStore next = new CacheReplicaStore(store, 99, 2000);
        next.setTime(0, WALL_MS - 60_000);
        assertTrue(next.find(SampleResults.key(1).id()).isEmpty());
        next.setTime(0, WALL_MS + 60_000);
        assertEquals(62_000, next.ageMs(next.find(SampleResults.key(1).id()).orElseThrow()));
    }

    @Test
    void rejectsResultsBeyondTheBounds() {
        ResultCache store = store(100_000);
        ResultMetadata metadata = SampleResults.result(1, WALL_MS, 1, 1).metadata();
        assertFalse(store.put(new CachedResult(metadata, new ResultSet(List.of(new byte[] {'a', '\n'}))), 0, WALL_MS));
        CacheKey unpairedSurrogate = new CacheKey("t\ud800", "u", "c", new byte[1]);
        assertFalse(store.put(
                new CachedResult(
                        new ResultMetadata(unpairedSurrogate, Set.of(), WALL_MS, 0, 0, 1000, 1),
                        new ResultSet(List.of())),
                0,
                WALL_MS));
        CacheKey large = new CacheKey("t", "u", "c", new byte[CacheKey.MAX_STATEMENT_BYTES + 1]);
        assertFalse(large.isStorable());
    }

    @Test
    void distinguishesKeysInEveryField() {
        byte[] statement = "select 1".getBytes(StandardCharsets.UTF_8);
        CacheKey key = new CacheKey("ab", "c", "d", statement);
        for (CacheKey other : List.of(
                new CacheKey("a", "bc", "d", statement),
                new CacheKey("ab", "cd", "", statement),
                new CacheKey("ab", "c", "d", "select 2".getBytes(StandardCharsets.UTF_8)))) {
            assertNotEquals(key, other);
            assertNotEquals(key.id(), other.id());
        }
        assertEquals(key, new CacheKey("ab", "c", "d", statement));
    }

    @Test
    void memoryTierKeepsMostValuableResultsWithinItsBound() {
        MemoryTier memory = new MemoryTier(20_000);
        for (int i = 0; i < 1000; i++) {
            memory.put(SampleResults.result(i * 7 % 1000, WALL_MS, i * 7 % 1000, 2));
            assertTrue(memory.bytes() <= 20_000);
        }
        int kept = memory.size();
        for (int n = 1000 - kept; n < 1000; n++) {
            assertTrue(
                    memory.get(SampleResults.key(n).id()).isPresent(),
                    "result " + n + " of the " + kept + " most valuable");
        }
        assertTrue(kept > 15);
        assertEquals(
                1,
                new MemoryTier(10).put(SampleResults.result(1, WALL_MS, 1, 1)).size(),
                "larger than the tier, so evicted itself");
        memory.ids().stream().toList().forEach(memory::remove);
        assertEquals(0, memory.bytes());
    }
}
