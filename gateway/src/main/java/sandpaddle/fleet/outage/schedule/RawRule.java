package sandpaddle.fleet.outage.schedule;

import java.util.List;

/**
 * A rule as the operator wrote it: every value as text, empty where it is absent. {@code path} is the key that it
 * stands under, as {@code fleet.outages[2]}, so that a fault can name it.
 */
public record RawRule(
        String path,
        String name,
        String zone,
        String timeZone,
        String start,
        String length,
        String rrule,
        List<String> exdates) {}
