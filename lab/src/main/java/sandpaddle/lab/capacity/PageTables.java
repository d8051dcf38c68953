package sandpaddle.lab.capacity;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.TreeMap;
import java.util.function.BinaryOperator;
import java.util.stream.Collectors;
import sandpaddle.lab.capacity.Budget.Section;
import sandpaddle.lab.capacity.Budget.SizeLine;

/** Renders the tables of the capacity page as Markdown, by name. */
final class PageTables {
    private final CapacityReport report;

    private PageTables(CapacityReport report) {
        this.report = report;
    }

    static Map<String, List<String>> of(CapacityReport report) {
        PageTables tables = new PageTables(report);
        Map<String, List<String>> all = new LinkedHashMap<>();
        all.put("size", tables.size());
        for (Section section : Section.values()) {
            all.put(section.table(), section == Section.CODE ? tables.limits() : tables.section(section));
        }
        all.put("failures", tables.failures());
        all.put("predictions", tables.predictions());
        all.put("no-ground", tables.missingProjections());
        all.put("order", tables.order());
        return all;
    }

    private static List<String> table(String... head) {
        List<String> lines = new ArrayList<>();
        lines.add(line(head));
        lines.add("|" + " --- |".repeat(head.length));
        return lines;
    }

    private static String line(String... cells) {
        return "| " + String.join(" | ", cells) + " |";
    }

    private static String withUnit(OptionalDouble value, String unit) {
        return value.isEmpty() || !Double.isFinite(value.getAsDouble())
                ? "-"
                : FigureFormat.format(value.getAsDouble()) + " " + unit;
    }

    private static String ratio(ProjectionRow row) {
        return row.ratio().isEmpty() || !Double.isFinite(row.ratio().getAsDouble())
                ? "-"
                : FigureFormat.format(row.ratio().getAsDouble());
    }

    private static String range(ProjectionRow row) {
        return row.low().isEmpty() || row.high().isEmpty()
                ? "-"
                : FigureFormat.format(row.low().getAsDouble()) + " to "
                        + FigureFormat.format(row.high().getAsDouble());
    }

    private static String form(ProjectionRow row) {
        return row.formHolds() ? row.form() : row.form() + " - **wrong**";
    }

    /** The planned size, line by line, with the row that has the largest ratio to its budget. */
    private List<String> size() {
        List<String> lines = table(
                "line",
                "whole",
                "by gateway",
                "worst against its budget",
                "projected",
                "budget",
                "ratio",
                "carried by");
        lines.add(size(SizeLine.GATEWAYS, "gateways", FigureFormat.format(PlannedFleet.GATEWAYS), "-"));
        lines.add(size(
                SizeLine.ENGINES,
                "engines",
                FigureFormat.format(PlannedFleet.ENGINES),
                FigureFormat.format((double) PlannedFleet.ENGINES / PlannedFleet.GATEWAYS)));
        lines.add(size(
                SizeLine.CONNECTIONS,
                "client connections",
                FigureFormat.format((double) PlannedFleet.GATEWAYS * PlannedFleet.CONNECTIONS_PER_GATEWAY),
                FigureFormat.format(PlannedFleet.CONNECTIONS_PER_GATEWAY)));
        lines.add(size(
                SizeLine.STATEMENTS,
                "statements a second",
                FigureFormat.format((double) PlannedFleet.GATEWAYS * PlannedFleet.STATEMENTS_PER_GATEWAY),
                FigureFormat.format(PlannedFleet.STATEMENTS_PER_GATEWAY)));
        lines.add(size(
                SizeLine.PRIMARY,
                "changes of primary",
                "over within " + FigureFormat.format(PlannedFleet.PRIMARY_MS) + " ms",
                "-"));
        lines.add(size(
                SizeLine.CONFIGURATION,
                "changes of configuration",
                FigureFormat.format(PlannedFleet.CHANGES_PER_SECOND) + " a second, in force within "
                        + FigureFormat.format(PlannedFleet.CONFIGURATION_MS) + " ms",
                "-"));
        lines.add(size(
                SizeLine.CONTROL,
                "for control",
                FigureFormat.format(PlannedFleet.CONTROL_MACHINES) + " machines",
                FigureFormat.format(PlannedFleet.CONTROL_CORES) + " cores, "
                        + FigureFormat.format(PlannedFleet.CONTROL_MB) + " MB, "
                        + FigureFormat.format(PlannedFleet.CONTROL_BYTES_PER_SECOND) + " bytes/s"));
        lines.add(size(
                SizeLine.FAILURES,
                "failures",
                FigureFormat.format(PlannedFleet.MACHINE_FAILURES_PER_DAY)
                        + " machines and " + FigureFormat.format(PlannedFleet.RESTARTS_PER_DAY) + " restarts a day; "
                        + FigureFormat.format(PlannedFleet.REGIONS) + " regions, "
                        + FigureFormat.format(PlannedFleet.ZONES)
                        + " zones of "
                        + FigureFormat.format(PlannedFleet.GATEWAYS_PER_ZONE) + " gateways and "
                        + FigureFormat.format(PlannedFleet.ENGINES_PER_ZONE) + " engines",
                "-"));
        return lines;
    }

    private String size(SizeLine line, String name, String whole, String each) {
        Optional<ProjectionRow> row = report.worst(line);
        String missing = report.missingProjections().stream()
                .filter(n -> n.line() == line)
                .map(n -> n.series().measure())
                .distinct()
                .collect(Collectors.joining(", "));
        String none = missing.isEmpty() ? "" : "no ground: " + missing;
        if (row.isEmpty()) {
            return line(name, whole, each, none.isEmpty() ? "-" : none, "-", "-", "-", "-");
        }
        ProjectionRow r = row.get();
        String what = r.section() == Section.CODE ? "`" + r.measure() + "`" : r.label();
        return line(
                name,
                whole,
                each,
                what + (none.isEmpty() ? "" : " (" + none + ")"),
                withUnit(OptionalDouble.of(r.projected()), r.unit()),
                withUnit(r.budget(), r.unit()),
                ratio(r),
                r.mechanism());
    }

    private List<String> section(Section section) {
        List<ProjectionRow> rows =
                report.rows().stream().filter(r -> r.section() == section).toList();
        if (rows.isEmpty()) {
            return List.of("Nothing was measured.");
        }
        List<String> lines =
                table("figure", "form", "projected", "range", "budget", "ratio", "carried by", "ground", "note");
        for (ProjectionRow r : rows) {
            lines.add(line(
                    r.label(),
                    form(r),
                    withUnit(OptionalDouble.of(r.projected()), r.unit()),
                    range(r),
                    withUnit(r.budget(), r.unit()),
                    ratio(r),
                    r.mechanism(),
                    r.basis().text(),
                    r.note().isEmpty() ? "-" : r.note()));
        }
        return lines;
    }

    private List<String> limits() {
        List<String> lines = table("limit", "value", "needed", "ratio", "what is over it", "for");
        report.rows().stream()
                .filter(r -> r.section() == Section.CODE)
                .forEach(r -> lines.add(line(
                        "`" + packageOf(r) + r.measure() + "`",
                        withUnit(r.budget(), r.unit()),
                        withUnit(OptionalDouble.of(r.projected()), r.unit()),
                        ratio(r),
                        r.note(),
                        r.label())));
        return lines;
    }

    private static String packageOf(ProjectionRow row) {
        String owner = row.mechanism().substring("sandpaddle.".length());
        return owner.substring(0, owner.lastIndexOf('.') + 1);
    }

    /** For each fault and mechanism, the maximum over the runs with the most gateways. */
    private List<String> failures() {
        if (report.faults().isEmpty()) {
            return List.of("No run with a fault was committed.");
        }
        List<String> lines = table("fault", "mechanism", "gateways", "runs", "figure", "worst of the runs");
        Map<String, List<FaultRun>> byFault = report.faults().stream()
                .collect(Collectors.groupingBy(
                        f -> f.fault() + " | " + f.mechanism(), TreeMap::new, Collectors.toList()));
        byFault.forEach((name, runs) -> {
            int largest = runs.stream().mapToInt(FaultRun::gateways).max().orElseThrow();
            List<FaultRun> largestRuns =
                    runs.stream().filter(r -> r.gateways() == largest).toList();
            largestRuns.stream()
                    .flatMap(r -> r.figures().keySet().stream())
                    .distinct()
                    .sorted()
                    .forEach(figure -> lines.add(line(
                            name,
                            FigureFormat.format(largest),
                            FigureFormat.format(largestRuns.size()),
                            figure,
                            FigureFormat.format(largestRuns.stream()
                                    .filter(r -> r.figures().containsKey(figure))
                                    .mapToDouble(r -> r.figures().get(figure))
                                    .max()
                                    .orElseThrow()))));
        });
        return lines;
    }

    private List<String> predictions() {
        if (report.predictions().isEmpty()) {
            return List.of("No form could be tested.");
        }
        List<String> lines = table("series", "form", "left out", "predicted", "measured", "error", "form");
        for (Prediction p : worstPredictions()) {
            lines.add(line(
                    p.series().toString(),
                    p.form().toString(),
                    SeriesAnalysis.text(p.sizes()),
                    FigureFormat.format(p.predicted()),
                    FigureFormat.format(p.measured()),
                    FigureFormat.format(100 * p.error()) + "%",
                    p.holds() ? "holds" : "**wrong**"));
        }
        return lines;
    }

    /** The prediction with the largest error, for each series and axis. */
    private Collection<Prediction> worstPredictions() {
        Map<String, Prediction> worst = new LinkedHashMap<>();
        report.predictions()
                .forEach(p -> worst.merge(
                        p.series() + " by " + p.axis(),
                        p,
                        BinaryOperator.maxBy(Comparator.comparingDouble(Prediction::error))));
        return worst.values();
    }

    private List<String> missingProjections() {
        if (report.missingProjections().isEmpty()) {
            return List.of("None.");
        }
        Map<String, List<SeriesName>> byReason = report.missingProjections().stream()
                .collect(Collectors.groupingBy(
                        n -> n.series().role() + " | " + n.reason(),
                        TreeMap::new,
                        Collectors.mapping(CapacityReport.MissingProjection::series, Collectors.toList())));
        List<String> lines = table("role", "why there is no projection", "figures");
        byReason.forEach((reason, series) -> lines.add(line(
                reason,
                series.stream().sorted().map(SeriesName::measure).distinct().collect(Collectors.joining(", ")))));
        return lines;
    }

    private List<String> order() {
        List<String> lines =
                table("place", "figure", "projected", "budget", "ratio", "ground", "what is over it", "carried by");
        int place = 0;
        for (ProjectionRow r : report.overBudget()) {
            String what = r.section() == Section.CODE ? "`" + r.measure() + "`" : r.label();
            lines.add(line(
                    Integer.toString(++place),
                    what,
                    withUnit(OptionalDouble.of(r.projected()), r.unit()),
                    withUnit(r.budget(), r.unit()),
                    ratio(r),
                    r.basis().text(),
                    r.section() == Section.CODE ? r.note() : "-",
                    r.mechanism()));
        }
        return lines;
    }
}
