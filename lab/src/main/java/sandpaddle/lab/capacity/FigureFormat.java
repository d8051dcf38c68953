package sandpaddle.lab.capacity;

import java.math.BigDecimal;
import java.math.MathContext;
import java.math.RoundingMode;
import java.text.DecimalFormat;
import java.text.DecimalFormatSymbols;
import java.util.Locale;

/** Formats numbers for the capacity page: integers exactly, others with three significant digits. */
final class FigureFormat {
    private static final MathContext THREE_DIGITS = new MathContext(3, RoundingMode.HALF_EVEN);
    private static final double MAX_EXACT_INTEGER = 1e9; // larger integers are rounded too

    private FigureFormat() {}

    static String format(double value) {
        if (!Double.isFinite(value)) {
            return "-";
        }
        if (value == 0) {
            return "0";
        }
        DecimalFormat format = new DecimalFormat("#,##0.######", DecimalFormatSymbols.getInstance(Locale.ROOT));
        boolean whole = Math.abs(value) < MAX_EXACT_INTEGER && value == Math.rint(value);
        return format.format(
                whole ? value : new BigDecimal(value).round(THREE_DIGITS).doubleValue());
    }
}
