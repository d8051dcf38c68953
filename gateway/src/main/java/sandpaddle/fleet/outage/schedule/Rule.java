package sandpaddle.fleet.outage.schedule;

import java.time.Duration;
import java.time.LocalDateTime;
import java.time.ZoneId;
import java.util.Set;
import org.dmfs.rfc5545.recur.InvalidRecurrenceRuleException;
import org.dmfs.rfc5545.recur.RecurrenceRule;

/**
 * A rule for expected losses of a zone's uplink: a single window or a recurrence (RFC 5545).
 *
 * @param name name of the rule
 * @param zone zone that loses its uplink
 * @param timeZone time zone of {@code start} and {@code excludedStarts}
 * @param start start of the first window, in local time
 * @param duration elapsed time of each window, regardless of changes of the local time
 * @param recurrence recurrence rule; empty for a single window
 * @param excludedStarts starts of recurrences that are omitted (EXDATE), in local time
 */
public record Rule(
        String name,
        String zone,
        ZoneId timeZone,
        LocalDateTime start,
        Duration duration,
        String recurrence,
        Set<LocalDateTime> excludedStarts) {
    /** Copies the set. */
    public Rule {
        excludedStarts = Set.copyOf(excludedStarts);
    }

    boolean isRecurring() {
        return !recurrence.isEmpty();
    }

    /** Parses the recurrence, which {@link RuleReader} has validated. */
    RecurrenceRule parsedRecurrence() {
        try {
            return parse(recurrence);
        } catch (InvalidRecurrenceRuleException e) {
            throw new IllegalStateException(
                    "rule " + name + " has a recurrence that was not validated: " + e.getMessage(), e);
        }
    }

    static RecurrenceRule parse(String text) throws InvalidRecurrenceRuleException {
        return new RecurrenceRule(text, RecurrenceRule.RfcMode.RFC5545_STRICT);
    }
}
