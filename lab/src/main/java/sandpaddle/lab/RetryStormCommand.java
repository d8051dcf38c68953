package sandpaddle.lab;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.ITypeConverter;
import picocli.CommandLine.Option;

/** The {@code storm} command: runs {@link RetryStormExperiment}. */
@Command(
        name = "storm",
        mixinStandardHelpOptions = true,
        description =
                "Kills all stand-in engines, restarts them cold, and measures what clients got from real gateways.",
        footerHeading = "%nExamples:%n",
        footer = {"  storm --short --damping off", "  storm --seed 3 --script second --json out.json --events out.jsonl"
        })
final class RetryStormCommand implements Callable<Integer> {
    enum Damping {
        ON,
        OFF
    }

    static final class Seconds implements ITypeConverter<Duration> {
        @Override
        public Duration convert(String value) {
            return Duration.ofMillis((long) (1000 * Double.parseDouble(value.replaceFirst("s$", ""))));
        }
    }

    @Option(
            names = "--seed",
            defaultValue = "1",
            description = "Seed of arrivals, work and client behavior (${DEFAULT-VALUE}).")
    private long seed;

    @Option(names = "--outage", converter = Seconds.class, paramLabel = "30s", description = "Duration of the outage.")
    private Duration outage;

    @Option(names = "--short", description = "Shorter run: under 45 s in total.")
    private boolean brief;

    @Option(
            names = "--damping",
            defaultValue = "on",
            description = "The gateways' overload controller: ${COMPLETION-CANDIDATES}.")
    private Damping damping;

    @Option(names = "--script", defaultValue = "outage", description = "${COMPLETION-CANDIDATES} (${DEFAULT-VALUE}).")
    private RetryStormExperiment.Script script;

    @Option(
            names = "--load",
            defaultValue = "0.75",
            description = "Demand as a share of the capacity of the engines (${DEFAULT-VALUE}).")
    private double load;

    @Option(
            names = "--operator",
            paramLabel = "FILE",
            description = "Operator's file of the gateways, instead of the lab's own.")
    private Path operator;

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
            description = "Directory of the gateways' logs, which are otherwise removed.")
    private Path logs;

    @Override
    public Integer call() throws IOException {
        Path folder = logs == null ? Files.createTempDirectory("sandpaddle-lab") : Files.createDirectories(logs);
        Path file = operator;
        if (damping == Damping.OFF) {
            file = null;
        } else if (file == null) {
            file = Files.writeString(folder.resolve("operator.json"), "{\"storm\": {\"enabled\": true}}\n");
        }
        RetryStormResult result;
        try (Events events = new Events(eventsFile)) {
            result = new RetryStormExperiment(
                            new RetryStormExperiment.Plan(
                                    seed,
                                    script,
                                    RetryStormExperiment.Times.of(brief, outage),
                                    file,
                                    load,
                                    8,
                                    3,
                                    jar,
                                    folder),
                            events)
                    .run();
        }
        System.out.println(result.summary());
        if (json != null) {
            result.write(json);
        }
        if (charts != null) {
            result.charts(charts);
        }
        if (logs == null) {
            remove(folder);
        }
        return result.ruleViolations() == 0 ? 0 : Main.RULE_VIOLATED;
    }

    static void remove(Path folder) throws IOException {
        try (var files = Files.list(folder)) {
            for (Path f : files.toList()) {
                Files.delete(f);
            }
        }
        Files.delete(folder);
    }
}
