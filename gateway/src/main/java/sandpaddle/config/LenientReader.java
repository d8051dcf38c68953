package sandpaddle.config;

import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * Reads an object of the platform's settings whose numbers may be out of bounds. Such a number is clamped, and a
 * warning names the key, its value and the value that is used instead, so that the gateway starts nevertheless. A value
 * of the wrong type remains an error.
 */
final class LenientReader {
    /** Longest duration (us), so that sums of durations do not overflow. */
    static final double MAX_DURATION_US = 365 * 86_400e6;
    /** Largest multiple, share or count, so that products remain finite. */
    static final double MAX_FACTOR = 1e6;

    private static final double MAX_PRINTED_AS_INTEGER = 1e15;

    private final JsonObject object;
    private final List<String> warnings;

    /**
     * Wraps an object.
     *
     * @param object the object to read
     * @param warnings receives a message for each value that is missing or out of bounds
     */
    LenientReader(JsonObject object, List<String> warnings) {
        this.object = object;
        this.warnings = warnings;
    }

    /** The object itself, for values that are read strictly. */
    JsonObject object() {
        return object;
    }

    boolean has(String field) {
        return object.has(field);
    }

    void warn(String field, String problem) {
        warnings.add(object.invalidField(field, problem).getMessage());
    }

    /**
     * A required number, clamped to its bounds.
     *
     * @param consequence appended to the warning about a value out of bounds; may be empty
     */
    double number(String field, double min, double max, String consequence) throws InvalidFieldException {
        return clamp(field, object.number(field), min, max, consequence);
    }

    /** A number; the default, as it is, if absent. */
    double numberOr(String field, double defaultValue, double min, double max, String consequence)
            throws InvalidFieldException {
        Double value = object.numberOrNull(field);
        return value == null ? defaultValue : clamp(field, value, min, max, consequence);
    }

    /** A required integer; one with a fraction is an error. */
    int count(String field, int min, String consequence) throws InvalidFieldException {
        double value = object.number(field);
        if (value != Math.rint(value)) {
            throw object.invalidField(field, "is " + format(value) + "; expected an integer");
        }
        return (int) clamp(field, value, min, Integer.MAX_VALUE, consequence);
    }

    /** A required duration (us). */
    long micros(String field) throws InvalidFieldException {
        object.number(field);
        return microsOr(field, 0, MAX_DURATION_US, "");
    }

    /** A duration (us); the default if absent. */
    long microsOr(String field, long defaultUs) throws InvalidFieldException {
        return microsOr(field, defaultUs, MAX_DURATION_US, "");
    }

    /** A duration (us) of at most {@code maxUs}; the default if absent. */
    long microsOr(String field, long defaultUs, double maxUs, String consequence) throws InvalidFieldException {
        return (long) numberOr(field, defaultUs, 0, maxUs, consequence);
    }

    /** A boolean; the default, with a warning, if absent. */
    boolean flagOr(String field, boolean defaultValue, String consequence) throws InvalidFieldException {
        if (!has(field)) {
            warn(field, "is missing: " + consequence);
        }
        return object.flagOr(field, defaultValue);
    }

    /** Maps a string to the value that it stands for; the default, with a warning, if it is absent or unknown. */
    <T> T enumOr(String field, Map<String, T> values, T defaultValue, String consequence) throws InvalidFieldException {
        String text = object.stringOrNull(field);
        if (text == null || !values.containsKey(text)) {
            warn(
                    field,
                    (text == null
                                    ? "is missing: "
                                    : "has the unknown value '" + text + "'; expected one of "
                                            + new TreeSet<>(values.keySet()) + ": ")
                            + consequence);
            return defaultValue;
        }
        return values.get(text);
    }

    private double clamp(String field, double value, double min, double max, String consequence) {
        double clamped = Math.max(min, Math.min(max, value));
        if (clamped != value) {
            String suffix = consequence.isEmpty() ? "" : ", " + consequence;
            warn(
                    field,
                    "is " + format(value) + "; expected "
                            + (value < min ? format(min) + " or more" : format(max) + " or less") + ": read as "
                            + format(clamped) + suffix);
        }
        return clamped;
    }

    /** A number as it appears in a warning: without a fraction if it has none. */
    static String format(double number) {
        return number == Math.rint(number) && Math.abs(number) < MAX_PRINTED_AS_INTEGER
                ? String.valueOf((long) number)
                : String.valueOf(number);
    }
}
