package sandpaddle.fleet.outage.schedule;

import java.util.List;

/**
 * An unvalidated rule of the operator's file. Values are texts, empty if absent.
 *
 * @param path key of the rule in the file, such as {@code fleet.outages[2]}, for error messages
 * @param name name of the rule
 * @param zone zone that loses its uplink
 * @param timeZone time zone of {@code start} and {@code exdates}
 * @param start start of the first window, in local time
 * @param duration duration of a window (ISO 8601)
 * @param rrule recurrence rule (RFC 5545); empty for a single window
 * @param exdates starts of recurrences that are omitted, in local time
 */
public record RawRule(
        String path,
        String name,
        String zone,
        String timeZone,
        String start,
        String duration,
        String rrule,
        List<String> exdates) {}
