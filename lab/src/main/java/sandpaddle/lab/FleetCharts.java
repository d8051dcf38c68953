package sandpaddle.lab;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Draws charts of a fleet run from its events: running queries against the limit, verdict delays by gateway, and an
 * outage.
 */
final class FleetCharts {
    private static final double US_PER_SECOND = 1e6;
    private static final long SAMPLE_INTERVAL_US = 250_000;

    private final List<Map<String, String>> events;
    private final long startUs;
    private final String title;

    FleetCharts(List<Map<String, String>> events, String title) {
        this.events = events;
        this.title = title;
        startUs = events.stream()
                .filter(event ->
                        event.get("kind").equals("begin") && event.get("party").equals("script"))
                .mapToLong(FleetCharts::timestampUs)
                .findFirst()
                .orElse(events.isEmpty() ? 0 : timestampUs(events.get(0)));
    }

    private static long timestampUs(Map<String, String> event) {
        return Long.parseLong(event.get("us"));
    }

    void draw(Path folder, OutageAudit outage) throws IOException {
        chartRunning(folder.resolve("running.png"));
        chartVerdictDelays(folder.resolve("verdicts.png"));
        List<double[]> weightBySecond = outage.bySecond();
        if (!weightBySecond.isEmpty()) {
            Charts.lines(
                    folder.resolve("outage.png"),
                    title,
                    "seconds since the outage began",
                    "priority weight per second",
                    List.of(line("demanded", weightBySecond, 1), line("served", weightBySecond, 2)));
        }
    }

    private static Charts.Line line(String name, List<double[]> rows, int column) {
        return new Charts.Line(
                name, rows.stream().map(r -> new double[] {r[0], r[column]}).toArray(double[][]::new));
    }

    /** Running queries at the engines, by the gateway that sent them. */
    private void chartRunning(Path file) throws IOException {
        Map<String, String> gatewayOf = new HashMap<>();
        Map<String, Integer> running = new TreeMap<>();
        Map<String, List<double[]>> lines = new TreeMap<>();
        Map<String, String> open = new HashMap<>();
        double limit = 0;
        long next = startUs;
        for (Map<String, String> event : events) {
            for (; next < timestampUs(event); next += SAMPLE_INTERVAL_US) {
                double x = (next - startUs) / US_PER_SECOND;
                running.forEach((g, n) ->
                        lines.computeIfAbsent(g, k -> new ArrayList<>()).add(new double[] {x, n}));
                lines.computeIfAbsent("~ limit", k -> new ArrayList<>()).add(new double[] {x, limit});
                lines.computeIfAbsent("~ sum", k -> new ArrayList<>()).add(new double[] {x, open.size()});
            }
            String run = event.get("attempt") + " " + event.get("engine");
            switch (event.get("party") + " " + event.get("kind")) {
                case "client ask" -> gatewayOf.put(event.get("attempt"), event.get("gateway"));
                case "engine begin" -> {
                    String gateway = gatewayOf.getOrDefault(event.get("attempt"), "ahead");
                    open.put(run, gateway);
                    running.merge(gateway, 1, Integer::sum);
                }
                case "engine end" -> {
                    String gateway = open.remove(run);
                    if (gateway != null) {
                        running.merge(gateway, -1, Integer::sum);
                    }
                }
                case "script limit" -> {
                    if (event.get("limit").equals("all")) {
                        limit = Double.parseDouble(event.get("running"));
                    }
                }
                default -> {} // not part of the chart
            }
        }
        Charts.lines(file, title, "seconds", "queries running at engines", lines(lines));
    }

    /** Delay of each gateway in receiving a verdict, after the first gateway. */
    private void chartVerdictDelays(Path file) throws IOException {
        Map<String, Long> first = new HashMap<>();
        Map<String, List<double[]>> lines = new TreeMap<>();
        for (Map<String, String> event : events) {
            if (event.get("kind").equals("verdict-begins")) {
                String verdict = event.get("engine") + " " + event.get("outcome");
                Long firstReceivedUs = first.get(verdict);
                if (firstReceivedUs == null || timestampUs(event) - firstReceivedUs > 5_000_000) {
                    first.put(verdict, timestampUs(event));
                    firstReceivedUs = timestampUs(event);
                }
                lines.computeIfAbsent(event.get("gateway"), k -> new ArrayList<>())
                        .add(new double[] {
                            (timestampUs(event) - startUs) / US_PER_SECOND,
                            (timestampUs(event) - firstReceivedUs) / 1000.0
                        });
            }
        }
        if (!lines.isEmpty()) {
            Charts.lines(file, title, "seconds", "ms after the first gateway that received it", lines(lines));
        }
    }

    private static List<Charts.Line> lines(Map<String, List<double[]>> pointsByName) {
        return pointsByName.entrySet().stream()
                .map(entry -> new Charts.Line(entry.getKey(), entry.getValue().toArray(double[][]::new)))
                .toList();
    }
}
