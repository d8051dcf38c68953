package sandpaddle.lab.scale;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Checks whether this machine has the resources that a scale run needs. */
final class MachineLimits {
    /** Memory of the process of one control machine: its heap and the native memory of the JVM. */
    static final int CONTROL_MACHINE_MB = ControlMachine.HEAP_MB + 130;
    /** Base memory of a process of simulated gateways, without the gateways. */
    static final int HOST_MB = 140;
    /** Memory of one simulated gateway, including its threads. */
    static final int GATEWAY_MB = 3;

    private static final int CONTROLLER_MB = 200;
    private static final int MAX_MEMORY_MB = 12_000;
    private static final int MAX_PROCESSES = 300;
    private static final int DESCRIPTORS_PER_PROCESS = 200; // without its links
    private static final int DESCRIPTORS_PER_GATEWAY = 6; // listener, selector and a reserve
    private static final int THREADS_PER_GATEWAY = 2;
    private static final int THREADS_PER_PROCESS = 30;

    /** Resources of a machine: available memory, and the limits of one process or user. */
    record Available(long memoryMb, long descriptors, long threads) {
        /** Reads the resources of this machine from {@code /proc}. */
        static Available onThisMachine() throws IOException {
            return new Available(kilobytes("MemAvailable") / 1024, limit("Max open files"), limit("Max processes"));
        }

        private static long kilobytes(String name) throws IOException {
            Matcher matcher = Pattern.compile("(?m)^" + name + ":\\s+(\\d+) kB")
                    .matcher(Files.readString(Path.of("/proc/meminfo")));
            return matcher.find() ? Long.parseLong(matcher.group(1)) : 0;
        }

        /** Reads a hard limit; the JVM raises its soft limit on descriptors to it at startup. */
        private static long limit(String name) throws IOException {
            Matcher matcher = Pattern.compile("(?m)^" + name + "\\s+\\S+\\s+(\\S+)")
                    .matcher(Files.readString(Path.of("/proc/self/limits")));
            return !matcher.find()
                    ? 0
                    : matcher.group(1).equals("unlimited") ? Long.MAX_VALUE : Long.parseLong(matcher.group(1));
        }
    }

    private MachineLimits() {}

    /** The memory in megabytes that a run of this size needs. */
    static long memoryMb(ScalePlan.Size size, int hosts) {
        return CONTROLLER_MB
                + (long) size.controlMachines() * CONTROL_MACHINE_MB
                + (long) hosts * HOST_MB
                + (long) size.gateways() * GATEWAY_MB;
    }

    /** One message for each resource that the machine has too little of. */
    static List<String> faults(ScalePlan.Size size, int hosts, int gatewaysPerHost, Available available) {
        List<String> faults = new ArrayList<>();
        require(faults, "MB of memory", memoryMb(size, hosts), Math.min(MAX_MEMORY_MB, available.memoryMb));
        long hostDescriptors =
                DESCRIPTORS_PER_PROCESS + (long) gatewaysPerHost * (DESCRIPTORS_PER_GATEWAY + size.controlMachines());
        long controlMachineDescriptors = DESCRIPTORS_PER_PROCESS + (long) size.gateways() + size.controlMachines();
        require(
                faults,
                "descriptors in one process",
                Math.max(hostDescriptors, controlMachineDescriptors),
                available.descriptors);
        require(faults, "processes", hosts + size.controlMachines() + 1L, MAX_PROCESSES);
        require(
                faults,
                "threads",
                (long) size.gateways() * THREADS_PER_GATEWAY
                        + (hosts + size.controlMachines() + 1L) * THREADS_PER_PROCESS,
                available.threads);
        return faults;
    }

    private static void require(List<String> faults, String resource, long needed, long available) {
        if (needed > available) {
            faults.add(needed + " " + resource + " needed, " + available + " available");
        }
    }
}
