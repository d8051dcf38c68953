package sandpaddle.lab;

import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** A real gateway in its own process, from the built jar, with the JVM flags of the deployment. */
public final class GatewayProcess {
    private static final List<String> FLAGS = List.of(
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-Xms48m",
            "-Xmx88m",
            "-Xss512k",
            "-XX:MaxDirectMemorySize=8m",
            "-XX:+ExitOnOutOfMemoryError");
    // below the ephemeral port range: a proxy was once assigned a gateway's port
    private static final int FIRST_PORT = 20_000;
    private static final int PORTS = 8_000;
    private static final AtomicInteger NEXT_PORT_OFFSET = new AtomicInteger();
    private static final long START_TIMEOUT_MS = 15_000;

    private final Process process;
    private final InetSocketAddress address;

    private GatewayProcess(Process process, InetSocketAddress address) {
        this.process = process;
        this.address = address;
    }

    /** Returns a port that was free a moment ago. */
    public static int freePort() throws IOException {
        for (int attempts = 0; attempts < PORTS; attempts++) {
            int port = FIRST_PORT + NEXT_PORT_OFFSET.getAndIncrement() % PORTS;
            try (ServerSocket s = new ServerSocket(port, 1, InetAddress.getByName(Loopback.HOST))) {
                return s.getLocalPort();
            } catch (java.net.BindException e) {
                continue; // in use by another process
            }
        }
        throw new IOException("no port is free from " + FIRST_PORT + " on");
    }

    /**
     * Starts a gateway; its log goes to {@code NAME.log} in the folder.
     *
     * @param operator operator's file; may be null
     * @param inherit whether the log goes to this process's output instead
     */
    static GatewayProcess start(
            Path jar, Path folder, String name, int port, String config, Path operator, boolean inherit)
            throws IOException {
        Path file = folder.resolve(name + ".json");
        Files.writeString(file, config);
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(FLAGS);
        command.addAll(List.of("-jar", jar.toString(), "serve"));
        if (operator != null) {
            command.addAll(List.of("--operator", operator.toString()));
        }
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
        builder.environment().put("BALANCER_CONFIG", file.toString());
        File log = folder.resolve(name + ".log").toFile();
        builder.redirectOutput(inherit ? ProcessBuilder.Redirect.INHERIT : ProcessBuilder.Redirect.appendTo(log));
        return new GatewayProcess(builder.start(), Loopback.at(port));
    }

    InetSocketAddress address() {
        return address;
    }

    /** Waits until the gateway accepts connections. */
    void awaitUp() throws IOException {
        awaitUp(Loopback.HOST);
    }

    /** Waits until the gateway accepts connections at another loopback address. */
    void awaitUp(String host) throws IOException {
        InetSocketAddress listening = new InetSocketAddress(host, address.getPort());
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(START_TIMEOUT_MS);
        while (true) {
            try (Socket s = new Socket()) {
                s.connect(listening, 500);
                return;
            } catch (IOException e) {
                if (!process.isAlive() || System.nanoTime() > until) {
                    throw new IOException(
                            "the gateway at " + listening + " does not accept connections; see its log", e);
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

    boolean isAlive() {
        return process.isAlive();
    }

    long pid() {
        return process.pid();
    }

    /** CPU time used so far (ms). */
    long cpuMs() {
        return process.info()
                .totalCpuDuration()
                .map(java.time.Duration::toMillis)
                .orElse(0L);
    }

    /** Kills the process, as if its machine lost power. */
    void kill() {
        process.destroyForcibly();
    }

    /** Shuts the gateway down in an orderly way. */
    void end() {
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
