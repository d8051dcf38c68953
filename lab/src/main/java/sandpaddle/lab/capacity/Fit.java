package sandpaddle.lab.capacity;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import org.apache.commons.math3.distribution.TDistribution;
import org.apache.commons.math3.linear.MatrixUtils;
import org.apache.commons.math3.linear.RealMatrix;
import org.apache.commons.math3.linear.RealVector;
import org.apache.commons.math3.linear.SingularMatrixException;
import org.apache.commons.math3.stat.regression.OLSMultipleLinearRegression;

/** A model form fitted to samples by ordinary least squares. */
final class Fit {
    /** A fitted value with its 95% confidence interval; the bounds are empty if there were too few samples. */
    record Estimate(double value, OptionalDouble low, OptionalDouble high) {}

    private static final double UPPER_QUANTILE = 0.975; // of a two-sided 95% interval
    private static final double RELATIVE_RESIDUAL_FLOOR = 1e-9; // smaller residuals, relative to the values, count as 0

    private final Form form;
    private final double[] scales; // by term; keep the matrix well conditioned for sizes in the millions
    private final double[] coefficients;
    private final RealMatrix variance;
    private final double residualSumOfSquares;
    private final double residualFloor;
    private final int samples;

    private Fit(
            Form form,
            double[] scales,
            double[] coefficients,
            RealMatrix variance,
            double residualSumOfSquares,
            double residualFloor,
            int samples) {
        this.form = form;
        this.scales = scales;
        this.coefficients = coefficients;
        this.variance = variance;
        this.residualSumOfSquares = residualSumOfSquares;
        this.residualFloor = residualFloor;
        this.samples = samples;
    }

    /**
     * Fits a form.
     *
     * @throws InsufficientDataException if the sizes of the samples do not determine every slope
     */
    static Fit of(Form form, List<Sample> samples) throws InsufficientDataException {
        int terms = form.terms().size();
        if (samples.size() < terms + 1) {
            throw new InsufficientDataException(form + " needs " + (terms + 1) + " samples, not " + samples.size());
        }
        double[] values = samples.stream().mapToDouble(Sample::value).toArray();
        double residualFloor = RELATIVE_RESIDUAL_FLOOR
                        * Arrays.stream(values).map(value -> value * value).sum()
                + Double.MIN_NORMAL;
        if (terms == 0) {
            return constant(values, residualFloor);
        }
        double[][] rows = samples.stream().map(s -> form.row(s.sizes())).toArray(double[][]::new);
        double[] scales = new double[terms];
        for (int t = 0; t < terms; t++) {
            int column = t;
            scales[t] = Math.max(
                    Double.MIN_NORMAL,
                    Arrays.stream(rows)
                            .mapToDouble(row -> Math.abs(row[column]))
                            .max()
                            .orElse(1));
            Arrays.stream(rows).forEach(row -> row[column] /= scales[column]);
        }
        OLSMultipleLinearRegression regression = new OLSMultipleLinearRegression();
        try {
            regression.newSampleData(values, rows);
            double residualSumOfSquares = regression.calculateResidualSumOfSquares();
            return new Fit(
                    form,
                    scales,
                    regression.estimateRegressionParameters(),
                    MatrixUtils.createRealMatrix(regression.estimateRegressionParametersVariance()),
                    residualSumOfSquares,
                    residualFloor,
                    values.length);
        } catch (SingularMatrixException e) {
            throw new InsufficientDataException(form + " is not determined by the sizes that were measured");
        }
    }

    private static Fit constant(double[] values, double residualFloor) {
        double mean = Arrays.stream(values).average().orElse(0);
        double residualSumOfSquares = Arrays.stream(values)
                .map(value -> (value - mean) * (value - mean))
                .sum();
        return new Fit(
                Form.CONSTANT,
                new double[0],
                new double[] {mean},
                MatrixUtils.createRealMatrix(new double[][] {{1.0 / values.length}}),
                residualSumOfSquares,
                residualFloor,
                values.length);
    }

    Form form() {
        return form;
    }

    /** The slope of a term, by its index. */
    double slope(int term) {
        return coefficients[term + 1] / scales[term];
    }

    /** The standard error of a slope; empty if there are no more samples than coefficients. */
    OptionalDouble slopeStandardError(int term) {
        int degreesOfFreedom = samples - coefficients.length;
        return degreesOfFreedom == 0
                ? OptionalDouble.empty()
                : OptionalDouble.of(
                        Math.sqrt(residualSumOfSquares / degreesOfFreedom * variance.getEntry(term + 1, term + 1))
                                / scales[term]);
    }

    /** The fitted value at these sizes, with its confidence interval. */
    Estimate estimateAt(Map<Axis, Double> sizes) {
        double[] terms = form.row(sizes);
        double[] row = new double[coefficients.length];
        row[0] = 1;
        for (int t = 0; t < terms.length; t++) {
            row[t + 1] = terms[t] / scales[t];
        }
        RealVector vector = MatrixUtils.createRealVector(row);
        double value = vector.dotProduct(MatrixUtils.createRealVector(coefficients));
        int degreesOfFreedom = samples - coefficients.length;
        if (degreesOfFreedom == 0) {
            return new Estimate(value, OptionalDouble.empty(), OptionalDouble.empty());
        }
        double standardError = Math.sqrt(
                Math.max(0, residualSumOfSquares / degreesOfFreedom * vector.dotProduct(variance.operate(vector))));
        double halfWidth =
                new TDistribution(degreesOfFreedom).inverseCumulativeProbability(UPPER_QUANTILE) * standardError;
        return new Estimate(value, OptionalDouble.of(value - halfWidth), OptionalDouble.of(value + halfWidth));
    }

    /** The Bayesian information criterion (Schwarz, 1978): lower is better; the number of terms is penalized. */
    double bayesianInformationCriterion() {
        return samples * Math.log(Math.max(residualSumOfSquares, residualFloor) / samples)
                + coefficients.length * Math.log(samples);
    }
}
