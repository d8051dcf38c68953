package sandpaddle.lab.capacity;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import sandpaddle.config.InvalidFieldException;
import sandpaddle.lab.DecisionCost;
import sandpaddle.lab.GatewayHarness;
import sandpaddle.lab.GatewayHarness.ListFrom;
import sandpaddle.lab.GatewayHarness.Setup;
import sandpaddle.lab.ProcessUsage.CpuTimes;

/** The subcommand {@code path}: measures the request path of one gateway, with one subcommand per measurement. */
@Command(
        name = "path",
        mixinStandardHelpOptions = true,
        description =
                "Measures the request path of one gateway at several sizes; writes a file per point for 'capacity'.",
        footerHeading = "%nExamples:%n",
        footer = {
            "  path choice --code 6890bf0 --engines 100,1000,8500",
            "  path resting --code 6890bf0 --connections 500,2000,8302 --out /tmp/trial"
        },
        subcommands = {
            PathCommand.Choice.class,
            PathCommand.Resting.class,
            PathCommand.Open.class,
            PathCommand.Active.class,
            PathCommand.Start.class,
            PathCommand.EngineTraffic.class
        })
public final class PathCommand implements Callable<Integer> {
    private static final String MB = "MB";
    private static final String CORES = "cores";
    private static final String MS = "ms";
    private static final String COUNT = "count";
    private static final double MS_PER_SECOND = 1000;
    private static final int SIMULATED_ENGINES = 8;
    private static final int ENGINE_CONCURRENCY = 64; // statements that a simulated engine runs concurrently
    private static final int SOCKETS = 1024;
    private static final int SPARE_SOCKETS = 200;
    private static final int SOCKETS_PER_SESSION = 3; // a gateway reserves a third of its descriptors for clients

    @Override
    public Integer call() {
        CommandLine.usage(this, System.out);
        return 2;
    }

    /** Options of all measurements. */
    static final class CommonOptions {
        @Option(
                names = "--code",
                required = true,
                paramLabel = "VERSION",
                description = "Version of the measured code: a commit or a release.")
        private String version;

        @Option(
                names = "--repeats",
                defaultValue = "5",
                paramLabel = "N",
                description = "Repeats per point (${DEFAULT-VALUE}).")
        private int repeats;

        @Option(
                names = "--out",
                defaultValue = "docs/measurements/capacity",
                paramLabel = "DIR",
                description = "Directory to write the points to (${DEFAULT-VALUE}).")
        private Path outputDirectory;

        @Option(
                names = "--gateway",
                paramLabel = "JAR",
                defaultValue = "gateway/target/sandpaddle.jar",
                description = "The gateway's jar (${DEFAULT-VALUE}).")
        private Path jar;
    }

    /** The repeated values of each point, by kind and size. */
    private static final class Points {
        private record Key(String kind, String axis, double size, String unit) {}

        private final Map<Key, List<Double>> values = new LinkedHashMap<>();

        void add(String kind, String axis, double size, String unit, double value) {
            values.computeIfAbsent(new Key(kind, axis, size, unit), key -> new ArrayList<>())
                    .add(value);
        }

        void write(CommonOptions common) throws IOException {
            for (Map.Entry<Key, List<Double>> entry : values.entrySet()) {
                Key key = entry.getKey();
                PathMeasurement point = PathMeasurement.of(
                        common.version, key.kind, Map.of(key.axis, key.size), key.unit, entry.getValue());
                point.write(common.outputDirectory);
                System.out.printf(
                        Locale.ROOT,
                        "%-24s %s %6.0f: %10.3f %s %s%n",
                        key.kind,
                        key.axis,
                        key.size,
                        point.value(),
                        key.unit,
                        entry.getValue());
            }
        }
    }

    /** Measures the CPU time of the decision module per statement, by number of engines. */
    @Command(
            name = "choice",
            mixinStandardHelpOptions = true,
            description = "CPU time of the decision module per statement, by number of engines.")
    static final class Choice implements Callable<Integer> {
        private static final int WARM_UP_REPEATS = 2;

        @Mixin
        private CommonOptions common;

        @Option(
                names = "--engines",
                split = ",",
                defaultValue = "100,1000,8500",
                paramLabel = "N",
                description = "Numbers of engines (${DEFAULT-VALUE}).")
        private List<Integer> engines;

        @Option(
                names = "--requests",
                defaultValue = "200",
                paramLabel = "N",
                description = "Statements per repeat (${DEFAULT-VALUE}).")
        private int requests;

        @Override
        public Integer call() throws IOException, InvalidFieldException {
            Points points = new Points();
            for (int count : engines) {
                for (int i = 0; i < WARM_UP_REPEATS + common.repeats; i++) {
                    double micros = new DecisionCost(count, 0).microsPerRequest(requests);
                    if (i >= WARM_UP_REPEATS) {
                        points.add("choice-cpu", "engines", count, "us", micros);
                    }
                }
            }
            points.write(common);
            return 0;
        }
    }

    /** Measures memory, CPU and descriptors with idle client sessions. Each repeat starts a new gateway. */
    @Command(
            name = "resting",
            mixinStandardHelpOptions = true,
            description = "Memory, CPU and descriptors with idle client sessions.")
    static final class Resting implements Callable<Integer> {
        private static final Duration CPU_SAMPLE_PERIOD = Duration.ofMillis(1500);

        @Mixin
        private CommonOptions common;

        @Option(
                names = "--connections",
                split = ",",
                defaultValue = "500,2000,8302",
                paramLabel = "N",
                description = "Numbers of sessions, ascending (${DEFAULT-VALUE}).")
        private List<Integer> connections;

        @Override
        public Integer call() throws IOException {
            Points points = new Points();
            int maxCount = connections.get(connections.size() - 1);
            for (int i = 0; i < common.repeats; i++) {
                try (GatewayHarness harness = new GatewayHarness(new Setup(
                        common.jar,
                        SIMULATED_ENGINES,
                        SIMULATED_ENGINES,
                        SOCKETS_PER_SESSION * maxCount + SPARE_SOCKETS,
                        ListFrom.CONFIGURATION))) {
                    harness.awaitListening();
                    for (int count : connections) {
                        harness.connect(count);
                        points.add("resting-heap", "connections", count, MB, harness.liveHeapMb());
                        points.add("resting-cpu", "connections", count, CORES, harness.cores(CPU_SAMPLE_PERIOD));
                        points.add(
                                "resting-resident",
                                "connections",
                                count,
                                MB,
                                harness.usage().residentMb());
                        points.add(
                                "resting-descriptors",
                                "connections",
                                count,
                                COUNT,
                                harness.usage().descriptors());
                    }
                }
            }
            points.write(common);
            return 0;
        }
    }

    /** Measures memory and CPU with sessions that each have a pending statement. Each repeat starts a new gateway. */
    @Command(
            name = "open",
            mixinStandardHelpOptions = true,
            description = "Memory and CPU with client sessions that each have a pending statement.")
    static final class Open implements Callable<Integer> {
        private static final Duration CPU_SAMPLE_PERIOD = Duration.ofMillis(1500);

        @Mixin
        private CommonOptions common;

        @Option(
                names = "--statements",
                split = ",",
                defaultValue = "100,300,1000",
                paramLabel = "N",
                description = "Concurrent statements, ascending (${DEFAULT-VALUE}).")
        private List<Integer> statements;

        @Override
        public Integer call() throws IOException {
            Points points = new Points();
            int maxCount = statements.get(statements.size() - 1);
            int simulatedEngines = Math.max(SIMULATED_ENGINES, 2 * maxCount / ENGINE_CONCURRENCY);
            for (int i = 0; i < common.repeats; i++) {
                try (GatewayHarness harness = new GatewayHarness(new Setup(
                        common.jar,
                        simulatedEngines,
                        simulatedEngines,
                        2 * SOCKETS_PER_SESSION * maxCount + SPARE_SOCKETS,
                        ListFrom.CONFIGURATION))) {
                    harness.awaitListening();
                    harness.connect(maxCount);
                    for (int count : statements) {
                        measure(harness, count, points);
                    }
                }
            }
            points.write(common);
            return 0;
        }

        private static void measure(GatewayHarness harness, int count, Points points) throws IOException {
            harness.open(count);
            double heap = harness.liveHeapMb();
            double cores = harness.cores(CPU_SAMPLE_PERIOD);
            if (harness.openStatements() < count) {
                throw new IOException("only " + harness.openStatements() + " of " + count + " statements are open; "
                        + harness.faults());
            }
            points.add("open-heap", "connections", count, MB, heap);
            points.add("open-cpu", "connections", count, CORES, cores);
            points.add(
                    "open-resident", "connections", count, MB, harness.usage().residentMb());
        }
    }

    /** Measures the CPU use of the whole gateway by statements per second. */
    @Command(
            name = "active",
            mixinStandardHelpOptions = true,
            description = "CPU use of the whole gateway by statements per second, with a few engines.")
    static final class Active implements Callable<Integer> {
        private static final Duration WARM_UP = Duration.ofSeconds(2);
        private static final double MIN_SERVED_FRACTION = 0.95;

        @Mixin
        private CommonOptions common;

        @Option(
                names = "--rates",
                split = ",",
                defaultValue = "373,746,1491",
                paramLabel = "N",
                description = "Statements per second, ascending (${DEFAULT-VALUE}).")
        private List<Integer> rates;

        @Option(
                names = "--seconds",
                defaultValue = "2",
                paramLabel = "N",
                description = "Duration per point (${DEFAULT-VALUE}).")
        private int seconds;

        @Option(
                names = "--sessions",
                defaultValue = "300",
                paramLabel = "N",
                description = "Client sessions that send the statements in turn (${DEFAULT-VALUE}).")
        private int sessions;

        @Override
        public Integer call() throws IOException {
            Points points = new Points();
            for (int i = 0; i < common.repeats; i++) {
                try (GatewayHarness harness = new GatewayHarness(new Setup(
                        common.jar,
                        SIMULATED_ENGINES,
                        SIMULATED_ENGINES,
                        2 * SOCKETS_PER_SESSION * sessions + SPARE_SOCKETS,
                        ListFrom.CONFIGURATION))) {
                    harness.awaitListening();
                    harness.connect(sessions);
                    harness.ask(rates.get(0), WARM_UP);
                    for (int rate : rates) {
                        measure(harness, rate, points);
                    }
                }
            }
            points.write(common);
            return 0;
        }

        private void measure(GatewayHarness harness, int rate, Points points) throws IOException {
            CpuTimes before = harness.usage().cpuTimes();
            long from = System.nanoTime();
            double served = harness.ask(rate, Duration.ofSeconds(seconds));
            double cores = harness.usage().cpuTimes().secondsSince(before) / ((System.nanoTime() - from) / 1e9);
            if (served < MIN_SERVED_FRACTION) {
                System.out.printf(
                        Locale.ROOT,
                        "not measured at %d statements per second: fraction served %.2f; %s%n",
                        rate,
                        served,
                        harness.faults());
                return;
            }
            points.add("active-cpu", "statementsPerSecond", rate, CORES, cores);
        }
    }

    /** Measures time and CPU until a gateway listens, and time until it serves with a list from the feed. */
    @Command(
            name = "start",
            mixinStandardHelpOptions = true,
            description =
                    "Time until a gateway listens, and until it has served with a list from the feed, by engines.")
    static final class Start implements Callable<Integer> {
        @Mixin
        private CommonOptions common;

        @Option(
                names = "--engines",
                split = ",",
                defaultValue = "100,1000,8500",
                paramLabel = "N",
                description = "Numbers of engines (${DEFAULT-VALUE}).")
        private List<Integer> engines;

        @Override
        public Integer call() throws IOException {
            Points points = new Points();
            start(engines.get(0), ListFrom.CONFIGURATION).close(); // loads the jar into the page cache
            for (int i = 0; i < common.repeats; i++) {
                for (int count : engines) {
                    try (GatewayHarness harness = start(count, ListFrom.CONFIGURATION)) {
                        points.add("start-time", "engines", count, MS, harness.sinceStartMs());
                        points.add(
                                "start-cpu",
                                "engines",
                                count,
                                MS,
                                MS_PER_SECOND * harness.usage().cpuTimes().secondsSince(CpuTimes.NONE));
                    }
                    try (GatewayHarness harness = start(count, ListFrom.FEED)) {
                        harness.awaitFirstServed();
                        points.add("first-list-time", "engines", count, MS, harness.sinceStartMs());
                    }
                }
            }
            points.write(common);
            return 0;
        }

        private GatewayHarness start(int count, ListFrom from) throws IOException {
            GatewayHarness harness = new GatewayHarness(new Setup(common.jar, count, SIMULATED_ENGINES, SOCKETS, from));
            try {
                harness.awaitListening();
                return harness;
            } catch (IOException e) {
                harness.close();
                throw e;
            }
        }
    }

    /** Measures probes and connections of one gateway to its engines, by number of engines. */
    @Command(
            name = "engines",
            mixinStandardHelpOptions = true,
            description = "Probes and connections of one gateway to its engines, by number of engines.")
    static final class EngineTraffic implements Callable<Integer> {
        @Mixin
        private CommonOptions common;

        @Option(
                names = "--engines",
                split = ",",
                defaultValue = "100,400,1600",
                paramLabel = "N",
                description = "Numbers of engines (${DEFAULT-VALUE}).")
        private List<Integer> engines;

        @Option(
                names = "--rate",
                defaultValue = "50",
                paramLabel = "N",
                description = "Statements per second (${DEFAULT-VALUE}).")
        private int rate;

        @Option(
                names = "--seconds",
                defaultValue = "2",
                paramLabel = "N",
                description = "Duration per point (${DEFAULT-VALUE}).")
        private int seconds;

        @Override
        public Integer call() throws IOException {
            Points points = new Points();
            for (int i = 0; i < common.repeats; i++) {
                for (int count : engines) {
                    try (GatewayHarness harness = new GatewayHarness(
                            new Setup(common.jar, count, SIMULATED_ENGINES, SOCKETS, ListFrom.CONFIGURATION))) {
                        harness.awaitListening();
                        harness.connect(rate);
                        harness.ask(rate, Duration.ofSeconds(seconds));
                        points.add("probe-rate", "engines", count, "per second", harness.probes() / (double) seconds);
                        points.add("engine-connections", "engines", count, COUNT, harness.engineConnections());
                        points.add("list-heap", "engines", count, MB, harness.liveHeapMb());
                    }
                }
            }
            points.write(common);
            return 0;
        }
    }
}
