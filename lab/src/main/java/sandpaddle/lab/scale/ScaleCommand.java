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

/** {@code scale}: one {@link ScaleRun}, counted by {@link ScaleAudit}. */
@Command(
        name = "scale",
        mixinStandardHelpOptions = true,
        description = "Control machines that are real gateway processes, and hollow gateways by the hundred: the real "
                + "fleet part over real TCP, with queries and answers that are drawn. Measures what each role takes.",
        footerHeading = "%nExamples:%n",
        footer = {
            "  scale --gateways 100 --limits 10 --seconds 20 --json out.json",
            "  scale --gateways 40 --fault control-machine --short"
        })
public final class ScaleCommand implements Callable<Integer> {
    private static final int REFUSED = 2;
    private static final int SHORT_SECONDS = 15;
    private static final Duration WARM_UP = Duration.ofSeconds(10);
    private static final Duration SHORT_WARM_UP = Duration.ofSeconds(4);

    @Option(
            names = "--gateways",
            defaultValue = "60",
            paramLabel = "N",
            description = "Hollow gateways (${DEFAULT-VALUE}).")
    private int gateways;

    @Option(
            names = "--engines",
            defaultValue = "96",
            paramLabel = "M",
            description = "Engines that each gateway lists (${DEFAULT-VALUE}).")
    private int engines;

    @Option(
            names = "--limits",
            defaultValue = "10",
            paramLabel = "L",
            description = "Concurrent limits: one on all, the others by tenant (${DEFAULT-VALUE}).")
    private int limits;

    @Option(
            names = "--changes-per-second",
            defaultValue = "0.36",
            paramLabel = "C",
            description = "Changes of the configuration (${DEFAULT-VALUE}).")
    private double changes;

    @Option(names = "--zones", defaultValue = "6", paramLabel = "Z", description = "Zones (${DEFAULT-VALUE}).")
    private int zones;

    @Option(
            names = "--regions",
            defaultValue = "2",
            paramLabel = "R",
            description = "Regions that zones belong to (${DEFAULT-VALUE}); ways between them are not longer.")
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
            description = "The measured span (${DEFAULT-VALUE}).")
    private int seconds;

    @Option(names = "--seed", defaultValue = "1", description = "Draws queries, answers and victims.")
    private long seed;

    @Option(names = "--short", description = "A measured span of at most " + SHORT_SECONDS + " s, less warming up.")
    private boolean brief;

    @Option(names = "--json", paramLabel = "FILE", description = "Where the figures go.")
    private Path json;

    @Option(
            names = "--gateway",
            paramLabel = "JAR",
            defaultValue = "gateway/target/sandpaddle.jar",
            description = "The gateway's jar (${DEFAULT-VALUE}).")
    private Path jar;

    @Option(names = "--logs", paramLabel = "DIR", description = "Where logs, disks and events stay; else removed.")
    private Path logs;

    @Override
    public Integer call() throws IOException {
        try {
            return play();
        } catch (RefusedException e) {
            e.reasons().forEach(reason -> System.err.println("refused: " + reason));
            return REFUSED;
        }
    }

    private int play() throws IOException, RefusedException {
        Fault what = Fault.of(fault);
        ScalePlan.Size size = new ScalePlan.Size(gateways, engines, limits, zones, regions, controlMachines);
        refuseWhatIsNoSize();
        ScaleSite.check(size);
        Path folder = (logs == null ? Files.createTempDirectory("sandpaddle-scale") : Files.createDirectories(logs))
                .toAbsolutePath();
        ScalePlan plan = new ScalePlan(
                size,
                what,
                changes,
                brief ? SHORT_WARM_UP : WARM_UP,
                Duration.ofSeconds(brief ? Math.min(SHORT_SECONDS, seconds) : seconds),
                seed,
                jar,
                folder);
        ProgramBounds.partial(size).forEach(part -> System.err.println("note: " + part));
        Map<String, Object> figures = play(plan, version());
        figures.forEach((k, v) -> System.out.println("  " + k + " " + v));
        if (json != null) {
            JsonFile.write(json, figures);
        }
        if (logs == null) {
            FleetCommand.remove(folder);
        }
        return isGood(figures) ? 0 : Main.RULE_VIOLATED;
    }

    private void refuseWhatIsNoSize() throws RefusedException {
        List<String> faults = new ArrayList<>();
        least(faults, "--gateways", gateways);
        least(faults, "--engines", engines);
        least(faults, "--limits", limits);
        least(faults, "--zones", zones);
        least(faults, "--regions", regions);
        least(faults, "--seconds", seconds);
        if (!(changes >= 0 && changes <= 1000)) {
            faults.add("--changes-per-second is " + changes + ", not from 0 to 1000");
        }
        if (!faults.isEmpty()) {
            throw new RefusedException(faults);
        }
    }

    private static void least(List<String> faults, String option, int value) {
        if (value < 1) {
            faults.add(option + " is " + value + ", and must be 1 at least");
        }
    }

    /** Plays a run and counts it. */
    static Map<String, Object> play(ScalePlan plan, String version) throws IOException {
        Path script = plan.folder().resolve("script.events");
        ScaleRun run;
        ScaleRun.Samples samples;
        try (Events events = new Events(script)) {
            run = new ScaleRun(plan, new ScaleSite(plan.folder(), plan.size()), events);
            samples = run.run();
        }
        List<Path> files = new ArrayList<>(run.eventFiles());
        files.add(script);
        return new ScaleReport(plan, samples, ScaleAudit.of(plan.size(), files)).figures(version);
    }

    /** No limit exceeded, nothing agreed on lost, no version older than one before, no engine condemned wrongly. */
    static boolean isGood(Map<String, Object> figures) {
        boolean zeros = Stream.of("agreedLost", "olderVersions", "wrongVerdicts")
                .allMatch(name -> ((Number) figures.get(name)).longValue() == 0);
        return zeros && (long) figures.get("limitOverMost") <= (long) figures.get("limitOverBound");
    }

    /** The commit that the working directory is at, or else the jar's version. */
    private static String version() {
        try {
            Process git = new ProcessBuilder("git", "rev-parse", "--short", "HEAD")
                    .redirectError(ProcessBuilder.Redirect.DISCARD)
                    .start();
            String said = new String(git.getInputStream().readAllBytes(), StandardCharsets.UTF_8).strip();
            if (!said.isEmpty()) {
                return said;
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
