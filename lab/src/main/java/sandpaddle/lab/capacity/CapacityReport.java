package sandpaddle.lab.capacity;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.TreeMap;
import java.util.stream.Collectors;

/** Projections of the measurements, and of the limits in the code, to the planned fleet. */
record CapacityReport(
        List<ProjectionRow> rows,
        List<Prediction> predictions,
        List<MissingProjection> missingProjections,
        List<FaultRun> faults) {
    /** A series without a projection, with the reason. */
    record MissingProjection(SeriesName series, Budget.SizeLine line, String reason) {}

    /** Series that must have a projection; one without any measurement is reported as missing. */
    private static final List<SeriesName> EXPECTED = expected();

    private static final String MECHANISM = "star";

    private static List<SeriesName> expected() {
        List<SeriesName> all = new ArrayList<>();
        for (String kind : List.of("choice-cpu", "active-cpu", "resting-heap", "open-heap", "first-list-time")) {
            all.add(new SeriesName(Measurements.PATH, "gateway", kind));
        }
        for (String figure : List.of("gatewayBytesPerSecond", "gatewayCpuCores", "gatewayMemoryMb")) {
            all.add(new SeriesName(MECHANISM, Measurements.WORST_GATEWAY, figure));
        }
        for (String figure : List.of("machineBytesPerSecond", "machineCpuCores", "machineMemoryMb")) {
            all.add(new SeriesName(MECHANISM, Measurements.WORST_MACHINE, figure));
        }
        for (String figure : List.of("configLastMs", "leaderLastMs", "successorLastMs")) {
            all.add(new SeriesName(MECHANISM, Measurements.FLEET, figure));
        }
        for (String figure :
                List.of("snapshotBytes", "snapshotMs", "agreementMsMedian", "agreementMsP99", "diskBytesPerSecond")) {
            all.add(new SeriesName(MECHANISM, "leader", figure));
        }
        return all;
    }

    static CapacityReport of(Measurements measurements) throws CodeLimits.MissingLimitException {
        Map<SeriesName, List<Sample>> series = measurements.samples().stream()
                .collect(Collectors.groupingBy(Sample::series, TreeMap::new, Collectors.toList()));
        CapacityReport report =
                new CapacityReport(new ArrayList<>(), new ArrayList<>(), new ArrayList<>(), measurements.faults());
        series.forEach(report::add);
        for (SeriesName name : EXPECTED) {
            if (!series.containsKey(name)) {
                report.missingProjections.add(new MissingProjection(
                        name, Budgets.of(name).map(Budget::line).orElse(Budget.SizeLine.NONE), "no measurement"));
            }
        }
        report.rows.addAll(CodeLimits.rows());
        return report;
    }

    private void add(SeriesName name, List<Sample> samples) {
        Optional<Budget> budget = Budgets.of(name);
        if (budget.isEmpty()) {
            return;
        }
        try {
            Model model = SeriesAnalysis.of(name, samples);
            predictions.addAll(model.predictions());
            rows.add(row(model, budget.get()));
        } catch (InsufficientDataException e) {
            missingProjections.add(new MissingProjection(name, budget.get().line(), e.getMessage()));
        }
    }

    private static ProjectionRow row(Model model, Budget budget) {
        Fit.Estimate estimate = model.projected().estimate();
        double factor = budget.factor();
        boolean measured = model.projected().basis() == Model.Basis.MEASURED;
        return new ProjectionRow(
                budget.section(),
                model.series().role(),
                model.series().measure(),
                budget.label(),
                budget.unit(),
                model.form(),
                model.formHolds(),
                factor * estimate.value(),
                scaled(estimate.low(), factor),
                scaled(estimate.high(), factor),
                budget.maximum(),
                budget.line(),
                budget.mechanism(),
                measured ? ProjectionRow.Basis.MEASURED : ProjectionRow.Basis.EXTRAPOLATED,
                note(model));
    }

    private static OptionalDouble scaled(OptionalDouble value, double factor) {
        return value.isPresent() ? OptionalDouble.of(factor * value.getAsDouble()) : value;
    }

    private static String note(Model model) {
        List<String> parts = new ArrayList<>(model.notes());
        if (!model.held().isEmpty()) {
            parts.add(0, "held: " + SeriesAnalysis.text(model.held()));
        }
        return String.join("; ", parts);
    }

    /** The usable rows that exceed their budget, in descending order of the ratio. */
    List<ProjectionRow> overBudget() {
        return rows.stream()
                .filter(r -> r.isUsable() && r.ratio().isPresent() && r.ratio().getAsDouble() > 1)
                .sorted(Comparator.comparingDouble(
                                (ProjectionRow r) -> -r.ratio().getAsDouble())
                        .thenComparing(ProjectionRow::measure))
                .toList();
    }

    /** The usable row with the largest ratio to its budget, of a line of the planned size. */
    Optional<ProjectionRow> worst(Budget.SizeLine line) {
        return rows.stream()
                .filter(r -> r.line() == line
                        && r.isUsable()
                        && r.ratio().isPresent()
                        && Double.isFinite(r.ratio().getAsDouble()))
                .max(Comparator.comparingDouble((ProjectionRow r) -> r.ratio().getAsDouble())
                        .thenComparing(ProjectionRow::measure));
    }
}
