package sandpaddle.fleet.outage.schedule;

import java.time.LocalDateTime;
import java.time.ZonedDateTime;
import java.util.ArrayList;
import java.util.List;
import org.dmfs.rfc5545.DateTime;
import org.dmfs.rfc5545.recur.RecurrenceRuleIterator;

/**
 * The windows of one rule within a look-ahead. The recurrence runs on local times without a time zone, and each is then
 * placed by the time zone's rules: a time that the clocks skip is later by what they skip, a time that they show twice
 * is the first of both (RFC 5545, 3.3.10 and 3.3.5). At most {@value #MAX_OCCURRENCES} beginnings are looked at.
 */
final class Expansion {
    /** Beginnings of one rule in one look-ahead: hourly windows for 40 days. */
    static final int MAX_OCCURRENCES = 1000;
    /** Time zones are at most 18 hours from UTC; a day more covers every change of the clocks. */
    private static final int SLACK_DAYS = 2;

    private Expansion() {}

    /** Windows that meet the time asked for, by beginning. */
    static List<TimeRange> of(Rule rule, TimeRange asked) {
        if (!rule.recurs()) {
            TimeRange only = place(rule, rule.first());
            return only.meets(asked) ? List.of(only) : List.of();
        }
        List<TimeRange> found = new ArrayList<>();
        RecurrenceRuleIterator i = rule.parsed().iterator(floating(rule.first()));
        LocalDateTime from = local(asked.from()).minus(rule.length()).minusDays(SLACK_DAYS);
        if (from.isAfter(rule.first())) {
            i.fastForward(floating(from));
        }
        for (int n = 0; n < MAX_OCCURRENCES && more(i); n++) {
            LocalDateTime begin = local(i.nextDateTime());
            TimeRange span = place(rule, begin);
            if (span.from() > asked.to()) {
                break;
            }
            if (span.meets(asked) && !rule.except().contains(begin)) {
                found.add(span);
            }
        }
        return found;
    }

    /** The library gives up, by exception, on a rule that comes no more although it never ends. */
    private static boolean more(RecurrenceRuleIterator i) {
        try {
            return i.hasNext();
        } catch (IllegalArgumentException e) {
            return false;
        }
    }

    private static TimeRange place(Rule rule, LocalDateTime begin) {
        long from = ZonedDateTime.of(begin, rule.timeZone()).toInstant().toEpochMilli();
        return new TimeRange(from, from + rule.length().toMillis());
    }

    private static LocalDateTime local(long wall) {
        return LocalDateTime.ofEpochSecond(Math.floorDiv(wall, 1000), 0, java.time.ZoneOffset.UTC);
    }

    private static DateTime floating(LocalDateTime t) {
        return new DateTime(
                t.getYear(), t.getMonthValue() - 1, t.getDayOfMonth(), t.getHour(), t.getMinute(), t.getSecond());
    }

    private static LocalDateTime local(DateTime t) {
        return LocalDateTime.of(
                t.getYear(), t.getMonth() + 1, t.getDayOfMonth(), t.getHours(), t.getMinutes(), t.getSeconds());
    }
}
