package sandpaddle.lab;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * A gateway of a fleet in its own process, with the faults of a machine: killed, suspended, resumed, full disk. Its log
 * is read through a pipe, so that the file size limit of a simulated full disk does not stop it.
 */
public final class FleetProcess {
    private static final List<String> FLAGS = List.of(
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-Xms48m",
            "-Xss512k",
            "-XX:MaxDirectMemorySize=16m",
            "-XX:+ExitOnOutOfMemoryError");
    private static final int DEFAULT_HEAP_MB = 128;
    private static final String MAIN = "sandpaddle.app.Main"; // used if a class path is given instead of the jar
    private static final long START_TIMEOUT_MS = 30_000;

    private final Process process;
    private final InetSocketAddress address;

    private FleetProcess(Process process, InetSocketAddress address) {
        this.process = process;
        this.address = address;
    }

    private static List<String> javaCommand(Path jar, int heapMb) {
        List<String> command = new ArrayList<>(
                List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString()));
        command.addAll(FLAGS);
        command.add("-Xmx" + heapMb + "m");
        command.addAll(
                jar.toString().endsWith(".jar")
                        ? List.of("-jar", jar.toString())
                        : List.of("-cp", jar.toString(), MAIN));
        return command;
    }

    /**
     * Formats the gateway's directory.
     *
     * @throws IOException if the command fails
     */
    public static void format(Path jar, Path operator, String name) throws IOException {
        List<String> command = javaCommand(jar, DEFAULT_HEAP_MB);
        command.addAll(List.of("fleet", "format", "--operator", operator.toString(), "--name", name));
        Process p = new ProcessBuilder(command).redirectErrorStream(true).start();
        String output = new String(p.getInputStream().readAllBytes());
        try {
            if (p.waitFor() != 0) {
                throw new IOException("fleet format failed: " + output);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    static FleetProcess start(Path jar, Path folder, String name, int port, Path config, Path operator)
            throws IOException {
        return start(jar, folder, name, port, config, operator, DEFAULT_HEAP_MB);
    }

    /**
     * Starts the gateway; its log goes to {@code NAME.log} in the folder.
     *
     * @param heapMb maximum heap
     */
    public static FleetProcess start(
            Path jar, Path folder, String name, int port, Path config, Path operator, int heapMb) throws IOException {
        List<String> command = javaCommand(jar, heapMb);
        command.addAll(List.of("serve", "--operator", operator.toString()));
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
        builder.environment().put("BALANCER_CONFIG", config.toString());
        Process process = builder.start();
        copyLog(process.getInputStream(), folder.resolve(name + ".log"));
        return new FleetProcess(process, Loopback.at(port));
    }

    private static void copyLog(InputStream from, Path log) {
        Thread t = new Thread(
                () -> {
                    try (OutputStream to =
                            Files.newOutputStream(log, StandardOpenOption.CREATE, StandardOpenOption.APPEND)) {
                        from.transferTo(to);
                    } catch (IOException e) {
                        // the process has exited and closed its pipe
                    }
                },
                "log " + log.getFileName());
        t.setDaemon(true);
        t.start();
    }

    /** Returns the address at which the gateway accepts clients. */
    public InetSocketAddress address() {
        return address;
    }

    /** Waits until the gateway accepts connections. */
    public void awaitUp() throws IOException {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(START_TIMEOUT_MS);
        while (true) {
            try (Socket s = new Socket()) {
                s.connect(address, 500);
                return;
            } catch (IOException e) {
                if (!process.isAlive() || System.nanoTime() > until) {
                    throw new IOException("the gateway at " + address + " does not accept connections; see its log", e);
                }
                sleep();
            }
        }
    }

    private static void sleep() {
        try {
            TimeUnit.MILLISECONDS.sleep(20);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    public boolean isAlive() {
        return process.isAlive();
    }

    /** Process ID. */
    public long pid() {
        return process.pid();
    }

    long cpuMs() {
        return process.info()
                .totalCpuDuration()
                .map(java.time.Duration::toMillis)
                .orElse(0L);
    }

    /** Kills the process, as if its machine lost power. */
    public void kill() {
        process.destroyForcibly();
        try {
            process.waitFor();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Suspends the process ({@code SIGSTOP}); its sockets stay open. */
    void suspend() throws IOException {
        signal("STOP");
    }

    void resume() throws IOException {
        signal("CONT");
    }

    /** Makes the gateway reload its files ({@code SIGHUP}). */
    void reloadConfiguration() throws IOException {
        signal("HUP");
    }

    private void signal(String name) throws IOException {
        run("kill", "-" + name, Long.toString(process.pid()));
    }

    /**
     * Limits the size of the files that the process writes, to simulate a full disk.
     *
     * @param bytes -1 for no limit
     */
    void limitFileSize(long bytes) throws IOException {
        run("prlimit", "--pid", Long.toString(process.pid()), "--fsize=" + (bytes < 0 ? "unlimited" : bytes) + ":");
    }

    private static void run(String... command) throws IOException {
        try {
            Process p = new ProcessBuilder(command).redirectErrorStream(true).start();
            String output = new String(p.getInputStream().readAllBytes());
            if (p.waitFor() != 0) {
                throw new IOException(String.join(" ", command) + ": " + output);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Shuts the gateway down in an orderly way. */
    public void end() {
        process.destroy();
        try {
            if (!process.waitFor(8, TimeUnit.SECONDS)) {
                process.destroyForcibly();
            }
        } catch (InterruptedException e) {
            process.destroyForcibly();
            Thread.currentThread().interrupt();
        }
    }
}
