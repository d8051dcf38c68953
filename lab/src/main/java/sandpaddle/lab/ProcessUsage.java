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

/** What Linux tells of a process that runs: its CPU time, resident memory and descriptors. */
public final class ProcessUsage {
    private static final Pattern RESIDENT = Pattern.compile("VmRSS:\\s+(\\d+) kB");
    private static final double KB_IN_MB = 1024.0;
    private static final double NS_IN_SECOND = 1e9;

    private final Path proc;

    /** Of the process with this id. */
    public ProcessUsage(long pid) {
        proc = Path.of("/proc", Long.toString(pid));
    }

    /** CPU time of each thread that runs now, by its id, in nanoseconds. */
    public record CpuTimes(Map<String, Long> byThread) {
        /** Before the process was started. */
        public static final CpuTimes NONE = new CpuTimes(Map.of());

        /** Seconds of CPU since an earlier look; what threads took that have ended by now is left out. */
        public double secondsSince(CpuTimes earlier) {
            long ns = 0;
            for (Map.Entry<String, Long> thread : byThread.entrySet()) {
                ns += thread.getValue() - earlier.byThread.getOrDefault(thread.getKey(), 0L);
            }
            return ns / NS_IN_SECOND;
        }
    }

    /** CPU time of its threads so far. */
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
            throw new IOException("no resident memory in " + proc.resolve("status"));
        }
        return Long.parseLong(m.group(1)) / KB_IN_MB;
    }

    /** Open descriptors. */
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
