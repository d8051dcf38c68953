package sandpaddle.lab.capacity;

import java.util.List;
import java.util.Map;
import java.util.SortedMap;

/**
 * The model of one series: a tested form, or the values measured at the planned size itself.
 *
 * @param fit the fitted form; null only in the intermediate model of a measured planned size
 * @param predictions the tests of the form
 * @param projected the value at the planned size
 * @param held the axes that were held constant, with the sizes that the projection is for
 * @param notes which measurements were left out, and why
 */
record Model(
        SeriesName series,
        String unit,
        Fit fit,
        List<Prediction> predictions,
        Projection projected,
        SortedMap<Axis, Double> held,
        List<String> notes) {
    /** Whether the planned size itself was measured, or the projection extrapolates beyond the measured sizes. */
    enum Basis {
        MEASURED,
        EXTRAPOLATED
    }

    /** The value at the planned size with its bounds: a confidence interval, or the range of the measured repeats. */
    record Projection(Map<Axis, Double> sizes, Fit.Estimate estimate, Basis basis) {}

    /** The form as text, with the first slope and its standard error. */
    String form() {
        if (fit.form().terms().isEmpty()) {
            return fit.form().toString();
        }
        String slope = FigureFormat.format(fit.slope(0));
        String error = fit.slopeStandardError(0).isPresent()
                ? " +- " + FigureFormat.format(fit.slopeStandardError(0).getAsDouble())
                : "";
        return fit.form() + " (" + slope + error + " " + unit + ")";
    }

    /** Whether every prediction was within tolerance and the projection is possible, that is not negative. */
    boolean formHolds() {
        return predictions.stream().allMatch(Prediction::holds)
                && projected.estimate().value() >= 0;
    }
}
