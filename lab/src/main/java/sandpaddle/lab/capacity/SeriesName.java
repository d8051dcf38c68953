package sandpaddle.lab.capacity;

/**
 * Identifies a series of measurements.
 *
 * @param mechanism the measured mechanism
 * @param role the role of the measured process
 * @param measure name of the measured quantity
 */
record SeriesName(String mechanism, String role, String measure) implements Comparable<SeriesName> {
    private static final String CPU = "cpu";
    private static final double CPU_TOLERANCE = 0.5;
    private static final double DEFAULT_TOLERANCE = 0.25;

    /** Whether the series is of CPU time, which varies more than other quantities and so has a larger tolerance. */
    boolean isCpu() {
        return measure.toLowerCase(java.util.Locale.ROOT).contains(CPU);
    }

    /** The largest relative spread of repeats, and relative error of a prediction, that is accepted. */
    double tolerance() {
        return isCpu() ? CPU_TOLERANCE : DEFAULT_TOLERANCE;
    }

    @Override
    public int compareTo(SeriesName other) {
        return toString().compareTo(other.toString());
    }

    @Override
    public String toString() {
        return mechanism + ", " + role + ", " + measure;
    }
}
