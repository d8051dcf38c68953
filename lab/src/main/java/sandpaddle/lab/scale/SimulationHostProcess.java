package sandpaddle.lab.scale;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/** Handle of the controller on a {@link SimulationHost} process: sends commands and collects replies. */
final class SimulationHostProcess {
    private static final int BASE_HEAP_MB = 64;
    private static final int HEAP_MB_PER_GATEWAY = 2;
    private static final long SHUTDOWN_TIMEOUT_SECONDS = 8;

    private final Process process;
    private final SimulationHostPlan plan;
    private final PrintStream commands;
    private final Set<String> replies = ConcurrentHashMap.newKeySet();
    private volatile long leased;

    private SimulationHostProcess(Process process, SimulationHostPlan plan) {
        this.process = process;
        this.plan = plan;
        commands = new PrintStream(process.getOutputStream(), true, StandardCharsets.UTF_8);
        Thread reader = new Thread(this::readReplies, "simulation host replies");
        reader.setDaemon(true);
        reader.start();
    }

    /**
     * Starts the process with the class path of this one; its log is written next to the plan file. A sampled process
     * runs with the JVM flags of a production gateway; any other uses all compiler tiers, so that more gateways fit on
     * the machine.
     */
    static SimulationHostProcess start(SimulationHostPlan plan, Path planFile) throws IOException {
        plan.write(planFile);
        int heapMb = BASE_HEAP_MB + HEAP_MB_PER_GATEWAY * plan.names().size();
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:+UseSerialGC",
                "-Xmx" + heapMb + "m",
                "-Xss256k",
                "-XX:+ExitOnOutOfMemoryError"));
        if (plan.sampled()) {
            command.add("-XX:TieredStopAtLevel=1");
        }
        command.addAll(List.of("-cp", classPath(), SimulationHost.class.getName(), planFile.toString()));
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.redirectError(
                planFile.resolveSibling(planFile.getFileName() + ".log").toFile());
        return new SimulationHostProcess(builder.start(), plan);
    }

    private static String classPath() {
        return System.getProperty("surefire.test.class.path", System.getProperty("java.class.path"));
    }

    private void readReplies() {
        try (BufferedReader in =
                new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8))) {
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                if (line.startsWith("leased ")) {
                    leased = Long.parseLong(line.substring("leased ".length()));
                } else {
                    replies.add(line);
                }
            }
        } catch (IOException e) {
            replies.add("ended: " + e.getMessage());
        }
    }

    SimulationHostPlan plan() {
        return plan;
    }

    long pid() {
        return process.pid();
    }

    /** The number of its gateways that hold a lease, as last reported. */
    long leased() {
        return leased;
    }

    boolean isAlive() {
        return process.isAlive();
    }

    void send(SimulationHostCommand.Kind kind, String argument) {
        commands.println(new SimulationHostCommand(kind, argument).line());
    }

    boolean hasReplied(String line) {
        return replies.contains(line);
    }

    /** Ends the process in an orderly way, so that its event file is complete; kills it after a timeout. */
    void shutDown() {
        send(SimulationHostCommand.Kind.END, "");
        try {
            if (!process.waitFor(SHUTDOWN_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
                process.destroyForcibly();
            }
        } catch (InterruptedException e) {
            process.destroyForcibly();
            Thread.currentThread().interrupt();
        }
    }

    /** Kills the process because the run is aborted. */
    void kill() {
        process.destroyForcibly();
    }
}
