package sandpaddle.lab;

import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Resource usage of a running process from the Linux {@code /proc} file system: CPU time, resident memory and
 * descriptors.
 */
public final class ProcessUsage {
    private static final Pattern RESIDENT = Pattern.compile("VmRSS:\\s+(\\d+) kB");
    private static final double KB_PER_MB = 1024.0;
    private static final double NS_PER_SECOND = 1e9;

    private final Path proc;

    /** Reads the process with this ID. */
    public ProcessUsage(long pid) {
        proc = Path.of("/proc", Long.toString(pid));
    }

    /** CPU time in nanoseconds of each live thread, by thread ID. */
    public record CpuTimes(Map<String, Long> byThread) {
        /** The state before the process was started. */
        public static final CpuTimes NONE = new CpuTimes(Map.of());

        /** Returns the CPU time in seconds since an earlier sample; excludes threads that have ended meanwhile. */
        public double secondsSince(CpuTimes earlier) {
            long ns = 0;
            for (Map.Entry<String, Long> thread : byThread.entrySet()) {
                ns += thread.getValue() - earlier.byThread.getOrDefault(thread.getKey(), 0L);
            }
            return ns / NS_PER_SECOND;
        }
    }

    /** Samples the CPU time of all threads. */
    public CpuTimes cpuTimes() throws IOException {
        Map<String, Long> times = new HashMap<>();
        try (DirectoryStream<Path> threads = Files.newDirectoryStream(proc.resolve("task"))) {
            for (Path thread : threads) {
                times.put(thread.getFileName().toString(), cpuNs(thread.resolve("schedstat")));
            }
        }
        return new CpuTimes(times);
    }

    private static long cpuNs(Path file) throws IOException {
        try {
            return Long.parseLong(Files.readString(file).split(" ")[0]);
        } catch (NoSuchFileException e) {
            return 0; // the thread ended meanwhile
        }
    }

    /** Resident memory in megabytes. */
    public double residentMb() throws IOException {
        Matcher m = RESIDENT.matcher(Files.readString(proc.resolve("status")));
        if (!m.find()) {
            throw new IOException("no VmRSS line in " + proc.resolve("status"));
        }
        return Long.parseLong(m.group(1)) / KB_PER_MB;
    }

    /** Number of open descriptors. */
    public int descriptors() throws IOException {
        int count = 0;
        try (DirectoryStream<Path> open = Files.newDirectoryStream(proc.resolve("fd"))) {
            for (Path ignored : open) {
                count++;
            }
        }
        return count;
    }
}
