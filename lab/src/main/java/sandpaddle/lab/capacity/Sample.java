package sandpaddle.lab.capacity;

import java.util.Map;

/**
 * One measured value.
 *
 * @param version version of the measured code
 * @param sizes size of the measured system on each axis
 */
record Sample(SeriesName series, String version, Map<Axis, Double> sizes, double value, String unit) {
    Sample {
        sizes = Map.copyOf(sizes);
    }

    double size(Axis axis) {
        return sizes.getOrDefault(axis, 0.0);
    }
}
