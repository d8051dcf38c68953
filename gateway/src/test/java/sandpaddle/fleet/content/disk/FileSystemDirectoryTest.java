package sandpaddle.fleet.content.disk;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import sandpaddle.fleet.content.SampleResults;

class FileSystemDirectoryTest {
    private static final DiskSettings SETTINGS = new DiskSettings(1 << 20, 10_000, 1000, 64, 0);

    @TempDir
    Path temp;

    @Test
    void diskTierRecoversAfterItsDirectoryWasDeleted() throws IOException {
        Path dir = temp.resolve("content");
        FileSystemDirectory files = new FileSystemDirectory(dir);
        DiskTier disk = DiskTier.open(files, SETTINGS, 1);
        for (int n = 0; n < 20; n++) {
            disk.put(SampleResults.result(n, 1, n, 50), 0, 1);
        }
        assertTrue(disk.flush(0, 1));
        DiskTier reopened = DiskTier.open(files, SETTINGS, 1);
        assertTrue(reopened.get(SampleResults.key(3).id()).isPresent());
        assertEquals(List.of(), reopened.faults());
        for (String name : files.list(100)) {
            assertEquals(0, files.read(name, files.size(name), 10).length);
            files.delete(name);
        }
        java.nio.file.Files.delete(dir);
        assertTrue(reopened.get(SampleResults.key(3).id()).isEmpty());
        reopened.put(SampleResults.result(50, 1, 1, 50), 0, 1);
        assertTrue(reopened.flush(0, 1));
        assertTrue(reopened.get(SampleResults.key(50).id()).isPresent());
    }
}
