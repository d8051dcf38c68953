package sandpaddle.fleet.store.mv;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import sandpaddle.fleet.store.RecoveredState;
import sandpaddle.fleet.store.StoreException;
import sandpaddle.fleet.store.StoreSettings;
import sandpaddle.fleet.store.StoredEntry;
import sandpaddle.fleet.store.VoterIdentity;
import sandpaddle.fleet.store.disk.NioDisk;

/** Kills a writing process with SIGKILL and checks that all entries it acknowledged are recovered. */
class ProcessKillTest {
    private static final int KILLS = 3;
    private static final int ENTRIES_PER_KILL = 40; // acknowledged before each kill, at least

    /** The process: appends entries after the recovered ones and prints each index once it is durable. */
    static final class Writer {
        private Writer() {}

        public static void main(String[] arguments) throws IOException {
            MvVoterStore store = open(Path.of(arguments[0]));
            store.setIdentity(new VoterIdentity("c", "m", "m#1"));
            for (long i = store.recover().lastIndex() + 1; i < 1_000_000; i++) {
                store.append(i, 1, entry(i));
                store.flush();
                System.out.println(i);
                System.out.flush();
            }
        }
    }

    private static MvVoterStore open(Path directory) throws StoreException {
        return MvVoterStore.open(
                new NioDisk(directory), "c", "m", StoreSettings.DEFAULTS, () -> System.nanoTime() / 1000);
    }

    private static byte[] entry(long index) {
        byte[] entry = new byte[(int) (index * 37 % 900) + 1];
        entry[0] = (byte) index;
        return entry;
    }

    @Test
    void acknowledgedEntriesSurviveAKill(@TempDir Path directory) throws Exception {
        long acknowledged = 0;
        for (int kill = 1; kill <= KILLS; kill++) {
            long last = writeUntilKilled(directory);
            assertTrue(last >= acknowledged + ENTRIES_PER_KILL, "last index " + last + " after " + acknowledged);
            acknowledged = last;
            try (MvVoterStore store = open(directory)) {
                RecoveredState recovered = store.recover();
                assertTrue(recovered.isTrusted(), recovered.faults() + " " + store.state());
                assertTrue(
                        recovered.lastIndex() >= acknowledged,
                        "recovered up to " + recovered.lastIndex() + ", acknowledged " + acknowledged);
                assertEquals(2L * kill, recovered.generation());
                for (StoredEntry stored : recovered.entries()) {
                    assertEquals((byte) stored.index(), stored.data()[0]);
                    assertEquals(entry(stored.index()).length, stored.data().length);
                }
            }
        }
    }

    private static long writeUntilKilled(Path directory) throws IOException, InterruptedException {
        Process process = new ProcessBuilder(List.of(
                        ProcessHandle.current().info().command().orElse("java"),
                        "-Xmx64m",
                        "-cp",
                        System.getProperty("java.class.path"),
                        Writer.class.getName(),
                        directory.toString()))
                .redirectError(ProcessBuilder.Redirect.INHERIT)
                .start();
        long last = 0;
        try (BufferedReader lines = process.inputReader()) {
            for (int i = 0; i < ENTRIES_PER_KILL; i++) {
                last = Long.parseLong(lines.readLine());
            }
            process.toHandle().destroyForcibly(); // destroyForcibly of Process would close the stream
            for (String line = lines.readLine(); line != null && !line.isEmpty(); line = lines.readLine()) {
                last = Math.max(last, Long.parseLong(line)); // printed before the signal was delivered
            }
        }
        assertTrue(process.waitFor(10, TimeUnit.SECONDS));
        return last;
    }
}
