package sandpaddle.fleet.outage.schedule;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ScheduleTest {
    private static final long DAY_MS = 24 * 3_600_000L;

    static RawRule raw(String name, String timeZone, String start, String duration, String rrule, String... exdates) {
        return new RawRule("fleet.outages[0]", name, "ship", timeZone, start, duration, rrule, List.of(exdates));
    }

    private static long at(String instant) {
        return Instant.parse(instant).toEpochMilli();
    }

    private static String format(Schedule schedule, String from, int days) {
        return schedule.windows("ship", at(from), days * DAY_MS).stream()
                .map(window -> Instant.ofEpochMilli(window.range().startMs()) + "/"
                        + Instant.ofEpochMilli(window.range().endMs()) + window.rules())
                .collect(Collectors.joining(" "));
    }

    private static Schedule scheduleOf(RawRule... rules) {
        RuleReader.Result result = RuleReader.read(List.of(rules));
        assertEquals(List.of(), result.errors());
        return result.schedule().orElseThrow();
    }

    @Test
    void shiftsSkippedLocalTimeByGap() {
        Schedule schedule = scheduleOf(raw("night", "Europe/Berlin", "2026-03-28T02:30", "PT1H", "FREQ=DAILY;COUNT=3"));
        assertEquals(
                "2026-03-28T01:30:00Z/2026-03-28T02:30:00Z[night] 2026-03-29T01:30:00Z/2026-03-29T02:30:00Z[night]"
                        + " 2026-03-30T00:30:00Z/2026-03-30T01:30:00Z[night]",
                format(schedule, "2026-03-27T00:00:00Z", 5));
    }

    @Test
    void usesFirstOfRepeatedLocalTime() {
        Schedule schedule = scheduleOf(raw("night", "Europe/Berlin", "2026-10-25T02:30", "PT1H", ""));
        assertEquals("2026-10-25T00:30:00Z/2026-10-25T01:30:00Z[night]", format(schedule, "2026-10-24T00:00:00Z", 5));
    }

    @Test
    void omitsExcludedStarts() {
        Schedule schedule =
                scheduleOf(raw("a", "UTC", "2020-01-06T01:00", "PT2H", "FREQ=WEEKLY;BYDAY=MO,WE", "2026-11-04T01:00"));
        assertEquals(
                "2026-11-02T01:00:00Z/2026-11-02T03:00:00Z[a] 2026-11-09T01:00:00Z/2026-11-09T03:00:00Z[a]",
                format(schedule, "2026-11-02T01:30:00Z", 7));
    }

    @Test
    void mergesOverlappingWindowsOfAllRules() {
        Schedule schedule = scheduleOf(
                raw("a", "UTC", "2026-11-02T01:00", "PT2H", ""),
                raw("b", "UTC", "2026-11-02T02:30", "PT2H", ""),
                raw("c", "UTC", "2026-11-02T04:30", "PT1H", ""),
                raw("d", "UTC", "2026-11-02T05:31", "PT1H", ""));
        assertEquals(
                "2026-11-02T01:00:00Z/2026-11-02T05:30:00Z[a, b, c] 2026-11-02T05:31:00Z/2026-11-02T06:31:00Z[d]",
                format(schedule, "2026-11-02T00:00:00Z", 1));
        assertEquals(List.of(), schedule.windows("elsewhere", at("2026-11-02T00:00:00Z"), DAY_MS));
    }

    @Test
    void limitsExpansionOfFrequentRule() {
        Rule rule = scheduleOf(raw("a", "UTC", "2006-01-01T00:00", "PT1M", "FREQ=HOURLY;BYMINUTE=0,10,20,30,40,50"))
                .rules()
                .get(0);
        long startMs = at("2026-11-02T00:00:00Z");
        assertEquals(
                6 * 24 + 1,
                OccurrenceExpander.expand(rule, new TimeRange(startMs, startMs + DAY_MS))
                        .size());
        assertTrue(OccurrenceExpander.expand(rule, new TimeRange(startMs, startMs + 100 * DAY_MS))
                        .size()
                <= OccurrenceExpander.MAX_OCCURRENCES);
    }

    @Test
    void returnsNoWindowAfterRecurrenceEnded() {
        Schedule schedule = scheduleOf(
                raw("a", "UTC", "2026-01-01T00:00", "PT1H", "FREQ=DAILY;UNTIL=20260301T000000"),
                raw("b", "UTC", "2026-01-01T00:00", "PT1H", "FREQ=DAILY;COUNT=10"));
        assertEquals("", format(schedule, "2026-04-01T00:00:00Z", 10));
    }

    @Test
    void expandsAgainAfterClockSetBack() {
        Schedule schedule = scheduleOf(raw("a", "UTC", "2026-01-01T00:00", "PT1H", "FREQ=DAILY"));
        assertEquals(
                2, schedule.windows("ship", at("2026-11-02T00:30:00Z"), DAY_MS).size());
        assertEquals("2026-02-02T00:00:00Z/2026-02-02T01:00:00Z[a]", format(schedule, "2026-02-01T23:00:00Z", 1));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "two words|UTC|2026-01-01T00:00|PT1H||name",
                "a|Mars/Base|2026-01-01T00:00|PT1H||zone",
                "a|UTC|2026-02-30T00:00|PT1H||start",
                "a|UTC|1999-01-01T00:00|PT1H||start",
                "a|UTC|2026-01-01T00:00|PT0S||duration",
                "a|UTC|2026-01-01T00:00|P8D||duration",
                "a|UTC|2026-01-01T00:00|PT99999999999999999H||duration",
                "a|UTC|2026-01-01T00:00|PT1H|FREQ=BLA|rrule",
                "a|UTC|2026-01-01T00:00|PT1H|FREQ=SECONDLY|rrule",
                "a|UTC|2026-01-01T00:00|PT1H|FREQ=MINUTELY;INTERVAL=5|rrule",
                "a|UTC|2026-01-01T00:00|PT1H|FREQ=DAILY;BYSECOND=1,2,3|rrule",
                "a|UTC|2026-01-01T00:00|PT1H|FREQ=YEARLY;BYMONTH=2;BYMONTHDAY=30|rrule",
                "a|UTC|2026-01-01T00:00|PT1H|FREQ=DAILY;UNTIL=20261201T000000Z|rrule",
                "a|UTC|2026-01-01T00:00|PT1H|FREQ=DAILY;UNTIL=20251201T000000|rrule",
                "a|UTC|2026-01-01T00:00|PT1H|FREQ=DAILY;COUNT=0|rrule"
            })
    void errorNamesKeyAndAllowedValues(
            String name, String timeZone, String start, String duration, String rrule, String key) {
        RuleReader.Result result =
                RuleReader.read(List.of(raw(name, timeZone, start, duration, rrule == null ? "" : rrule)));
        assertTrue(result.schedule().isEmpty());
        assertEquals(1, result.errors().size(), result.errors().toString());
        assertEquals("fleet.outages[0]." + key, result.errors().get(0).path());
        assertTrue(
                result.errors().get(0).toString().contains("; allowed: "),
                result.errors().toString());
    }

    @Test
    void reportsAllErrorsAtOnce() {
        RuleReader.Result result = RuleReader.read(List.of(
                raw("", "x", "x", "x", "x", "x"),
                raw("same", "UTC", "2026-01-01T00:00", "PT1H", ""),
                raw("same", "UTC", "2026-01-01T00:00", "PT1H", "")));
        assertEquals(
                List.of("name", "zone", "start", "duration", "exdates[0]", "name"),
                result.errors().stream()
                        .map(error -> error.path().substring("fleet.outages[0].".length()))
                        .toList());
        List<RawRule> many = new ArrayList<>();
        for (int i = 0; i <= Schedule.MAX_RULES; i++) {
            many.add(raw("r" + i, "UTC", "2026-01-01T00:00", "PT1H", ""));
        }
        assertEquals("at most 256", RuleReader.read(many).errors().get(0).allowed());
    }
}
