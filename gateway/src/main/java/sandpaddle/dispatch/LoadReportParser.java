package sandpaddle.dispatch;

import java.util.Arrays;
import java.util.List;

/** Parses an engine's load report, such as {@code util:0.61;queue:2}, whose fields may come in any order. */
final class LoadReportParser {
    private LoadReportParser() {}

    /**
     * Parses a load report.
     *
     * @param text the report, null if none arrived
     * @param fields names of the fields to return
     * @return the values in the order of {@code fields}, NaN for one that is missing or not a number; null if {@code
     *     text} is null or {@code fields} is empty, since an empty report would be taken for an idle engine
     */
    static double[] parse(String text, List<String> fields) {
        if (text == null || fields.isEmpty()) {
            return null;
        }
        double[] values = new double[fields.size()];
        Arrays.fill(values, Double.NaN);
        for (String entry : text.split(";")) {
            int colon = entry.indexOf(':');
            int field =
                    colon < 0 ? -1 : fields.indexOf(entry.substring(0, colon).strip());
            if (field >= 0) {
                values[field] = number(entry.substring(colon + 1).strip());
            }
        }
        return values;
    }

    private static double number(String text) {
        try {
            return Double.parseDouble(text);
        } catch (NumberFormatException e) {
            return Double.NaN;
        }
    }
}
