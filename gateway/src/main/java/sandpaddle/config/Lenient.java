package sandpaddle.config;

import java.util.List;
import java.util.Map;

/**
 * An object of the settings in which a number may be odd: it is brought into bounds in which the decisions have a
 * meaning, and a warning names key, value and reading. Only another type than the protocol's is a fault.
 */
final class Lenient {
    static final double YEAR_US = 365 * 86_400e6; // no time told is longer: sums of times stay far from overflow
    static final double MOST = 1e6; // of multiples, shares and counts of things: products stay finite

    private final Row row;
    private final List<String> warnings;

    Lenient(Row row, List<String> warnings) {
        this.row = row;
        this.warnings = warnings;
    }

    Row row() {
        return row;
    }

    boolean has(String field) {
        return row.has(field);
    }

    void warn(String field, String what) {
        warnings.add(row.wrong(field, what).getMessage());
    }

    /** A number that must be told; {@code reading}: what follows for one out of bounds. */
    double number(String field, double least, double most, String reading) throws FieldException {
        return within(field, row.number(field), least, most, reading);
    }

    double numberOr(String field, double otherwise, double least, double most, String reading) throws FieldException {
        Double told = row.numberOrNull(field);
        return told == null ? otherwise : within(field, told, least, most, reading);
    }

    /** A whole number that must be told; one with a fraction is a fault. */
    int count(String field, int least, String reading) throws FieldException {
        double told = row.number(field);
        if (told != Math.rint(told)) {
            throw row.wrong(field, "is no whole number");
        }
        return (int) within(field, told, least, Integer.MAX_VALUE, reading);
    }

    /** A time that must be told (us). */
    long us(String field) throws FieldException {
        row.number(field);
        return usOr(field, 0, YEAR_US, "");
    }

    long usOr(String field, long otherwise) throws FieldException {
        return usOr(field, otherwise, YEAR_US, "");
    }

    long usOr(String field, long otherwise, double mostUs, String reading) throws FieldException {
        return (long) numberOr(field, otherwise, 0, mostUs, reading);
    }

    boolean flagOr(String field, boolean otherwise, String reading) throws FieldException {
        if (!has(field)) {
            warn(field, "is missing: " + reading);
        }
        return row.flagOr(field, otherwise);
    }

    /** A word; {@code otherwise} where it is absent or unknown. */
    <T> T wordOr(String field, Map<String, T> words, T otherwise, String reading) throws FieldException {
        String told = row.textOr(field);
        if (told == null || !words.containsKey(told)) {
            warn(field, (told == null ? "is missing: " : "has the unknown value '" + told + "': ") + reading);
            return otherwise;
        }
        return words.get(told);
    }

    private double within(String field, double told, double least, double most, String reading) {
        double read = Math.max(least, Math.min(most, told));
        if (read != told) {
            warn(field, "is " + shown(told) + ": read as " + shown(read) + (reading.isEmpty() ? "" : ", " + reading));
        }
        return read;
    }

    static String shown(double x) {
        return x == Math.rint(x) && Math.abs(x) < 1e15 ? String.valueOf((long) x) : String.valueOf(x);
    }
}
