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

/** Checks rules as written; every fault is told at once, with its key, what stands there and what is allowed. */
public final class RuleReader {
    /** A fault: the path of the key, what stands there, and what may. */
    public record Fault(String path, String found, String allowed) {
        @Override
        public String toString() {
            return path + ": found " + found + "; allowed: " + allowed;
        }
    }

    /** What was read; the schedule is empty where there is any fault. */
    public record Read(Optional<Schedule> schedule, List<Fault> faults) {}

    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9._-]{1,64}");
    private static final Duration MAX_LENGTH = Duration.ofDays(7);
    private static final int MAX_EXCEPT = 366;
    private static final int MAX_RRULE = 500;
    private static final int MIN_YEAR = 2000; // further back only lengthens the way that each expansion goes
    private static final int MAX_YEAR = 2100;

    private final List<Fault> faults = new ArrayList<>();
    private final Set<String> names = new HashSet<>();

    private RuleReader() {}

    /** Reads a whole schedule. */
    public static Read read(List<RawRule> written) {
        RuleReader reader = new RuleReader();
        List<Rule> rules = new ArrayList<>();
        if (written.size() > Schedule.MAX_RULES) {
            reader.fault(
                    written.get(Schedule.MAX_RULES).path(),
                    "",
                    written.size() + " rules",
                    "at most " + Schedule.MAX_RULES);
        } else {
            written.forEach(r -> rules.add(reader.rule(r)));
        }
        return reader.faults.isEmpty()
                ? new Read(Optional.of(new Schedule(rules)), List.of())
                : new Read(Optional.empty(), List.copyOf(reader.faults));
    }

    private Rule rule(RawRule r) {
        if (!NAME.matcher(r.name()).matches()) {
            fault(r.path(), "name", r.name(), "1 to 64 letters, digits, dots, dashes or underscores");
        } else if (!names.add(r.name())) {
            fault(r.path(), "name", r.name(), "a name that no other rule has");
        }
        if (!NAME.matcher(r.zone()).matches()) {
            fault(r.path(), "hall", r.zone(), "a hall's name of 1 to 64 letters, digits, dots, dashes, underscores");
        }
        ZoneId timeZone = timeZone(r);
        LocalDateTime first = time(r.path(), "start", r.start());
        Duration length = length(r);
        if (!r.rrule().isEmpty() && first != null) {
            recurrence(r, first);
        }
        if (r.exdates().size() > MAX_EXCEPT) {
            fault(r.path(), "exdates", r.exdates().size() + " dates", "at most " + MAX_EXCEPT);
        }
        Set<LocalDateTime> except = new HashSet<>();
        for (int i = 0; i < Math.min(r.exdates().size(), MAX_EXCEPT); i++) {
            LocalDateTime t = time(r.path(), "exdates[" + i + "]", r.exdates().get(i));
            if (t != null) {
                except.add(t);
            }
        }
        return new Rule(r.name(), r.zone(), timeZone, first, length, r.rrule(), except);
    }

    private ZoneId timeZone(RawRule r) {
        try {
            return ZoneId.of(r.timeZone());
        } catch (DateTimeException e) {
            fault(r.path(), "zone", r.timeZone(), "a time zone as Europe/Berlin, UTC or +02:00");
            return null;
        }
    }

    private LocalDateTime time(String path, String key, String text) {
        try {
            LocalDateTime t = LocalDateTime.parse(text).withNano(0);
            if (t.getYear() >= MIN_YEAR && t.getYear() <= MAX_YEAR) {
                return t;
            }
        } catch (DateTimeException e) {
            // told below, as a year out of range is
        }
        fault(path, key, text, "a local time as 2026-11-01T02:30, from " + MIN_YEAR + " to " + MAX_YEAR);
        return null;
    }

    private Duration length(RawRule r) {
        try {
            Duration d = Duration.parse(r.length());
            if (d.toMillis() >= 1000 && d.compareTo(MAX_LENGTH) <= 0) {
                return d;
            }
        } catch (DateTimeException | ArithmeticException e) {
            // told below, as a length out of range is
        }
        fault(
                r.path(),
                "duration",
                r.length(),
                "a length as PT1H30M, from one second to " + MAX_LENGTH.toDays() + " days");
        return null;
    }

    /** Guards against what would make an expansion long: too fine a rule, or one that never comes. */
    private void recurrence(RawRule r, LocalDateTime first) {
        String often = "FREQ of HOURLY, DAILY, WEEKLY, MONTHLY or YEARLY, without BYSECOND or RSCALE";
        if (r.rrule().length() > MAX_RRULE) {
            fault(r.path(), "rrule", r.rrule().length() + " letters", "at most " + MAX_RRULE);
            return;
        }
        try {
            RecurrenceRule rule = Rule.parse(r.rrule());
            if (rule.getFreq() == Freq.SECONDLY
                    || rule.getFreq() == Freq.MINUTELY
                    || rule.hasPart(RecurrenceRule.Part.BYSECOND)
                    || rule.hasPart(RecurrenceRule.Part.RSCALE)) {
                fault(r.path(), "rrule", r.rrule(), often);
                return;
            }
            DateTime until = rule.getUntil();
            if (until != null && !until.isFloating()) {
                fault(r.path(), "rrule", r.rrule(), "UNTIL as a local time without Z, by the clocks of the zone");
                return;
            }
            RecurrenceRuleIterator i = rule.iterator(new DateTime(
                    first.getYear(),
                    first.getMonthValue() - 1,
                    first.getDayOfMonth(),
                    first.getHour(),
                    first.getMinute(),
                    first.getSecond()));
            if (!i.hasNext()) {
                fault(r.path(), "rrule", r.rrule(), "a recurrence that comes at least once from the start on");
            }
        } catch (InvalidRecurrenceRuleException | IllegalArgumentException | ArithmeticException e) {
            fault(
                    r.path(),
                    "rrule",
                    r.rrule() + " (" + String.valueOf(e.getMessage()).split("\n", 2)[0] + ")",
                    "a recurrence of RFC 5545 that comes at least once, as FREQ=WEEKLY;BYDAY=SU");
        }
    }

    private void fault(String path, String key, String found, String allowed) {
        faults.add(new Fault(
                key.isEmpty() ? path : path + "." + key, found.isEmpty() ? "nothing" : "'" + found + "'", allowed));
    }
}
