package sandpaddle.fleet.store.mv;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import sandpaddle.fleet.store.RecoveredState;
import sandpaddle.fleet.store.VoterIdentity;
import sandpaddle.fleet.store.disk.DiskFile;
import sandpaddle.fleet.store.disk.SimulatedDisk;
import sandpaddle.recorded.RecordedFile;

/**
 * Compatibility with the files of an earlier version: they can be read, and header and flush mark are written byte for
 * byte. The MVStore file contains the time of its creation, so it is compared by its content.
 */
class RecordedStoreTest {
    private static final RecordedFile RECORD = new RecordedFile("voter-directory.txt");
    private static final VoterIdentity ID = new VoterIdentity("c", "m", "m#1");
    private static final String CONTENT_FILE = "voter-1.mv";

    private static MvVoterStore open(SimulatedDisk disk) throws Exception {
        return MvVoterStore.open(disk, "c", "m", PowerLossTest.SMALL_STORE, () -> 0);
    }

    private static Map<String, byte[]> writtenFiles() throws Exception {
        SimulatedDisk disk = new SimulatedDisk();
        try (MvVoterStore store = open(disk)) {
            store.setIdentity(ID);
            store.setTerm(7, "x#1");
            for (int i = 1; i <= 5; i++) {
                store.append(i, 7, new byte[] {(byte) i, 2, 3});
            }
            store.snapshotChunk(2, 6, 0, 1, new byte[] {9, 8, 7});
            store.flush();
            store.put("a", new byte[] {1, 2});
        }
        Map<String, byte[]> files = new LinkedHashMap<>();
        for (String name : List.of(HeaderFile.NAME, FlushMark.NAME, CONTENT_FILE)) {
            files.put(name, disk.bytes(name));
        }
        return files;
    }

    @Test
    void headerAndFlushMarkAreWrittenAsRecorded() throws Exception {
        Map<String, byte[]> files = writtenFiles();
        if (RECORD.isRecording()) {
            RECORD.checkBytes(files);
        }
        Map<String, byte[]> recorded = RECORD.bytes();
        for (String name : List.of(HeaderFile.NAME, FlushMark.NAME)) {
            assertArrayEquals(recorded.get(name), files.get(name), name);
        }
    }

    @Test
    void aRecordedDirectoryIsRecovered() throws Exception {
        SimulatedDisk disk = new SimulatedDisk();
        for (Map.Entry<String, byte[]> recorded : RECORD.bytes().entrySet()) {
            try (DiskFile file = disk.open(recorded.getKey())) {
                file.write(0, ByteBuffer.wrap(recorded.getValue()));
                file.force();
            }
        }
        disk.force();
        try (MvVoterStore store = open(disk)) {
            RecoveredState recovered = store.recover();
            assertTrue(recovered.isTrusted(), () -> recovered.faults().toString());
            assertEquals(Optional.of(ID), recovered.identity());
            assertEquals(7, recovered.term());
            assertEquals("x#1", recovered.vote().orElseThrow());
            assertEquals(2, recovered.snapshot().orElseThrow().index());
            assertArrayEquals(
                    new byte[] {9, 8, 7},
                    recovered.snapshot().orElseThrow().chunks().get(0));
            assertEquals(
                    List.of(3L, 4L, 5L),
                    recovered.entries().stream().map(entry -> entry.index()).toList());
            assertArrayEquals(new byte[] {4, 2, 3}, recovered.entries().get(1).data());
            assertArrayEquals(new byte[] {1, 2}, store.get("a").orElseThrow());
        }
    }
}
