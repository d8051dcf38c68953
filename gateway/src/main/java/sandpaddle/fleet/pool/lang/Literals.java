package sandpaddle.fleet.pool.lang;

import java.time.DateTimeException;
import java.time.Duration;
import java.time.ZoneId;
import java.util.Optional;
import org.antlr.v4.runtime.Token;
import org.antlr.v4.runtime.tree.TerminalNode;
import sandpaddle.fleet.pool.model.DiagnosticList;
import sandpaddle.fleet.pool.model.PolicyLimits;

/**
 * Converts the literals of a policy: numbers, names, durations and times. Those out of range are reported as errors.
 */
final class Literals {
    private final DiagnosticList diagnostics;

    Literals(DiagnosticList diagnostics) {
        this.diagnostics = diagnostics;
    }

    /** Converts an integer; one that is out of range is reported, and clamped to the range. */
    int integer(TerminalNode node, int min, int max, String label) {
        String digits = node.getText();
        long value = digits.length() > 12 ? Long.MAX_VALUE : Long.parseLong(digits);
        if (value < min || value > max) {
            diagnostics.error(
                    LineErrorStrategy.positionOf(node.getSymbol()),
                    label + " " + DiagnosticList.printable(digits),
                    "from " + min + " to " + max);
        }
        return (int) Math.max(min, Math.min(max, value));
    }

    /** Converts a weight to hundredths; one that is out of range is reported, and clamped. */
    int weight(Token token) {
        String digits = token.getText();
        int decimalPoint = digits.indexOf('.');
        double value = Double.parseDouble(digits) * 100;
        if (!(value >= PolicyLimits.MIN_WEIGHT_HUNDREDTHS && value <= PolicyLimits.MAX_WEIGHT_HUNDREDTHS)
                || decimalPoint >= 0 && digits.length() - decimalPoint > 3) {
            diagnostics.error(
                    LineErrorStrategy.positionOf(token),
                    "weight " + DiagnosticList.printable(digits),
                    "from 0.01 to " + PolicyLimits.MAX_WEIGHT_HUNDREDTHS / 100 + " with two decimals at most");
        }
        return (int) Math.max(
                PolicyLimits.MIN_WEIGHT_HUNDREDTHS, Math.min(PolicyLimits.MAX_WEIGHT_HUNDREDTHS, Math.round(value)));
    }

    /** Removes the quotes from a name; one of invalid length or with control characters is reported. */
    String name(TerminalNode node) {
        String quoted = node.getText();
        String name = quoted.substring(1, quoted.length() - 1);
        if (name.isEmpty()
                || name.codePointCount(0, name.length()) > PolicyLimits.MAX_NAME_LENGTH
                || name.chars().anyMatch(Character::isISOControl)) {
            diagnostics.error(
                    LineErrorStrategy.positionOf(node.getSymbol()),
                    "the name " + DiagnosticList.printable(quoted),
                    "1 to " + PolicyLimits.MAX_NAME_LENGTH + " characters, none of them a control character");
        }
        return name;
    }

    /** Converts a duration; one that is out of range is reported, and clamped to the range. */
    Duration duration(PoolPolicyParser.DurationContext from, Duration min, Duration max, String label) {
        Token unit = from.getStop();
        String digits = from.INT().getText();
        long number = digits.length() > 12 ? Long.MAX_VALUE / 3_600_000 : Long.parseLong(digits);
        long millis = switch (unit.getType()) {
            case PoolPolicyParser.MS -> number;
            case PoolPolicyParser.S -> number * 1_000;
            case PoolPolicyParser.MIN -> number * 60_000;
            default -> number * 3_600_000;
        };
        if (millis < min.toMillis() || millis > max.toMillis()) {
            diagnostics.error(
                    LineErrorStrategy.positionOf(from.getStart()),
                    label + " " + DiagnosticList.printable(digits) + " " + unit.getText(),
                    "from " + format(min) + " to " + format(max));
        }
        return Duration.ofMillis(Math.max(min.toMillis(), Math.min(max.toMillis(), millis)));
    }

    private static String format(Duration duration) {
        long millis = duration.toMillis();
        if (millis % 3_600_000 == 0) {
            return millis / 3_600_000 + " h";
        }
        return millis % 60_000 == 0 ? millis / 60_000 + " min" : millis + " ms";
    }

    /**
     * Converts a time of day to minutes since midnight, 0 to 1440.
     *
     * @param defaultMinute returned if the time is invalid, which is reported
     */
    int minute(TerminalNode node, int defaultMinute) {
        String text = node.getText();
        int hour = Integer.parseInt(text.substring(0, 2));
        int minute = Integer.parseInt(text.substring(3));
        int value = hour * 60 + minute;
        if (minute > 59 || value > 24 * 60) {
            diagnostics.error(
                    LineErrorStrategy.positionOf(node.getSymbol()), "the time " + text, "from 00:00 to 24:00");
            return defaultMinute;
        }
        return value;
    }

    /** Converts a time zone; one that is unknown is reported, and empty returned. */
    Optional<ZoneId> timeZone(TerminalNode node) {
        String text = node.getText();
        try {
            return Optional.of(ZoneId.of(text.substring(1, text.length() - 1)));
        } catch (DateTimeException e) {
            diagnostics.error(
                    LineErrorStrategy.positionOf(node.getSymbol()),
                    "the zone " + DiagnosticList.printable(text),
                    "a zone's name such as \"Europe/Berlin\", or an offset such as \"+02:00\"");
            return Optional.empty();
        }
    }
}
