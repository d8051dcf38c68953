package sandpaddle.fleet.content.disk;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import sandpaddle.fleet.content.CachedResult;
import sandpaddle.fleet.content.SampleResults;

class DiskTierTest {
    private static final long WALL_MS = 1_000_000;
    private static final DiskSettings SETTINGS = new DiskSettings(100_000, 10_000, 1000, 64, 1_000_000);

    private final FaultInjectingDirectory files = new FaultInjectingDirectory();
    private DiskTier disk = open();

    private DiskTier open() {
        return DiskTier.open(files, SETTINGS, WALL_MS);
    }

    private static CachedResult result(int n) {
        return SampleResults.result(n, WALL_MS, n, n < 3 ? 5 : 50);
    }

    private boolean isFound(int n) {
        Optional<CachedResult> found = disk.get(SampleResults.key(n).id());
        found.ifPresent(
                a -> assertTrue(SampleResults.areEqual(result(n), a), "result " + n + " differs from the stored one"));
        return found.isPresent();
    }

    private long countFound(int from, int to) {
        return IntStream.range(from, to).filter(this::isFound).count();
    }

    private void put(int from, int to) {
        for (int n = from; n < to; n++) {
            disk.put(result(n), n, WALL_MS);
        }
    }

    private List<DiskFault.Kind> faultKinds() {
        return disk.faults().stream().map(DiskFault::kind).distinct().toList();
    }

    @Test
    void findsFlushedResultsAfterRestart() {
        put(0, 40);
        assertTrue(disk.flush(0, WALL_MS));
        put(40, 42);
        assertEquals(42, countFound(0, 42));
        disk = open();
        assertEquals(40, countFound(0, 42));
        assertEquals(WALL_MS, disk.newestWallMs());
        assertEquals(List.of(), faultKinds());
    }

    @Test
    void findsFlushedResultsAfterPowerLoss() {
        put(0, 40);
        assertTrue(disk.flush(0, WALL_MS));
        files.crash();
        disk = open();
        assertEquals(40, countFound(0, 40));
        assertEquals(List.of(), faultKinds());
    }

    @Test
    void keepsNewestVersionOfResult() {
        for (int ageMs = 5; ageMs >= 0; ageMs -= 5) {
            disk.put(SampleResults.result(1, WALL_MS - ageMs, 1, 5), 0, WALL_MS);
            disk.flush(0, WALL_MS);
        }
        disk = open();
        assertTrue(isFound(1));
        assertEquals(1, disk.entryCount());
    }

    @Test
    void evictsLeastValuableResultsWithinQuota() {
        for (int i = 0; i < 400; i++) {
            disk.put(result((i * 37) % 400), 0, WALL_MS); // mixes valuable and other results in each segment
            assertTrue(files.bytes() <= SETTINGS.quotaBytes(), "over the quota after result " + i);
        }
        disk.flush(0, WALL_MS);
        assertTrue(files.bytes() <= SETTINGS.quotaBytes());
        long mostValuable = countFound(300, 400);
        long leastValuable = countFound(0, 100);
        assertTrue(
                mostValuable >= 80 && mostValuable > 4 * leastValuable,
                "kept " + mostValuable + " of the hundred most valuable, " + leastValuable
                        + " of the hundred least valuable");
    }

    @Test
    void evictsLeastValuableResultsOnFullDiskAndWritesAgainOnceSpaceIsFree() {
        files.capacityBytes = 50_000;
        put(0, 200);
        disk.flush(0, WALL_MS);
        assertTrue(faultKinds().contains(DiskFault.Kind.FULL));
        assertTrue(countFound(150, 200) >= 40, "most of the fifty most valuable");
        files.capacityBytes = Long.MAX_VALUE;
        put(200, 230);
        assertTrue(disk.flush(10_000_000, WALL_MS));
        assertEquals(30, countFound(200, 230));
        assertEquals(List.of(), faultKinds());
    }

    /**
     * Injects a fault at each file operation in turn: no exception, no wrong result, and durable results remain, except
     * those evicted on a full disk.
     */
    @Test
    void survivesFaultAtAnyFileOperation() {
        for (boolean isDiskFull : new boolean[] {true, false}) {
            boolean isReached = true;
            for (int at = 0; isReached; at++) {
                isReached = failAt(at, isDiskFull, isDiskFull ? 3000 : 0);
            }
        }
    }

    private boolean failAt(int at, boolean isDiskFull, int writtenBytes) {
        files.files.clear();
        disk = open();
        put(0, 20);
        disk.flush(0, WALL_MS);
        files.failsWithDiskFull = isDiskFull;
        files.bytesOfFailedWrite = writtenBytes;
        files.failingOperation = files.operations + at;
        put(20, 60);
        disk.flush(0, WALL_MS);
        countFound(0, 60);
        disk = open();
        boolean isReached = files.operations > files.failingOperation;
        files.failingOperation = -1;
        disk = open();
        long kept = countFound(0, 20);
        assertTrue(
                kept >= (isDiskFull ? 0 : 19),
                "fault at operation " + at + ": " + kept + " of 20 durable results left");
        assertTrue(disk.flush(100_000_000, WALL_MS));
        put(60, 80);
        disk.flush(200_000_000, WALL_MS);
        assertEquals(20, countFound(60, 80), "after a fault at operation " + at);
        return isReached; // false once the index is past the last operation
    }

    @Test
    void readsAndBoundsWriteBufferWhileDirectoryIsReadOnly() {
        put(0, 20);
        disk.flush(0, WALL_MS);
        files.readOnly = true;
        put(20, 500);
        assertFalse(disk.flush(0, WALL_MS));
        assertTrue(faultKinds().contains(DiskFault.Kind.WRITE));
        assertEquals(20, countFound(0, 20));
        assertTrue(
                disk.ids().size() < 20 + 40,
                "buffered more than a segment: " + disk.ids().size());
        files.readOnly = false;
        assertFalse(disk.flush(100, WALL_MS), "backs off after a fault");
        assertTrue(disk.flush(2_000_000, WALL_MS));
    }

    @Test
    void recordsFaultsWhileDirectoryIsMissingAndRecovers() {
        put(0, 20);
        disk.flush(0, WALL_MS);
        files.isMissing = true;
        assertEquals(0, countFound(0, 20));
        put(20, 60);
        disk.flush(0, WALL_MS);
        assertTrue(faultKinds().containsAll(List.of(DiskFault.Kind.READ, DiskFault.Kind.WRITE)));
        disk = open();
        assertEquals(List.of(DiskFault.Kind.READ), faultKinds());
        files.isMissing = false;
        files.files.clear();
        put(60, 70);
        assertTrue(disk.flush(100_000_000, WALL_MS));
        assertEquals(10, countFound(60, 70));
    }

    @Test
    void dropsEntryOnShortRead() {
        put(0, 5);
        disk.flush(0, WALL_MS);
        files.missingBytesOfRead = 1;
        assertFalse(isFound(1));
        assertEquals(List.of(DiskFault.Kind.TORN), faultKinds());
        files.missingBytesOfRead = 0;
        assertEquals(3, countFound(1, 5));
    }

    /** Flips a bit in each byte of a segment in turn: a lookup finds the stored result or none. */
    @Test
    void detectsFlippedBitInEveryByteOfSegment() {
        put(1, 3);
        disk.flush(0, WALL_MS);
        String name = files.files.keySet().iterator().next();
        byte[] complete = files.files.get(name).clone();
        for (int i = 0; i < complete.length; i++) {
            byte[] flipped = complete.clone();
            flipped[i] ^= 1 << i % 8;
            files.files.clear();
            files.files.put(name, flipped);
            disk = open();
            assertTrue(countFound(1, 3) < 2, "undetected flip in byte " + i);
        }
    }

    @Test
    void keepsCompleteEntriesOfTornSegmentAndIgnoresForeignFiles() {
        put(1, 4);
        disk.flush(0, WALL_MS);
        String name = files.files.keySet().iterator().next();
        byte[] complete = files.files.get(name);
        files.files.put(name, Arrays.copyOf(complete, complete.length - 10));
        files.files.put("content-00000000000000ff.seg", new byte[] {1, 2, 3});
        files.files.put("content-00000000000000fe.seg.part", new byte[] {1});
        files.files.put("notes.txt", new byte[] {1});
        disk = open();
        assertEquals(List.of(DiskFault.Kind.TORN, DiskFault.Kind.CORRUPT, DiskFault.Kind.FOREIGN), faultKinds());
        assertEquals(2, countFound(1, 4));
        assertTrue(files.files.containsKey("notes.txt"));
        assertTrue(files.files.containsKey("content-00000000000000ff.seg.aside"));
        assertFalse(files.files.containsKey("content-00000000000000fe.seg.part"));
        for (int i = 0; i < 10; i++) {
            files.files.put(String.format("content-00000000000001%02x.seg", i), new byte[] {1});
        }
        disk = open();
        assertEquals(
                Recovery.MAX_QUARANTINED,
                files.files.keySet().stream().filter(n -> n.endsWith(".aside")).count());
    }

    @Test
    void compactsManySmallSegments() {
        for (int n = 0; n < 300; n++) {
            disk.put(SampleResults.result(n, WALL_MS, 1, 2), 0, WALL_MS);
            disk.flush(0, WALL_MS);
        }
        assertTrue(disk.segmentCount() <= SETTINGS.maxFiles(), disk.segmentCount() + " segments");
        assertEquals(300, disk.entryCount());
        assertEquals(300, open().entryCount());
    }

    @Test
    void boundsNumberOfEntries() {
        for (int n = 0; n < 3000; n++) {
            disk.put(SampleResults.result(n, WALL_MS, n, 0), 0, WALL_MS);
        }
        disk.flush(0, WALL_MS);
        assertTrue(disk.entryCount() <= SETTINGS.maxEntries(), disk.entryCount() + " entries");
        assertTrue(DiskTier.open(files, new DiskSettings(100_000, 10_000, 100, 64, 0), WALL_MS)
                        .entryCount()
                <= 100);
    }
}
