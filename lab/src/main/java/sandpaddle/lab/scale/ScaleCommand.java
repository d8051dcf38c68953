package sandpaddle.lab.scale;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.stream.Stream;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import sandpaddle.lab.Events;
import sandpaddle.lab.FleetCommand;
import sandpaddle.lab.Main;

/** The subcommand {@code scale}: executes one {@link ScaleRun} and evaluates it with {@link ScaleAudit}. */
@Command(
        name = "scale",
        mixinStandardHelpOptions = true,
        description =
                "Runs control machines as real gateway processes, and hundreds of simulated gateways: the real fleet "
                        + "component over TCP, with random queries and outcomes. Measures the resources of each role.",
        footerHeading = "%nExamples:%n",
        footer = {
            "  scale --gateways 100 --limits 10 --seconds 20 --json out.json",
            "  scale --gateways 40 --fault control-machine --short"
        })
public final class ScaleCommand implements Callable<Integer> {
    private static final int EXIT_REJECTED = 2;
    private static final int SHORT_SECONDS = 15;
    private static final Duration WARM_UP = Duration.ofSeconds(10);
    private static final Duration SHORT_WARM_UP = Duration.ofSeconds(4);

    @Option(
            names = "--gateways",
            defaultValue = "60",
            paramLabel = "N",
            description = "Simulated gateways (${DEFAULT-VALUE}).")
    private int gateways;

    @Option(
            names = "--engines",
            defaultValue = "96",
            paramLabel = "M",
            description = "Engines in the list of each gateway (${DEFAULT-VALUE}).")
    private int engines;

    @Option(
            names = "--limits",
            defaultValue = "10",
            paramLabel = "L",
            description = "Concurrency limits: one on all attempts, the others by tenant (${DEFAULT-VALUE}).")
    private int limits;

    @Option(
            names = "--changes-per-second",
            defaultValue = "0.36",
            paramLabel = "C",
            description = "Changes of the configuration per second (${DEFAULT-VALUE}).")
    private double changes;

    @Option(names = "--zones", defaultValue = "6", paramLabel = "Z", description = "Zones (${DEFAULT-VALUE}).")
    private int zones;

    @Option(
            names = "--regions",
            defaultValue = "2",
            paramLabel = "R",
            description = "Regions that zones belong to (${DEFAULT-VALUE}); links between them have no added latency.")
    private int regions;

    @Option(
            names = "--control-machines",
            defaultValue = "3",
            paramLabel = "K",
            description = "Gateway processes that vote: 3 or 5 (${DEFAULT-VALUE}).")
    private int controlMachines;

    @Option(
            names = "--fault",
            defaultValue = "none",
            paramLabel = "NAME",
            description = "none, control-machine, zone, return-zone or restart-tenth (${DEFAULT-VALUE}).")
    private String fault;

    @Option(
            names = "--seconds",
            defaultValue = "30",
            paramLabel = "S",
            description = "Length of the measurement (${DEFAULT-VALUE}).")
    private int seconds;

    @Option(names = "--seed", defaultValue = "1", description = "Random seed of queries, outcomes and fault targets.")
    private long seed;

    @Option(
            names = "--short",
            description = "A measurement of at most " + SHORT_SECONDS + " s, with a shorter warm-up.")
    private boolean shortRun;

    @Option(names = "--json", paramLabel = "FILE", description = "File to write the results to.")
    private Path json;

    @Option(
            names = "--gateway",
            paramLabel = "JAR",
            defaultValue = "gateway/target/sandpaddle.jar",
            description = "The gateway's jar (${DEFAULT-VALUE}).")
    private Path jar;

    @Option(
            names = "--logs",
            paramLabel = "DIR",
            description = "Directory to keep logs, disks and events in; without it they are deleted.")
    private Path logs;

    @Override
    public Integer call() throws IOException {
        try {
            return execute();
        } catch (RunRejectedException e) {
            e.reasons().forEach(reason -> System.err.println("rejected: " + reason));
            return EXIT_REJECTED;
        }
    }

    private int execute() throws IOException, RunRejectedException {
        Fault injectedFault = Fault.of(fault);
        ScalePlan.Size size = new ScalePlan.Size(gateways, engines, limits, zones, regions, controlMachines);
        rejectInvalidSizes();
        ScaleFleet.check(size);
        Path folder = (logs == null ? Files.createTempDirectory("sandpaddle-scale") : Files.createDirectories(logs))
                .toAbsolutePath();
        ScalePlan plan = new ScalePlan(
                size,
                injectedFault,
                changes,
                shortRun ? SHORT_WARM_UP : WARM_UP,
                Duration.ofSeconds(shortRun ? Math.min(SHORT_SECONDS, seconds) : seconds),
                seed,
                jar,
                folder);
        ProgramLimits.partialCoverage(size).forEach(part -> System.err.println("note: " + part));
        Map<String, Object> results = execute(plan, version());
        results.forEach((k, v) -> System.out.println("  " + k + " " + v));
        if (json != null) {
            JsonFile.write(json, results);
        }
        if (logs == null) {
            FleetCommand.remove(folder);
        }
        return passed(results) ? 0 : Main.RULE_VIOLATED;
    }

    private void rejectInvalidSizes() throws RunRejectedException {
        List<String> faults = new ArrayList<>();
        checkPositive(faults, "--gateways", gateways);
        checkPositive(faults, "--engines", engines);
        checkPositive(faults, "--limits", limits);
        checkPositive(faults, "--zones", zones);
        checkPositive(faults, "--regions", regions);
        checkPositive(faults, "--seconds", seconds);
        if (!(changes >= 0 && changes <= 1000)) {
            faults.add("--changes-per-second is " + changes + "; expected 0 to 1000");
        }
        if (!faults.isEmpty()) {
            throw new RunRejectedException(faults);
        }
    }

    private static void checkPositive(List<String> faults, String option, int value) {
        if (value < 1) {
            faults.add(option + " is " + value + "; expected at least 1");
        }
    }

    /** Executes a run and evaluates it. Returns its results by name. */
    static Map<String, Object> execute(ScalePlan plan, String version) throws IOException {
        Path script = plan.folder().resolve("script.events");
        ScaleRun run;
        ScaleRun.Samples samples;
        try (Events events = new Events(script)) {
            run = new ScaleRun(plan, new ScaleFleet(plan.folder(), plan.size()), events);
            samples = run.run();
        }
        List<Path> files = new ArrayList<>(run.eventFiles());
        files.add(script);
        return new ScaleReport(plan, samples, ScaleAudit.of(plan.size(), files)).results(version);
    }

    /** Whether no limit was exceeded, no agreed version lost or rolled back, and no verdict on a healthy engine. */
    static boolean passed(Map<String, Object> results) {
        boolean noViolations = Stream.of("agreedLost", "olderVersions", "wrongVerdicts")
                .allMatch(name -> ((Number) results.get(name)).longValue() == 0);
        return noViolations && (long) results.get("limitOverMost") <= (long) results.get("limitOverBound");
    }

    /** The commit of the working directory; the version of the jar if there is none. */
    private static String version() {
        try {
            Process git = new ProcessBuilder("git", "rev-parse", "--short", "HEAD")
                    .redirectError(ProcessBuilder.Redirect.DISCARD)
                    .start();
            String output = new String(git.getInputStream().readAllBytes(), StandardCharsets.UTF_8).strip();
            if (!output.isEmpty()) {
                return output;
            }
        } catch (IOException e) {
            return jarVersion();
        }
        return jarVersion();
    }

    private static String jarVersion() {
        String version = ScaleCommand.class.getPackage().getImplementationVersion();
        return version == null ? "unknown" : version;
    }
}
