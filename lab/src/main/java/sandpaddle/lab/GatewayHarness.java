package sandpaddle.lab;

import java.io.Closeable;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.BooleanSupplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import sandpaddle.eventloop.EventLoop;
import sandpaddle.eventloop.MonotonicTimeSource;

/**
 * One real gateway process with stand-in engines, a control feed and client sessions around it, for measurements of the
 * request path. A few stand-in servers answer for all listed engines. One thread drives everything except the gateway.
 */
public final class GatewayHarness implements Closeable {
    /** How the gateway gets its endpoint list: in its configuration, or from the feed after the start. */
    public enum ListFrom {
        CONFIGURATION,
        FEED
    }

    /** A statement with its request class and client timeout. */
    public enum Statement {
        SHORT("lookup", Duration.ofSeconds(7), 1_000),
        LONG("report", Duration.ofSeconds(25), 600_000_000);

        private final String route;
        private final Duration timeout;
        private final long workUs;

        Statement(String route, Duration timeout, long workUs) {
            this.route = route;
            this.timeout = timeout;
            this.workUs = workUs;
        }
    }

    /**
     * Parameters of a measurement.
     *
     * @param engines listed engines
     * @param servers stand-ins that answer for all engines
     * @param sockets descriptor limit of the gateway
     */
    public record Setup(Path jar, int engines, int servers, int sockets, ListFrom listFrom) {}

    private static final Duration TURN_WAIT = Duration.ofMillis(5);
    private static final Duration STEP_TIMEOUT = Duration.ofSeconds(30); // of one step, allowing for a loaded machine
    // sessions being opened at one time: fewer than the accept queue holds
    private static final int MAX_OPENING_SESSIONS = 128;
    private static final int MB_BITS = 20;
    private static final String FIRST_COMMAND = "SELECT 1";
    private static final Pattern LIVE_HEAP_TOTAL = Pattern.compile("Total\\s+\\d+\\s+(\\d+)");

    private static final double NS_PER_SECOND = 1e9;
    private static final double NS_PER_MS = 1e6;
    private static final double US_PER_MS = 1000.0;

    private final EventLoop loop = new EventLoop(MonotonicTimeSource.startingAt(Instant.now()));
    private final ClientStatistics statistics = new ClientStatistics();
    private final Events events = new Events(null);
    private final List<StandInEngine> servers = new ArrayList<>();
    private final List<ClientSession> sessions = new ArrayList<>();
    private final ArrayDeque<ClientSession> idle = new ArrayDeque<>();
    private final StandInFeed feed;
    private final GatewayProcess gateway;
    private final Path folder = Files.createTempDirectory("sandpaddle-path");
    private final long startedNs;
    private long statements;
    private int opening;
    private int open;
    private int served;
    private int failed;
    private String lastError = "none";

    /** Starts the stand-ins and the gateway; {@link #awaitListening} waits for it. */
    public GatewayHarness(Setup setup) throws IOException {
        feed = new StandInFeed(loop, events, statistics);
        for (int i = 0; i < setup.servers; i++) {
            servers.add(new StandInEngine(
                    loop, events, statistics, "server-" + i, 0, EngineModel.Spec.standard(), 0, () -> {}));
        }
        List<InetSocketAddress> addresses =
                servers.stream().map(StandInEngine::address).toList();
        String snapshotJson = feed.snapshotJson();
        feed.publishAll(setup.engines, i -> addresses.get(i % addresses.size()));
        snapshotJson = setup.listFrom == ListFrom.FEED ? snapshotJson : feed.snapshotJson();
        int port = GatewayProcess.freePort();
        String config = LabDeployment.config(
                        "n0", 0, 1, port, feed.address(), snapshotJson, 1, EngineModel.Spec.standard())
                .replace("\"sockets\":" + LabDeployment.SOCKETS, "\"sockets\":" + setup.sockets);
        startedNs = System.nanoTime();
        gateway = GatewayProcess.start(setup.jar, folder, "n0", port, config, null, false);
    }

    /** Milliseconds since the gateway process was started. */
    public double sinceStartMs() {
        return (System.nanoTime() - startedNs) / NS_PER_MS;
    }

    /** Waits until the gateway accepts connections. */
    public void awaitListening() throws IOException {
        gateway.awaitUp();
    }

    /** Waits until a statement is served, retrying until then. */
    public void awaitFirstServed() throws IOException {
        long until = System.nanoTime() + STEP_TIMEOUT.toNanos();
        int before = served;
        while (served == before) {
            if (open == 0) {
                ask(idle.isEmpty() ? newSession() : idle.poll(), Statement.SHORT);
            }
            loop.runTurn(() -> {}, TURN_WAIT);
            if (System.nanoTime() > until || !gateway.isAlive()) {
                throw new IOException("no statement served within " + STEP_TIMEOUT.toSeconds() + " s; " + faults());
            }
        }
    }

    /**
     * Opens sessions up to a count; each executes a command first, so that it may then stay idle.
     */
    public void connect(int count) throws IOException {
        await("opening of sessions", () -> {
            while (sessions.size() < count && opening < MAX_OPENING_SESSIONS) {
                firstCommand();
            }
            return opening == 0 && sessions.size() >= count;
        });
        if (idle.size() + open < count) {
            throw new IOException("of " + count + " sessions, " + (count - idle.size() - open) + " failed to open");
        }
    }

    private void firstCommand() {
        try {
            ClientSession session = newSession();
            opening++;
            session.send(
                    FIRST_COMMAND,
                    new CompletionListener(
                            () -> {
                                opening--;
                                idle.add(session);
                            },
                            () -> opening--));
        } catch (IOException e) {
            throw new UncheckedIOException("cannot open a session", e);
        }
    }

    private ClientSession newSession() throws IOException {
        ClientSession session = new ClientSession(loop, gateway.address());
        sessions.add(session);
        return session;
    }

    /** Keeps a number of long statements open from now on, including those already open. */
    public void open(int count) throws IOException {
        while (open < count) {
            ask(idle.remove(), Statement.LONG);
        }
        run(Duration.ofSeconds(1));
    }

    /** Sends short statements at a constant rate; returns the share that was served by the end. */
    public double ask(double perSecond, Duration lasting) throws IOException {
        long from = System.nanoTime();
        int before = served;
        long asked = 0;
        for (long at = 0; at < lasting.toNanos(); at = System.nanoTime() - from) {
            for (; asked < at * perSecond / NS_PER_SECOND && !idle.isEmpty(); asked++) {
                ask(idle.poll(), Statement.SHORT);
            }
            loop.runTurn(() -> {}, Duration.ofMillis(1));
        }
        double expected = lasting.toNanos() * perSecond / NS_PER_SECOND;
        return (served - before) / expected;
    }

    private void ask(ClientSession session, Statement statement) {
        open++;
        String trace = String.format(Locale.ROOT, "%016x", ++statements);
        String text = String.format(
                Locale.ROOT,
                "/* route=%s,trace=%s,patience=%d,weight=%.1f,est_mb=64 */ "
                        + "SELECT day, count(*) FROM sales_1.orders WHERE tag = 'request=r%d work=%d'",
                statement.route,
                trace,
                statement.timeout.toMillis(),
                statement.workUs / US_PER_MS,
                statements,
                statement.workUs);
        session.send(
                text,
                new CompletionListener(
                        () -> {
                            open--;
                            idle.add(session);
                        },
                        () -> open--));
    }

    /** Counts the outcome of a command, and returns its session if still open. */
    private final class CompletionListener implements ClientSession.ResponseListener {
        private final Runnable answered;
        private final Runnable cut;

        CompletionListener(Runnable answered, Runnable cut) {
            this.answered = answered;
            this.cut = cut;
        }

        @Override
        public void onRows(int rows) {
            served++;
            answered.run();
        }

        @Override
        public void onError(int code, String text) {
            failed++;
            lastError = code + " " + text;
            answered.run();
        }

        @Override
        public void onConnectionLost(boolean established) {
            failed++;
            cut.run();
        }
    }

    /** Drives the stand-ins for a period. */
    public void run(Duration lasting) throws IOException {
        long until = System.nanoTime() + lasting.toNanos();
        while (System.nanoTime() < until) {
            loop.runTurn(() -> {}, TURN_WAIT);
        }
    }

    private void await(String what, BooleanSupplier done) throws IOException {
        long until = System.nanoTime() + STEP_TIMEOUT.toNanos();
        while (!done.getAsBoolean()) {
            if (System.nanoTime() > until || !gateway.isAlive()) {
                throw new IOException("timed out or gateway exited: " + what + "; the gateway is "
                        + (gateway.isAlive() ? "running" : "down"));
            }
            loop.runTurn(() -> {}, TURN_WAIT);
        }
    }

    /** Drives the stand-ins for a period and returns the CPU use of the gateway in cores. */
    public double cores(Duration lasting) throws IOException {
        ProcessUsage usage = usage();
        ProcessUsage.CpuTimes from = usage.cpuTimes();
        long fromNs = System.nanoTime();
        run(lasting);
        return usage.cpuTimes().secondsSince(from) / ((System.nanoTime() - fromNs) / NS_PER_SECOND);
    }

    /** Resource usage of the gateway process. */
    public ProcessUsage usage() {
        return new ProcessUsage(gateway.pid());
    }

    /** Live heap of the gateway after a full collection, in megabytes. */
    public double liveHeapMb() throws IOException {
        Path out = folder.resolve("histogram");
        Process jcmd = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "jcmd").toString(),
                        Long.toString(gateway.pid()),
                        "GC.class_histogram")
                .redirectErrorStream(true)
                .redirectOutput(out.toFile())
                .start();
        await("heap histogram", () -> !jcmd.isAlive());
        Matcher m = LIVE_HEAP_TOTAL.matcher(Files.readString(out, StandardCharsets.UTF_8));
        if (!m.find()) {
            throw new IOException("no total in the heap histogram of the gateway: jcmd exit code " + jcmd.exitValue());
        }
        return Long.parseLong(m.group(1)) / (double) (1 << MB_BITS);
    }

    /** Number of open statements. */
    public int openStatements() {
        return open;
    }

    /** Describes the number of failed commands and the last error. */
    public String faults() {
        return failed + " commands failed, the last with: " + lastError;
    }

    /** Health checks received by the engines so far. */
    public long probes() {
        return statistics.probes;
    }

    /** Connections open at the engines. */
    public long engineConnections() {
        return statistics.engineConnections;
    }

    @Override
    public void close() throws IOException {
        gateway.kill();
        sessions.forEach(ClientSession::close);
        servers.forEach(s -> s.kill("stopped"));
        feed.close();
        run(TURN_WAIT);
        FleetCommand.remove(folder);
    }
}
