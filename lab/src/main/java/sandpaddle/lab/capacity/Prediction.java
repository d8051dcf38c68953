package sandpaddle.lab.capacity;

import java.util.Map;

/** A hold-out test of a form: the fit to all smaller sizes on an axis predicts the value at the largest size. */
record Prediction(SeriesName series, Form form, Axis axis, Map<Axis, Double> sizes, double predicted, double measured) {
    /** The relative prediction error: a fraction of the measured value. */
    double error() {
        double difference = Math.abs(predicted - measured);
        return difference == 0 ? 0 : difference / Math.max(Math.abs(measured), Double.MIN_NORMAL);
    }

    /** Whether the error at the left-out size is within the tolerance of the series. */
    boolean holds() {
        return error() <= series.tolerance();
    }
}
