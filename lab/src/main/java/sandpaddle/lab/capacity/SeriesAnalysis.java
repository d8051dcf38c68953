package sandpaddle.lab.capacity;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.apache.commons.math3.stat.StatUtils;

/**
 * Builds the {@link Model} of the samples of one series. The form is selected on the smaller sizes alone, by the
 * Bayesian information criterion. It is then tested on each axis by predicting the largest size from a fit to the
 * smaller ones.
 */
final class SeriesAnalysis {
    private static final int MIN_SIZES = 3; // two to fit a slope, and one to test it
    private static final int MIN_REPEATS = 5; // of a point, to estimate its spread
    private static final double MIN_CRITERION_DIFFERENCE = 6; // strong evidence for the form with more terms
    private static final double MEDIAN = 50;

    private final SeriesName series;
    private final List<String> notes = new ArrayList<>();
    private final SortedMap<Axis, Double> held = new TreeMap<>();
    private List<Sample> samples;

    private SeriesAnalysis(SeriesName series, List<Sample> samples) {
        this.series = series;
        this.samples = sorted(samples);
    }

    /** Sorts samples independently of the order of files, so that floating-point sums and rounding are reproducible. */
    private static List<Sample> sorted(List<Sample> samples) {
        return samples.stream()
                .sorted(Comparator.comparing((Sample s) -> new TreeMap<>(s.sizes()).toString())
                        .thenComparingDouble(Sample::value))
                .toList();
    }

    /**
     * Builds the model of samples of one series.
     *
     * @throws InsufficientDataException if the samples do not support a projection
     */
    static Model of(SeriesName series, List<Sample> samples) throws InsufficientDataException {
        return new SeriesAnalysis(series, samples).model();
    }

    private Model model() throws InsufficientDataException {
        String unit = oneUnit();
        keepLargestVersion();
        removeScatteredPoints();
        Set<Axis> varying = holdAxes();
        noteFewRepeats();
        Optional<Model> measured = atPlannedSize(unit);
        if (varying.isEmpty() && measured.isEmpty()) {
            throw new InsufficientDataException("too few sizes: " + measuredSizes());
        }
        List<Sample> smaller = samples;
        for (Axis axis : varying) {
            smaller = below(smaller, axis);
        }
        Form form = varying.isEmpty() ? Form.CONSTANT : chooseForm(varying, smaller);
        Fit fit = Fit.of(form, samples);
        List<Prediction> predictions = new ArrayList<>();
        for (Axis axis : varying) {
            predictions.addAll(predictions(form, axis));
        }
        Model.Projection projected = measured.isPresent()
                ? measured.get().projected()
                : new Model.Projection(plannedSizes(), fit.estimateAt(plannedSizes()), Model.Basis.EXTRAPOLATED);
        return new Model(series, unit, fit, predictions, projected, held, notes);
    }

    private String oneUnit() throws InsufficientDataException {
        Set<String> units = samples.stream().map(Sample::unit).collect(Collectors.toCollection(TreeSet::new));
        if (units.size() > 1) {
            throw new InsufficientDataException("measured in different units: " + String.join(", ", units));
        }
        return units.iterator().next();
    }

    /** Keeps the version with the most points, because different versions of the code are not fitted together. */
    private void keepLargestVersion() {
        Map<String, List<Sample>> versions =
                samples.stream().collect(Collectors.groupingBy(Sample::version, TreeMap::new, Collectors.toList()));
        String kept = versions.entrySet().stream()
                .max(Comparator.comparingLong(e -> points(e.getValue()).size()))
                .orElseThrow()
                .getKey();
        versions.forEach((version, versionSamples) -> {
            if (!version.equals(kept)) {
                notes.add(versionSamples.size() + " of version " + version + " left out beside version " + kept);
            }
        });
        samples = versions.get(kept);
    }

    private static Map<Map<Axis, Double>, List<Sample>> points(List<Sample> samples) {
        return samples.stream().collect(Collectors.groupingBy(Sample::sizes));
    }

    /** Removes points whose repeats scatter by more than the tolerance of a prediction. */
    private void removeScatteredPoints() throws InsufficientDataException {
        List<Sample> kept = new ArrayList<>();
        points(samples).forEach((sizes, repeats) -> {
            double[] values = repeats.stream().mapToDouble(Sample::value).toArray();
            double halfRange = (StatUtils.max(values) - StatUtils.min(values)) / 2;
            double median = StatUtils.percentile(values, MEDIAN);
            if (halfRange <= series.tolerance() * Math.abs(median)) {
                kept.addAll(repeats);
            } else {
                notes.add("not measured at " + text(sizes) + ": repeats scatter from "
                        + FigureFormat.format(StatUtils.min(values)) + " to "
                        + FigureFormat.format(StatUtils.max(values)));
            }
        });
        notes.sort(Comparator.naturalOrder());
        samples = sorted(kept);
        if (samples.isEmpty()) {
            throw new InsufficientDataException(String.join("; ", notes));
        }
    }

    /**
     * Holds axes with too few sizes to test a slope, and conditions, at their most frequent size. Returns the axes that
     * vary.
     */
    private Set<Axis> holdAxes() {
        Set<Axis> axes = samples.stream()
                .flatMap(s -> s.sizes().keySet().stream())
                .collect(Collectors.toCollection(TreeSet::new));
        Optional<Axis> axisToHold = nextToHold(axes);
        while (axisToHold.isPresent()) { // removing samples for one axis may leave too few sizes on another
            hold(axisToHold.get());
            axisToHold = nextToHold(axes);
        }
        axes.removeIf(axis -> {
            if (!canVary(axis)) {
                held.put(axis, samples.get(0).size(axis));
            }
            return !canVary(axis);
        });
        return axes;
    }

    private void noteFewRepeats() {
        int fewest =
                points(samples).values().stream().mapToInt(List::size).min().orElse(0);
        if (fewest < MIN_REPEATS) {
            notes.add("fewest repeats of a point: " + fewest);
        }
    }

    private boolean canVary(Axis axis) {
        return axis.plannedSize().isPresent()
                && samples.stream().mapToDouble(s -> s.size(axis)).distinct().count() >= MIN_SIZES;
    }

    private Map<Double, Long> counts(Axis axis) {
        return samples.stream().collect(Collectors.groupingBy(s -> s.size(axis), TreeMap::new, Collectors.counting()));
    }

    private long mostFrequent(Axis axis) {
        return counts(axis).values().stream().mapToLong(Long::longValue).max().orElse(0);
    }

    /** The axis that loses the fewest samples when held, of those that have two sizes or are conditions. */
    private Optional<Axis> nextToHold(Set<Axis> axes) {
        return axes.stream()
                .filter(a -> !canVary(a) && counts(a).size() > 1)
                .max(Comparator.comparingLong(this::mostFrequent));
    }

    /** Removes the samples that are not at the most frequent size on the axis. */
    private void hold(Axis axis) {
        Map<Double, Long> counts = counts(axis);
        double kept = counts.entrySet().stream()
                .max(Map.Entry.comparingByValue())
                .orElseThrow()
                .getKey();
        notes.add(counts.size() + " sizes of " + axis.symbol() + " are too few: held at " + FigureFormat.format(kept));
        samples = samples.stream().filter(s -> s.size(axis) == kept).toList();
    }

    /** The planned sizes on the axes that vary, and the sizes of the held axes. */
    private Map<Axis, Double> plannedSizes() {
        Map<Axis, Double> sizes = new EnumMap<>(Axis.class);
        samples.get(0)
                .sizes()
                .keySet()
                .forEach(a -> sizes.put(
                        a, held.containsKey(a) ? held.get(a) : a.plannedSize().orElseThrow()));
        return sizes;
    }

    /** The model if the planned size itself was measured: median and range of the repeats, without a form. */
    private Optional<Model> atPlannedSize(String unit) {
        Map<Axis, Double> plannedSizes = plannedSizes();
        double[] values = samples.stream()
                .filter(s -> s.sizes().equals(plannedSizes))
                .mapToDouble(Sample::value)
                .toArray();
        boolean heldOffPlannedSize = held.entrySet().stream()
                .anyMatch(e -> e.getKey().plannedSize().isPresent()
                        && !e.getKey().plannedSize().get().equals(e.getValue()));
        if (values.length == 0 || heldOffPlannedSize) {
            return Optional.empty();
        }
        Fit.Estimate estimate = new Fit.Estimate(
                StatUtils.percentile(values, MEDIAN),
                OptionalDouble.of(StatUtils.min(values)),
                OptionalDouble.of(StatUtils.max(values)));
        return Optional.of(new Model(
                series,
                unit,
                null,
                List.of(),
                new Model.Projection(plannedSizes, estimate, Model.Basis.MEASURED),
                held,
                notes));
    }

    private static double largest(List<Sample> source, Axis axis) {
        return source.stream().mapToDouble(s -> s.size(axis)).max().orElseThrow();
    }

    private List<Sample> below(List<Sample> source, Axis axis) {
        double largest = largest(samples, axis);
        return source.stream().filter(s -> s.size(axis) < largest).toList();
    }

    private Form chooseForm(Set<Axis> varying, List<Sample> smaller) throws InsufficientDataException {
        Form best = Form.CONSTANT;
        double criterion = Fit.of(best, smaller).bayesianInformationCriterion();
        for (Form form : Form.candidates(varying)) {
            boolean distinguishable = form.axes().stream()
                    .allMatch(a -> smaller.stream()
                                    .mapToDouble(s -> s.size(a))
                                    .distinct()
                                    .count()
                            >= (form.isSquare() ? MIN_SIZES : MIN_SIZES - 1));
            if (!distinguishable || form.equals(best)) {
                continue;
            }
            try {
                double candidate = Fit.of(form, smaller).bayesianInformationCriterion();
                if (candidate < criterion - MIN_CRITERION_DIFFERENCE) {
                    best = form;
                    criterion = candidate;
                }
            } catch (InsufficientDataException e) {
                continue; // the smaller sizes do not determine this form
            }
        }
        return best;
    }

    private List<Prediction> predictions(Form form, Axis axis) throws InsufficientDataException {
        Fit fit = Fit.of(form, below(samples, axis));
        double largest = largest(samples, axis);
        List<Sample> leftOut =
                samples.stream().filter(s -> s.size(axis) == largest).toList();
        List<Prediction> predictions = new ArrayList<>();
        points(leftOut)
                .forEach((sizes, repeats) -> predictions.add(new Prediction(
                        series,
                        form,
                        axis,
                        sizes,
                        fit.estimateAt(sizes).value(),
                        StatUtils.percentile(
                                repeats.stream().mapToDouble(Sample::value).toArray(), MEDIAN))));
        predictions.sort(Comparator.comparing(p -> text(p.sizes())));
        return predictions;
    }

    private String measuredSizes() {
        String sizesText = points(samples).keySet().stream()
                .map(SeriesAnalysis::text)
                .sorted()
                .collect(Collectors.joining("; "));
        return sizesText + (notes.isEmpty() ? "" : " (" + String.join("; ", notes) + ")");
    }

    /** Formats sizes as text, in the order of the axes. */
    static String text(Map<Axis, Double> sizes) {
        return new TreeMap<>(sizes)
                .entrySet().stream()
                        .map(e -> e.getKey().symbol() + " " + FigureFormat.format(e.getValue()))
                        .collect(Collectors.joining(", "));
    }
}
