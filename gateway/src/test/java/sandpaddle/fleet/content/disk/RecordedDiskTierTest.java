package sandpaddle.fleet.content.disk;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import sandpaddle.fleet.content.SampleResults;
import sandpaddle.fleet.content.serve.DataChanges;
import sandpaddle.recorded.RecordedFile;

/** Compares files of the disk tier with those recorded from an earlier version, and reads the recorded ones. */
class RecordedDiskTierTest {
    private static final RecordedFile RECORD = new RecordedFile("disk-tier.txt");

    @Test
    void writesFilesAsRecorded() {
        Map<String, byte[]> files = new LinkedHashMap<>();
        files.put(
                "segment",
                SegmentCodec.write(List.of(
                        EncodedEntry.of(SampleResults.result(1, 1000, 0.5, 3)),
                        EncodedEntry.of(SampleResults.result(2, 2000, 1.25, 1)))));
        FaultInjectingDirectory directory = new FaultInjectingDirectory();
        assertEquals(Optional.empty(), new SavedState(directory, "state").save(new byte[] {1, 2, 3}));
        files.put("state", directory.files.get("state"));
        DataChanges changes = new DataChanges(7, 1000);
        changes.recordLoad(5, 100, 1_700_000_000_000L);
        changes.recordLoad(-6, 200, 1_700_000_000_100L);
        changes.recordLoadOfUnknownGroups(300, 1_700_000_000_200L);
        files.put("changes", changes.export());
        RECORD.checkBytes(files);
    }

    @Test
    void readsRecordedFiles() throws Exception {
        Map<String, byte[]> recorded = RECORD.bytes();
        FaultInjectingDirectory directory = new FaultInjectingDirectory();
        directory.files.put("segment", recorded.get("segment"));
        directory.files.put("state", recorded.get("state"));
        SegmentCodec.Contents segment = SegmentCodec.read(directory, "segment", recorded.get("segment").length);
        assertEquals(
                List.of(SampleResults.key(1).id(), SampleResults.key(2).id()),
                segment.locations().stream().map(EntryLocation::id).toList());
        assertArrayEquals(
                new byte[] {1, 2, 3},
                new SavedState(directory, "state").load().state().orElseThrow());
        DataChanges changes = new DataChanges(8, 1000);
        changes.restore(recorded.get("changes"));
        assertArrayEquals(recorded.get("changes"), changes.export());
    }
}
