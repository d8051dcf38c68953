package sandpaddle.lab;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** The {@code audit} command: recomputes an experiment's figures from its events. */
@Command(
        name = "audit",
        mixinStandardHelpOptions = true,
        description = "Recounts an experiment from its events file, and compares the result with the figures that the "
                + "experiment wrote.",
        footerHeading = "%nExamples:%n",
        footer = {"  audit storm.jsonl", "  audit storm.jsonl --against storm.json"})
final class AuditCommand implements Callable<Integer> {
    private static final List<String> ZERO_FIGURES =
            List.of("secondAnswers", "lost", "unanswered", "strangers", "loadsRunTwice", "coldFalls", "drainBreaks");
    private static final List<String> COMPARED_FIGURES = List.of(
            "requests",
            "tries",
            "secondAnswers",
            "lost",
            "loadsRunTwice",
            "coldFalls",
            "drainBreaks",
            "recoverySeconds");
    private static final double RECOVERY_TOLERANCE_S = 1; // the end of the experiment is not recorded as an event

    @Parameters(paramLabel = "FILE", description = "Event file of a run.")
    private Path file;

    @Option(names = "--against", paramLabel = "FILE", description = "File of figures written by the run.")
    private Path against;

    @Override
    public Integer call() throws IOException {
        List<Map<String, String>> events = FleetAudit.read(file);
        if (FleetAudit.isFleet(events)) {
            return auditFleet(FleetAudit.recount(events));
        }
        Map<String, Object> counted = RetryStormAudit.recount(file);
        counted.forEach((k, v) -> System.out.println(k + " " + v));
        boolean passed = ZERO_FIGURES.stream().allMatch(r -> ((Number) counted.get(r)).longValue() == 0);
        if (against != null) {
            Map<String, Double> reported = readNumbers(against);
            for (String name : COMPARED_FIGURES) {
                double recounted = ((Number) counted.get(name)).doubleValue();
                double max = name.equals("recoverySeconds") ? RECOVERY_TOLERANCE_S : 0;
                if (Math.abs(recounted - reported.getOrDefault(name, Double.NaN)) > max
                        || !reported.containsKey(name)) {
                    System.out.println(
                            "differs: " + name + " recounted " + recounted + ", reported " + reported.get(name));
                    passed = false;
                }
            }
        }
        return passed ? 0 : Main.RULE_VIOLATED;
    }

    /** Compares every numeric figure of a fleet run with the one that the run wrote. */
    private int auditFleet(Map<String, Object> counted) throws IOException {
        counted.forEach((k, v) -> System.out.println(k + " " + v));
        boolean passed = FleetCommand.rulesHold(counted);
        if (against != null) {
            Map<String, Double> reported = readNumbers(against);
            for (Map.Entry<String, Object> e : counted.entrySet()) {
                if (e.getValue() instanceof Number n
                        && !Double.valueOf(n.doubleValue()).equals(reported.get(e.getKey()))) {
                    System.out.println(
                            "differs: " + e.getKey() + " recounted " + n + ", reported " + reported.get(e.getKey()));
                    passed = false;
                }
            }
        }
        return passed ? 0 : Main.RULE_VIOLATED;
    }

    /** Returns the numeric fields at the top level of a JSON object. */
    private static Map<String, Double> readNumbers(Path json) throws IOException {
        Map<String, Double> numbers = new HashMap<>();
        try (JsonParser in = new JsonFactory().createParser(json.toFile())) {
            in.nextToken();
            while (in.nextToken() == JsonToken.FIELD_NAME) {
                String key = in.currentName();
                if (in.nextToken().isNumeric()) {
                    numbers.put(key, in.getDoubleValue());
                } else {
                    in.skipChildren();
                }
            }
        }
        return numbers;
    }
}
