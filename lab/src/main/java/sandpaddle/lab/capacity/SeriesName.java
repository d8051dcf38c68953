package sandpaddle.lab.capacity;

/** What a series of measurements is of: the mechanism that ran, the role in it, and the figure. */
record SeriesName(String mechanism, String role, String measure) implements Comparable<SeriesName> {
    private static final String CPU = "cpu";

    /** CPU times scatter more than other figures, so more is allowed them. */
    boolean isCpu() {
        return measure.toLowerCase(java.util.Locale.ROOT).contains(CPU);
    }

    /** The spread of repeats, and the error of a prediction, up to which a figure counts. */
    double tolerance() {
        return isCpu() ? 0.5 : 0.25;
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
