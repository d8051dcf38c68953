package sandpaddle.lab;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import sandpaddle.config.JsonObject;

/** The {@code report} command: combines the figures of several runs in a table and charts. */
@Command(
        name = "report",
        mixinStandardHelpOptions = true,
        description = "Makes a table (Markdown) and a chart from the figures that runs of 'storm' wrote, damped and "
                + "not "
                + "damped side by side.",
        footerHeading = "%nExamples:%n",
        footer = "  report --out docs/measurements/retry-storms runs/*.json")
final class ReportCommand implements Callable<Integer> {
    private static final List<String> ZERO_FIGURES =
            List.of("secondAnswers", "lost", "loadsRunTwice", "coldFalls", "drainBreaks");

    @Parameters(paramLabel = "FILE", arity = "1..*", description = "Files of figures written by runs.")
    private List<Path> files;

    @Option(
            names = "--out",
            paramLabel = "DIR",
            defaultValue = ".",
            description = "Output directory of table.md and the charts.")
    private Path out;

    private record ReportedRun(Map<String, Object> figures) {
        double number(String name) {
            return ((Number) figures.get(name)).doubleValue();
        }

        boolean damped() {
            return Boolean.TRUE.equals(figures.get("damping"));
        }

        String script() {
            return (String) figures.get("script");
        }
    }

    @Override
    public Integer call() throws IOException {
        List<ReportedRun> runs = new ArrayList<>();
        for (Path file : files) {
            try (JsonParser in = new JsonFactory().createParser(file.toFile())) {
                in.nextToken();
                runs.add(new ReportedRun(JsonObject.read(in, "").asMap()));
            }
        }
        Files.createDirectories(out);
        StringBuilder table = new StringBuilder("| script | seed | damping | requests | tries | refused | back after, "
                + "s "
                + "| worth before | worth after the return | rules broken | CPU a try, ms |\n| --- | --- | --- | --- | "
                + "--- | --- | --- | --- | --- | --- | --- |\n");
        runs.forEach(run -> table.append(tableRow(run)));
        for (String script : runs.stream().map(ReportedRun::script).distinct().toList()) {
            for (boolean damped : new boolean[] {true, false}) {
                List<ReportedRun> group = runs.stream()
                        .filter(run -> run.damped() == damped && run.script().equals(script))
                        .toList();
                if (group.size() > 1) {
                    table.append(meanRow(script, damped, group));
                }
            }
            drawChart(script, runs);
        }
        Files.writeString(out.resolve("table.md"), table);
        System.out.print(table);
        return 0;
    }

    private static long ruleViolations(ReportedRun run) {
        return (long) ZERO_FIGURES.stream().mapToDouble(run::number).sum();
    }

    private static long rejected(ReportedRun run) {
        Object answers = run.figures.get("answers");
        return answers instanceof Map<?, ?> m && m.get("refused") instanceof Number n ? n.longValue() : 0;
    }

    private static String tableRow(ReportedRun run) {
        return String.format(
                Locale.ROOT,
                "| %s | %.0f | %s | %.0f | %.0f | %d | %.1f | %.3f | %.3f | %d | %.2f |%n",
                run.script(),
                run.number("seed"),
                run.damped() ? "on" : "off",
                run.number("requests"),
                run.number("tries"),
                rejected(run),
                run.number("recoverySeconds"),
                run.number("worthBefore"),
                run.number("worthAfterReturn"),
                ruleViolations(run),
                run.number("gatewayCpuMsPerTry"));
    }

    private static String meanRow(String script, boolean damped, List<ReportedRun> group) {
        return String.format(
                Locale.ROOT,
                "| **%s, mean** | %d seeds | %s | %.0f | %.0f | %.0f | %.1f (%.1f to %.1f) | "
                        + "%.3f | %.3f | %d | %.2f |%n",
                script,
                group.size(),
                damped ? "on" : "off",
                meanRow(group, "requests"),
                meanRow(group, "tries"),
                group.stream().mapToLong(ReportCommand::rejected).average().orElse(0),
                meanRow(group, "recoverySeconds"),
                group.stream()
                        .mapToDouble(run -> run.number("recoverySeconds"))
                        .min()
                        .orElse(0),
                group.stream()
                        .mapToDouble(run -> run.number("recoverySeconds"))
                        .max()
                        .orElse(0),
                meanRow(group, "worthBefore"),
                meanRow(group, "worthAfterReturn"),
                group.stream().mapToLong(ReportCommand::ruleViolations).sum(),
                meanRow(group, "gatewayCpuMsPerTry"));
    }

    private static double meanRow(List<ReportedRun> group, String name) {
        return group.stream().mapToDouble(run -> run.number(name)).average().orElse(0);
    }

    /** Draws the share of the priority weight served in time, by second, over all seeds of a script. */
    private void drawChart(String script, List<ReportedRun> runs) throws IOException {
        List<Charts.Line> lines = new ArrayList<>();
        for (boolean damped : new boolean[] {true, false}) {
            TreeMap<Long, double[]> seconds = new TreeMap<>();
            for (ReportedRun run : runs) {
                if (run.damped() == damped && run.script().equals(script)) {
                    for (Object o : (List<?>) run.figures.get("worthInTime")) {
                        List<?> s = (List<?>) o;
                        double[] sum = seconds.computeIfAbsent(((Number) s.get(0)).longValue(), k -> new double[2]);
                        sum[0] += ((Number) s.get(1)).doubleValue();
                        sum[1] += ((Number) s.get(2)).doubleValue();
                    }
                }
            }
            if (!seconds.isEmpty()) {
                lines.add(new Charts.Line(
                        damped ? "overload control on" : "overload control off",
                        seconds.entrySet().stream()
                                .map(e -> new double[] {e.getKey(), e.getValue()[1] / Math.max(1e-9, e.getValue()[0])})
                                .toArray(double[][]::new)));
            }
        }
        Charts.lines(
                out.resolve("worth-" + script + ".png"),
                script + ": priority weight served in time, all seeds",
                "seconds since the engines restarted",
                "share of the priority weight demanded",
                lines);
    }
}
