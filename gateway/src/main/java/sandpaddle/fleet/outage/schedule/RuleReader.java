package sandpaddle.fleet.outage.schedule;

import java.time.DateTimeException;
import java.time.Duration;
import java.time.LocalDateTime;
import java.time.ZoneId;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;
import org.dmfs.rfc5545.DateTime;
import org.dmfs.rfc5545.recur.Freq;
import org.dmfs.rfc5545.recur.InvalidRecurrenceRuleException;
import org.dmfs.rfc5545.recur.RecurrenceRule;
import org.dmfs.rfc5545.recur.RecurrenceRuleIterator;

/**
 * Parses and validates the outage rules of the operator's file. Reports all errors at once, each with key, value found
 * and values allowed.
 */
public final class RuleReader {
    /**
     * An invalid value.
     *
     * @param path key of the value
     * @param found value found
     * @param allowed description of the values allowed
     */
    public record RuleError(String path, String found, String allowed) {
        @Override
        public String toString() {
            return path + ": found " + found + "; allowed: " + allowed;
        }
    }

    /**
     * Result of reading a schedule.
     *
     * @param schedule the schedule; empty if there is any error
     * @param errors all errors found
     */
    public record Result(Optional<Schedule> schedule, List<RuleError> errors) {}

    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9._-]{1,64}");
    private static final Duration MAX_DURATION = Duration.ofDays(7);
    private static final int MAX_EXDATES = 366;
    private static final int MAX_RRULE_CHARS = 500;
    private static final int MIN_YEAR = 2000; // an earlier start only makes each expansion longer
    private static final int MAX_YEAR = 2100;

    private final List<RuleError> errors = new ArrayList<>();
    private final Set<String> names = new HashSet<>();

    private RuleReader() {}

    /** Reads all rules of a schedule. */
    public static Result read(List<RawRule> rawRules) {
        RuleReader reader = new RuleReader();
        List<Rule> rules = new ArrayList<>();
        if (rawRules.size() > Schedule.MAX_RULES) {
            reader.addError(
                    rawRules.get(Schedule.MAX_RULES).path(),
                    "",
                    rawRules.size() + " rules",
                    "at most " + Schedule.MAX_RULES);
        } else {
            rawRules.forEach(raw -> rules.add(reader.rule(raw)));
        }
        return reader.errors.isEmpty()
                ? new Result(Optional.of(new Schedule(rules)), List.of())
                : new Result(Optional.empty(), List.copyOf(reader.errors));
    }

    private Rule rule(RawRule raw) {
        if (!NAME.matcher(raw.name()).matches()) {
            addError(raw.path(), "name", raw.name(), "1 to 64 letters, digits, dots, dashes or underscores");
        } else if (!names.add(raw.name())) {
            addError(raw.path(), "name", raw.name(), "a name that no other rule has");
        }
        if (!NAME.matcher(raw.zone()).matches()) {
            addError(
                    raw.path(),
                    "hall",
                    raw.zone(),
                    "a hall's name of 1 to 64 letters, digits, dots, dashes, underscores");
        }
        ZoneId timeZone = timeZone(raw);
        LocalDateTime start = time(raw.path(), "start", raw.start());
        Duration duration = duration(raw);
        if (!raw.rrule().isEmpty() && start != null) {
            recurrence(raw, start);
        }
        if (raw.exdates().size() > MAX_EXDATES) {
            addError(raw.path(), "exdates", raw.exdates().size() + " dates", "at most " + MAX_EXDATES);
        }
        Set<LocalDateTime> excludedStarts = new HashSet<>();
        for (int i = 0; i < Math.min(raw.exdates().size(), MAX_EXDATES); i++) {
            LocalDateTime time =
                    time(raw.path(), "exdates[" + i + "]", raw.exdates().get(i));
            if (time != null) {
                excludedStarts.add(time);
            }
        }
        return new Rule(raw.name(), raw.zone(), timeZone, start, duration, raw.rrule(), excludedStarts);
    }

    private ZoneId timeZone(RawRule raw) {
        try {
            return ZoneId.of(raw.timeZone());
        } catch (DateTimeException e) {
            addError(raw.path(), "zone", raw.timeZone(), "a time zone as Europe/Berlin, UTC or +02:00");
            return null;
        }
    }

    private LocalDateTime time(String path, String key, String text) {
        try {
            LocalDateTime time = LocalDateTime.parse(text).withNano(0);
            if (time.getYear() >= MIN_YEAR && time.getYear() <= MAX_YEAR) {
                return time;
            }
        } catch (DateTimeException e) {
            // reported below, like a year out of range
        }
        addError(path, key, text, "a local time as 2026-11-01T02:30, from " + MIN_YEAR + " to " + MAX_YEAR);
        return null;
    }

    private Duration duration(RawRule raw) {
        try {
            Duration duration = Duration.parse(raw.duration());
            if (duration.toMillis() >= 1000 && duration.compareTo(MAX_DURATION) <= 0) {
                return duration;
            }
        } catch (DateTimeException | ArithmeticException e) {
            // reported below, like a duration out of range
        }
        addError(
                raw.path(),
                "duration",
                raw.duration(),
                "a length as PT1H30M, from one second to " + MAX_DURATION.toDays() + " days");
        return null;
    }

    /** Rejects recurrences that would make an expansion expensive: too high a frequency, or no occurrence at all. */
    private void recurrence(RawRule raw, LocalDateTime start) {
        String allowedFrequencies = "FREQ of HOURLY, DAILY, WEEKLY, MONTHLY or YEARLY, without BYSECOND or RSCALE";
        if (raw.rrule().length() > MAX_RRULE_CHARS) {
            addError(raw.path(), "rrule", raw.rrule().length() + " letters", "at most " + MAX_RRULE_CHARS);
            return;
        }
        try {
            RecurrenceRule rule = Rule.parse(raw.rrule());
            if (rule.getFreq() == Freq.SECONDLY
                    || rule.getFreq() == Freq.MINUTELY
                    || rule.hasPart(RecurrenceRule.Part.BYSECOND)
                    || rule.hasPart(RecurrenceRule.Part.RSCALE)) {
                addError(raw.path(), "rrule", raw.rrule(), allowedFrequencies);
                return;
            }
            DateTime until = rule.getUntil();
            if (until != null && !until.isFloating()) {
                addError(
                        raw.path(), "rrule", raw.rrule(), "UNTIL as a local time without Z, by the clocks of the zone");
                return;
            }
            RecurrenceRuleIterator occurrences = rule.iterator(new DateTime(
                    start.getYear(),
                    start.getMonthValue() - 1,
                    start.getDayOfMonth(),
                    start.getHour(),
                    start.getMinute(),
                    start.getSecond()));
            if (!occurrences.hasNext()) {
                addError(raw.path(), "rrule", raw.rrule(), "a recurrence that comes at least once from the start on");
            }
        } catch (InvalidRecurrenceRuleException | IllegalArgumentException | ArithmeticException e) {
            addError(
                    raw.path(),
                    "rrule",
                    raw.rrule() + " (" + String.valueOf(e.getMessage()).split("\n", 2)[0] + ")",
                    "a recurrence of RFC 5545 that comes at least once, as FREQ=WEEKLY;BYDAY=SU");
        }
    }

    private void addError(String path, String key, String found, String allowed) {
        errors.add(new RuleError(
                key.isEmpty() ? path : path + "." + key, found.isEmpty() ? "nothing" : "'" + found + "'", allowed));
    }
}
