package sandpaddle.decision.model;

/** Arithmetic shared by the parts of the module. */
public final class Numbers {
    private Numbers() {}

    /** Returns the value limited to the range from {@code min} to {@code max}. */
    public static double clamp(double value, double min, double max) {
        return Math.max(min, Math.min(max, value));
    }
}
