package sandpaddle.fleet.outage.schedule;

import java.time.Duration;
import java.time.LocalDateTime;
import java.time.ZoneId;
import java.util.Set;
import org.dmfs.rfc5545.recur.InvalidRecurrenceRuleException;
import org.dmfs.rfc5545.recur.RecurrenceRule;

/**
 * When a zone is expected to lose its uplink: once, or by a recurrence of RFC 5545. {@code first} is the first
 * window's beginning by the clocks of {@code timeZone}; {@code recurrence} is empty for a window that comes once. Each
 * window lasts {@code length} of elapsed time, whatever the clocks are set to meanwhile. {@code except} names
 * beginnings that do not come (EXDATE), by the clocks of the time zone.
 */
public record Rule(
        String name,
        String zone,
        ZoneId timeZone,
        LocalDateTime first,
        Duration length,
        String recurrence,
        Set<LocalDateTime> except) {
    public Rule {
        except = Set.copyOf(except);
    }

    boolean recurs() {
        return !recurrence.isEmpty();
    }

    /** The recurrence as the library has it; it was read once before, so that it can be read. */
    RecurrenceRule parsed() {
        try {
            return parse(recurrence);
        } catch (InvalidRecurrenceRuleException e) {
            throw new IllegalStateException("rule " + name + " was never checked: " + e.getMessage(), e);
        }
    }

    static RecurrenceRule parse(String text) throws InvalidRecurrenceRuleException {
        return new RecurrenceRule(text, RecurrenceRule.RfcMode.RFC5545_STRICT);
    }
}
