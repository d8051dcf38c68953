package sandpaddle.lab.scale;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import sandpaddle.lab.ProcessUsage;

/**
 * Cumulative resource use of a process at one moment, as counted by the operating system.
 *
 * @param atNs time of the sample on the {@link System#nanoTime} clock
 * @param cpuSeconds CPU time by thread name; threads with the same name are added up, and ended threads are not counted
 * @param allCpuSeconds CPU time of the process, including threads that have ended
 * @param diskBytes bytes written to the disk
 */
record ProcessSample(
        long atNs,
        Map<String, Double> cpuSeconds,
        double allCpuSeconds,
        long diskBytes,
        long descriptors,
        double residentMb,
        Map<String, SocketBytes> sockets) {
    private static final double TICKS_PER_SECOND = 100; // USER_HZ of all Linux platforms that Java supports
    private static final int USER_TIME = 11; // index in the fields of /proc/PID/stat after the name
    private static final int SYSTEM_TIME = 12;
    /** Which fields of the first line of /proc/stat are busy time: all but idle and waiting for I/O. */
    private static final boolean[] BUSY_CPU_FIELDS = {true, true, true, false, false, true, true};

    /** Bytes received and sent on one connection, as counted by the kernel. */
    record SocketBytes(long in, long out) {}

    /** Samples a process; empty if it is not running. */
    static Optional<ProcessSample> of(long pid, Map<String, SocketBytes> sockets) {
        Path proc = Path.of("/proc", Long.toString(pid));
        ProcessUsage usage = new ProcessUsage(pid);
        try {
            return Optional.of(new ProcessSample(
                    System.nanoTime(),
                    cpuSecondsByThread(proc.resolve("task")),
                    cpuSeconds(proc.resolve("stat")),
                    number(proc.resolve("io"), "write_bytes"),
                    usage.descriptors(),
                    usage.residentMb(),
                    sockets));
        } catch (IOException e) {
            return Optional.empty();
        }
    }

    private static Map<String, Double> cpuSecondsByThread(Path taskDirectory) throws IOException {
        Map<String, Double> seconds = new TreeMap<>();
        try (Stream<Path> entries = Files.list(taskDirectory)) {
            for (Path task : (Iterable<Path>) entries::iterator) {
                try {
                    String name = Files.readString(task.resolve("comm")).strip();
                    seconds.merge(name, cpuSeconds(task.resolve("stat")), Double::sum);
                } catch (IOException e) {
                    continue; // the thread has ended since the directory was listed
                }
            }
        }
        return seconds;
    }

    private static double cpuSeconds(Path stat) throws IOException {
        String line = Files.readString(stat);
        List<String> fields = List.of(line.substring(line.lastIndexOf(')') + 2).split(" "));
        return (Long.parseLong(fields.get(USER_TIME)) + Long.parseLong(fields.get(SYSTEM_TIME))) / TICKS_PER_SECOND;
    }

    /** CPU time of all processes of this machine since its start. */
    static double machineCpuSeconds() throws IOException {
        String all = Files.readAllLines(Path.of("/proc/stat")).get(0);
        List<String> fields = List.of(all.split("\\s+")); // cpu, user, nice, system, idle, waiting, interrupts, ...
        long ticks = 0;
        for (int i = 1; i <= BUSY_CPU_FIELDS.length; i++) {
            ticks += BUSY_CPU_FIELDS[i - 1] ? Long.parseLong(fields.get(i)) : 0;
        }
        return ticks / TICKS_PER_SECOND;
    }

    private static long number(Path file, String key) throws IOException {
        Matcher matcher = Pattern.compile("(?m)^" + key + ":\\s+(\\d+)").matcher(Files.readString(file));
        if (!matcher.find()) {
            throw new IOException(file + " has no " + key);
        }
        return Long.parseLong(matcher.group(1));
    }

    /** The resource use between this sample and a later one, per second. */
    Rates ratesUntil(ProcessSample later) {
        double seconds = (later.atNs - atNs) / 1e9;
        Map<String, Double> threads = new TreeMap<>();
        later.cpuSeconds.forEach((name, s) ->
                threads.put(name, Math.max(0, s - cpuSeconds.getOrDefault(name, 0.0)) / seconds));
        long in = 0;
        long out = 0;
        for (Map.Entry<String, SocketBytes> s : later.sockets.entrySet()) {
            SocketBytes before = sockets.getOrDefault(s.getKey(), new SocketBytes(0, 0));
            in += s.getValue().in - before.in;
            out += s.getValue().out - before.out;
        }
        return new Rates(
                threads,
                (later.allCpuSeconds - allCpuSeconds) / seconds,
                (later.diskBytes - diskBytes) / seconds,
                later.descriptors,
                later.residentMb,
                in / seconds,
                out / seconds);
    }

    /**
     * Resource use per second between two samples.
     *
     * @param descriptors open descriptors at the later sample
     * @param residentMb resident memory at the later sample
     * @param bytesInPerSecond bytes received on connections that were open at the later sample
     * @param bytesOutPerSecond bytes sent on connections that were open at the later sample
     */
    record Rates(
            Map<String, Double> cpuByThread,
            double cpuCores,
            double diskBytesPerSecond,
            long descriptors,
            double residentMb,
            double bytesInPerSecond,
            double bytesOutPerSecond) {}
}
