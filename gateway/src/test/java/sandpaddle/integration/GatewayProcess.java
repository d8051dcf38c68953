package sandpaddle.integration;

import java.io.BufferedReader;
import java.io.File;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The gateway as a separate process, on the class path of the tests. Closing it kills the process. */
final class GatewayProcess implements AutoCloseable {
    private static final Pattern LISTENING_LINE = Pattern.compile("listens on /([0-9.]+):(\\d+)");

    private final Path folder = Files.createTempDirectory("gateway");
    private final Path configFile = folder.resolve("config.json");
    private final Process process;
    private final BlockingQueue<String> log = new LinkedBlockingQueue<>();
    private final List<String> consumedLines = new ArrayList<>();
    private InetSocketAddress address;

    /**
     * Starts the process and waits until it listens.
     *
     * @param config the configuration
     * @param ignoredSignal name of a signal that the process inherits as ignored, or empty
     * @param flags JVM flags
     */
    GatewayProcess(String config, String ignoredSignal, String... flags) throws IOException, InterruptedException {
        this(config, ignoredSignal, List.of(flags), List.of());
    }

    /** Starts the process with JVM flags and options of the command {@code serve}, and waits until it listens. */
    GatewayProcess(String config, String ignoredSignal, List<String> flags, List<String> options)
            throws IOException, InterruptedException {
        this(config, flags, options, ignoredSignal.isEmpty() ? "" : "trap '' " + ignoredSignal + "; ", Map.of());
    }

    /**
     * Starts the process.
     *
     * @param config the configuration; null for a named pipe in its place, without waiting until the process listens
     * @param flags JVM flags
     * @param options options of the command {@code serve}
     * @param shellPrefix shell commands that run before the JVM in the same process
     * @param environment further environment variables
     */
    private GatewayProcess(
            String config,
            List<String> flags,
            List<String> options,
            String shellPrefix,
            Map<String, String> environment)
            throws IOException, InterruptedException {
        if (config == null) {
            new ProcessBuilder("mkfifo", configFile.toString()).start().waitFor();
        } else {
            Files.writeString(configFile, config);
        }
        List<String> java = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1"));
        java.addAll(flags);
        java.addAll(List.of("-cp", System.getProperty("java.class.path"), "sandpaddle.app.Main", "serve"));
        java.addAll(options);
        List<String> command =
                new ArrayList<>(List.of("env", "--default-signal=HUP", "sh", "-c", shellPrefix + "exec \"$@\"", "sh"));
        command.addAll(java);
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
        builder.environment().put("BALANCER_CONFIG", configFile.toString());
        builder.environment().putAll(environment);
        process = builder.start();
        ScriptedEngine.daemon(this::readLog);
        if (config != null) {
            awaitListening();
        }
    }

    /** Starts a process that reads its configuration from a named pipe and blocks until {@link #writePipedConfig}. */
    static GatewayProcess startWithPipedConfig() throws IOException, InterruptedException {
        return new GatewayProcess(null, List.of(), List.of(), "", Map.of());
    }

    /** Starts a process whose wall clock the test sets, and waits until it listens. */
    static GatewayProcess startWithWallClock(String config, SteppedWallClock clock, String... options)
            throws IOException, InterruptedException {
        return new GatewayProcess(config, List.of(), List.of(options), "", clock.environment());
    }

    /**
     * Waits until the process has opened its configuration, runs an action while the process waits for the content,
     * then writes the content.
     */
    void writePipedConfig(String config, Action beforeWriting) throws IOException, InterruptedException {
        try (OutputStream pipe = CompletableFuture.supplyAsync(this::openPipe)
                .orTimeout(20, TimeUnit.SECONDS)
                .join()) {
            beforeWriting.run();
            pipe.write(config.getBytes(StandardCharsets.UTF_8));
        }
    }

    /** Opens the pipe for writing, which blocks until the process has opened it for reading. */
    private OutputStream openPipe() {
        try {
            return Files.newOutputStream(configFile);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Action of a test that may fail with an I/O error or be interrupted. */
    interface Action {
        void run() throws IOException, InterruptedException;
    }

    /** Waits until the process has logged its listening address. */
    void awaitListening() throws IOException, InterruptedException {
        Matcher m = LISTENING_LINE.matcher(awaitLogLine("Server: n0 listens on"));
        if (!m.find()) {
            throw new IOException("no listening address in the log line; log: " + consumedLines);
        }
        address = new InetSocketAddress(m.group(1), Integer.parseInt(m.group(2)));
    }

    private void readLog() {
        try (var in = new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8))) {
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                log.add(line);
            }
        } catch (IOException e) {
            // the process has ended
        }
    }

    /** Returns the next log line that contains a text; fails if no line is logged for 20 s. */
    String awaitLogLine(String text) throws InterruptedException {
        for (String line = log.poll(20, TimeUnit.SECONDS); line != null; line = log.poll(20, TimeUnit.SECONDS)) {
            consumedLines.add(line);
            if (line.contains(text)) {
                return line;
            }
        }
        throw new AssertionError("no log line contains '" + text + "'; log: " + consumedLines);
    }

    /** Returns whether a log line contains a text, up to and including the last line awaited. */
    boolean hasLogged(String text) {
        return consumedLines.stream().anyMatch(l -> l.contains(text));
    }

    /** Returns the address on which the process listens. */
    InetSocketAddress address() {
        return address;
    }

    long pid() {
        return process.pid();
    }

    boolean isAlive() {
        return process.isAlive();
    }

    /** Atomically replaces the configuration file; the process reads it on reload. */
    void replaceConfig(String config) throws IOException {
        Path next = folder.resolve("next.json");
        Files.writeString(next, config);
        Files.move(next, configFile, StandardCopyOption.ATOMIC_MOVE);
    }

    /** Sends a signal to the process. */
    void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid()))
                .start()
                .waitFor();
    }

    /** Returns the resident memory of the process in MB. */
    long residentMb() throws IOException {
        return Files.readAllLines(Path.of("/proc/" + process.pid() + "/status")).stream()
                .filter(l -> l.startsWith("VmRSS:"))
                .mapToLong(l -> Long.parseLong(l.replaceAll("\\D", "")) / 1024)
                .sum();
    }

    /** Returns the number of open file descriptors of the process, 0 after its end. */
    int openDescriptors() {
        String[] open = new File("/proc/" + process.pid() + "/fd").list();
        return open == null ? 0 : open.length;
    }

    /** Sets the limit of file descriptors (RLIMIT_NOFILE, soft and hard) of the process. */
    void limitDescriptors(int limit) throws IOException, InterruptedException {
        int code = new ProcessBuilder(
                        "prlimit", "--pid", Long.toString(process.pid()), "--nofile=" + limit + ":" + limit)
                .inheritIO()
                .start()
                .waitFor();
        if (code != 0) {
            throw new IOException("prlimit failed with exit code " + code);
        }
    }

    /** Sends SIGTERM, waits up to 10 s for the end of the process and returns its exit code. */
    int terminate() throws InterruptedException {
        process.destroy();
        if (!process.waitFor(10, TimeUnit.SECONDS)) {
            throw new AssertionError("process did not end within 10 s after SIGTERM");
        }
        return process.exitValue();
    }

    @Override
    public void close() throws IOException, InterruptedException {
        process.destroyForcibly().waitFor();
        Files.deleteIfExists(configFile);
        Files.deleteIfExists(folder);
    }
}
