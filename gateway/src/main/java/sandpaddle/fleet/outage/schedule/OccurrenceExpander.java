package sandpaddle.fleet.outage.schedule;

import java.time.LocalDateTime;
import java.time.ZonedDateTime;
import java.util.ArrayList;
import java.util.List;
import org.dmfs.rfc5545.DateTime;
import org.dmfs.rfc5545.recur.RecurrenceRuleIterator;

/**
 * Expands a rule into the windows within a time range. The recurrence is computed in local time without a time zone,
 * and each occurrence is then resolved in the rule's time zone: a local time that is skipped moves later by the gap,
 * and of a local time that occurs twice the first is used (RFC 5545, 3.3.10 and 3.3.5). At most {@value
 * #MAX_OCCURRENCES} occurrences are evaluated.
 */
final class OccurrenceExpander {
    /** Largest number of occurrences of one rule in one expansion: hourly windows of 40 days. */
    static final int MAX_OCCURRENCES = 1000;
    /** Time zones differ from UTC by at most 18 hours; a second day covers every change of the local time. */
    private static final int SLACK_DAYS = 2;

    private OccurrenceExpander() {}

    /** Returns the windows that touch the requested range, by start. */
    static List<TimeRange> expand(Rule rule, TimeRange requested) {
        if (!rule.isRecurring()) {
            TimeRange range = toRange(rule, rule.start());
            return range.touches(requested) ? List.of(range) : List.of();
        }
        List<TimeRange> found = new ArrayList<>();
        RecurrenceRuleIterator occurrences = rule.parsedRecurrence().iterator(toFloating(rule.start()));
        LocalDateTime earliestStart =
                toLocalDateTime(requested.startMs()).minus(rule.duration()).minusDays(SLACK_DAYS);
        if (earliestStart.isAfter(rule.start())) {
            occurrences.fastForward(toFloating(earliestStart));
        }
        for (int count = 0; count < MAX_OCCURRENCES && hasNext(occurrences); count++) {
            LocalDateTime start = toLocalDateTime(occurrences.nextDateTime());
            TimeRange range = toRange(rule, start);
            if (range.startMs() > requested.endMs()) {
                break;
            }
            if (range.touches(requested) && !rule.excludedStarts().contains(start)) {
                found.add(range);
            }
        }
        return found;
    }

    /**
     * Whether there is another occurrence. The library throws an exception for a rule that never ends but has no
     * further occurrence.
     */
    private static boolean hasNext(RecurrenceRuleIterator occurrences) {
        try {
            return occurrences.hasNext();
        } catch (IllegalArgumentException e) {
            return false;
        }
    }

    private static TimeRange toRange(Rule rule, LocalDateTime start) {
        long startMs = ZonedDateTime.of(start, rule.timeZone()).toInstant().toEpochMilli();
        return new TimeRange(startMs, startMs + rule.duration().toMillis());
    }

    private static LocalDateTime toLocalDateTime(long wallMs) {
        return LocalDateTime.ofEpochSecond(Math.floorDiv(wallMs, 1000), 0, java.time.ZoneOffset.UTC);
    }

    private static DateTime toFloating(LocalDateTime time) {
        return new DateTime(
                time.getYear(),
                time.getMonthValue() - 1,
                time.getDayOfMonth(),
                time.getHour(),
                time.getMinute(),
                time.getSecond());
    }

    private static LocalDateTime toLocalDateTime(DateTime time) {
        return LocalDateTime.of(
                time.getYear(),
                time.getMonth() + 1,
                time.getDayOfMonth(),
                time.getHours(),
                time.getMinutes(),
                time.getSeconds());
    }
}
