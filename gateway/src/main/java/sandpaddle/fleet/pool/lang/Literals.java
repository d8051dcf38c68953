package sandpaddle.fleet.pool.lang;

import java.time.DateTimeException;
import java.time.Duration;
import java.time.ZoneId;
import java.util.Optional;
import org.antlr.v4.runtime.Token;
import org.antlr.v4.runtime.tree.TerminalNode;
import sandpaddle.fleet.pool.model.FaultList;
import sandpaddle.fleet.pool.model.Limits;

/** Numbers, names, durations and times of a policy: each is checked for its range, and told where it is outside. */
final class Literals {
    private final FaultList faults;

    Literals(FaultList faults) {
        this.faults = faults;
    }

    /** A whole number; where it is out of range that is told, and the nearest in range returned. */
    int whole(TerminalNode node, int min, int max, String what) {
        String digits = node.getText();
        long value = digits.length() > 12 ? Long.MAX_VALUE : Long.parseLong(digits);
        if (value < min || value > max) {
            faults.error(
                    LineErrors.spot(node.getSymbol()),
                    what + " " + FaultList.shown(digits),
                    "from " + min + " to " + max);
        }
        return (int) Math.max(min, Math.min(max, value));
    }

    /** A weight in hundredths. */
    int weight(Token token) {
        String digits = token.getText();
        int point = digits.indexOf('.');
        double value = Double.parseDouble(digits) * 100;
        if (!(value >= Limits.MIN_HUNDREDTHS && value <= Limits.MAX_HUNDREDTHS)
                || point >= 0 && digits.length() - point > 3) {
            faults.error(
                    LineErrors.spot(token),
                    "weight " + FaultList.shown(digits),
                    "from 0.01 to " + Limits.MAX_HUNDREDTHS / 100 + " with two decimals at most");
        }
        return (int) Math.max(Limits.MIN_HUNDREDTHS, Math.min(Limits.MAX_HUNDREDTHS, Math.round(value)));
    }

    /** The text between the quotes. */
    String name(TerminalNode node) {
        String quoted = node.getText();
        String name = quoted.substring(1, quoted.length() - 1);
        if (name.isEmpty()
                || name.codePointCount(0, name.length()) > Limits.MAX_NAME
                || name.chars().anyMatch(Character::isISOControl)) {
            faults.error(
                    LineErrors.spot(node.getSymbol()),
                    "the name " + FaultList.shown(quoted),
                    "1 to " + Limits.MAX_NAME + " characters, none of them a control character");
        }
        return name;
    }

    Duration duration(PoolPolicyParser.DurationContext from, Duration min, Duration max, String what) {
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
            faults.error(
                    LineErrors.spot(from.getStart()),
                    what + " " + FaultList.shown(digits) + " " + unit.getText(),
                    "from " + words(min) + " to " + words(max));
        }
        return Duration.ofMillis(Math.max(min.toMillis(), Math.min(max.toMillis(), millis)));
    }

    private static String words(Duration duration) {
        long millis = duration.toMillis();
        if (millis % 3_600_000 == 0) {
            return millis / 3_600_000 + " h";
        }
        return millis % 60_000 == 0 ? millis / 60_000 + " min" : millis + " ms";
    }

    /** Minutes since midnight, 0 to 1440; where there is no such time that is told, and {@code otherwise} returned. */
    int minute(TerminalNode node, int otherwise) {
        String text = node.getText();
        int hour = Integer.parseInt(text.substring(0, 2));
        int minute = Integer.parseInt(text.substring(3));
        int value = hour * 60 + minute;
        if (minute > 59 || value > 24 * 60) {
            faults.error(LineErrors.spot(node.getSymbol()), "the time " + text, "from 00:00 to 24:00");
            return otherwise;
        }
        return value;
    }

    Optional<ZoneId> timeZone(TerminalNode node) {
        String text = node.getText();
        try {
            return Optional.of(ZoneId.of(text.substring(1, text.length() - 1)));
        } catch (DateTimeException e) {
            faults.error(
                    LineErrors.spot(node.getSymbol()),
                    "the zone " + FaultList.shown(text),
                    "a zone's name such as \"Europe/Berlin\", or an offset such as \"+02:00\"");
            return Optional.empty();
        }
    }
}
