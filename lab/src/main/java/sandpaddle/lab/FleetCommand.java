package sandpaddle.lab;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.util.DefaultPrettyPrinter;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.stream.Stream;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** The {@code fleet} command: runs {@link FleetExperiment} and recomputes its figures with {@link FleetAudit}. */
@Command(
        name = "fleet",
        mixinStandardHelpOptions = true,
        description =
                "Runs gateways that share state, with a proxy on every link, and faults: kills, stops, cuts, full, "
                        + "lost and stale disks, changes of members and limits. Figures come from the events alone.",
        footerHeading = "%nExamples:%n",
        footer = {
            "  fleet --scenario cut --short --json out.json --events out.jsonl",
            "  fleet --scenario drawn --gateways 9 --seed 3"
        })
public final class FleetCommand implements Callable<Integer> {
    private static final long CLIENT_DELAY_TOLERANCE_MS = 500; // delivery time of an answer on a loaded machine

    @Option(
            names = "--scenario",
            defaultValue = "drawn",
            paramLabel = "NAME",
            description = "${COMPLETION-CANDIDATES}, or all: one after the other (${DEFAULT-VALUE}).")
    private String scenario;

    @Option(names = "--gateways", defaultValue = "3", description = "How many (${DEFAULT-VALUE}).")
    private int gateways;

    @Option(names = "--engines", defaultValue = "6", description = "How many (${DEFAULT-VALUE}).")
    private int engines;

    @Option(
            names = "--load",
            defaultValue = "0.7",
            description = "Demand as a share of the capacity of the engines (${DEFAULT-VALUE}).")
    private double load;

    @Option(names = "--seed", defaultValue = "1", description = "Seed of arrivals, work, client behavior and faults.")
    private long seed;

    @Option(names = "--short", description = "Shorter run: under 50 s in total.")
    private boolean brief;

    @Option(
            names = "--sharing",
            defaultValue = "on",
            paramLabel = "on|off",
            description = "Whether gateways share state (${DEFAULT-VALUE}).")
    private String sharing;

    @Option(names = "--json", paramLabel = "FILE", description = "Output file of the figures.")
    private Path json;

    @Option(
            names = "--events",
            paramLabel = "FILE",
            description = "Output file of the events of all parties, one per line.")
    private Path eventsFile;

    @Option(names = "--charts", paramLabel = "DIR", description = "Output directory of charts (PNG).")
    private Path charts;

    @Option(
            names = "--gateway",
            paramLabel = "JAR",
            defaultValue = "gateway/target/sandpaddle.jar",
            description = "The gateway's jar (${DEFAULT-VALUE}).")
    private Path jar;

    @Option(
            names = "--logs",
            paramLabel = "DIR",
            description = "Directory of logs and gateway directories, which are otherwise removed.")
    private Path logs;

    @Override
    public Integer call() throws IOException {
        List<FleetPlan.Scenario> all = scenario.equalsIgnoreCase("all")
                ? List.of(FleetPlan.Scenario.values())
                : List.of(FleetPlan.Scenario.valueOf(
                        scenario.toUpperCase(Locale.ROOT).replace('-', '_')));
        int code = 0;
        for (FleetPlan.Scenario plannedScenario : all) {
            code = Math.max(code, runScenario(plannedScenario, all.size() > 1));
        }
        return code;
    }

    private int runScenario(FleetPlan.Scenario plannedScenario, boolean several) throws IOException {
        Path folder = logs == null
                ? Files.createTempDirectory("sandpaddle-fleet")
                : Files.createDirectories(several ? logs.resolve(plannedScenario.name()) : logs);
        Path file =
                eventsFile == null ? folder.resolve("events.jsonl") : outputFile(eventsFile, plannedScenario, several);
        try (Events events = new Events(file)) {
            new FleetExperiment(
                            new FleetPlan(
                                    seed,
                                    plannedScenario,
                                    gateways,
                                    engines,
                                    load,
                                    brief,
                                    sharing.equals("on"),
                                    jar,
                                    folder),
                            events)
                    .run();
        }
        List<Map<String, String>> recorded = FleetAudit.read(file);
        Map<String, Object> figures = FleetAudit.recount(recorded);
        System.out.println(plannedScenario.name().toLowerCase(Locale.ROOT) + " seed " + seed + " gateways " + gateways);
        figures.forEach((k, v) -> System.out.println("  " + k + " " + v));
        if (json != null) {
            write(outputFile(json, plannedScenario, several), plannedScenario, figures);
        }
        if (charts != null) {
            String title =
                    plannedScenario.name().toLowerCase(Locale.ROOT) + ", seed " + seed + ", " + gateways + " gateways";
            new FleetCharts(recorded, title)
                    .draw(
                            several ? charts.resolve(plannedScenario.name().toLowerCase(Locale.ROOT)) : charts,
                            FleetAudit.auditOf(recorded).outage);
        }
        if (logs == null) {
            remove(folder);
        }
        return rulesHold(figures) ? 0 : Main.RULE_VIOLATED;
    }

    private static Path outputFile(Path file, FleetPlan.Scenario plannedScenario, boolean several) {
        return !several
                ? file
                : file.resolveSibling(plannedScenario.name().toLowerCase(Locale.ROOT) + "-" + file.getFileName());
    }

    /**
     * Whether the figures keep the invariants: one answer per attempt, no load run twice, no limit exceeded, floors
     * usable, no acknowledged version lost.
     */
    static boolean rulesHold(Map<String, Object> figures) {
        boolean zeros = Stream.of(
                        "secondAnswers",
                        "lost",
                        "loadsRunTwice",
                        "coldFalls",
                        "limitOverMost",
                        "acknowledgedLost",
                        "foreignServed",
                        "loadsFromStore",
                        "storedOfNoRun",
                        "poolOverMost")
                .allMatch(k -> ((Number) figures.get(k)).longValue() == 0);
        return zeros
                && (double) figures.get("rateOverMost") <= (double) figures.get("rateOverBound") + 1
                && (double) figures.get("floorsKept") == 1.0
                && (long) figures.get("staleServedMostMs")
                        <= (long) figures.get("staleServedBoundMs") + CLIENT_DELAY_TOLERANCE_MS;
    }

    private void write(Path file, FleetPlan.Scenario plannedScenario, Map<String, Object> figures) throws IOException {
        try (JsonGenerator j =
                new JsonFactory().createGenerator(file.toFile(), com.fasterxml.jackson.core.JsonEncoding.UTF8)) {
            j.setPrettyPrinter(new DefaultPrettyPrinter());
            j.writeStartObject();
            j.writeStringField("scenario", plannedScenario.name().toLowerCase(Locale.ROOT));
            j.writeNumberField("seed", seed);
            j.writeNumberField("gateways", gateways);
            j.writeStringField("sharing", sharing);
            for (Map.Entry<String, Object> e : figures.entrySet()) {
                if (e.getValue() instanceof Long n) {
                    j.writeNumberField(e.getKey(), n);
                } else if (e.getValue() instanceof Double d) {
                    j.writeNumberField(e.getKey(), d);
                } else if (e.getValue() instanceof String s) {
                    j.writeStringField(e.getKey(), s);
                } else if (e.getValue() instanceof Map<?, ?> m) {
                    j.writeObjectFieldStart(e.getKey());
                    for (Map.Entry<?, ?> a : m.entrySet()) {
                        j.writeNumberField(a.getKey().toString(), (Long) a.getValue());
                    }
                    j.writeEndObject();
                }
            }
            j.writeEndObject();
        }
    }

    /** Deletes the folder of a run with the gateways' directories. */
    public static void remove(Path folder) throws IOException {
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path figures :
                    files.sorted(java.util.Comparator.reverseOrder()).toList()) {
                Files.delete(figures);
            }
        }
    }
}
