package sandpaddle.fleet;

import java.util.Map;
import sandpaddle.fleet.outage.margin.MarginSettings;
import sandpaddle.fleet.outage.phase.PhaseSettings;
import sandpaddle.fleet.outage.schedule.Schedule;

/**
 * What the operator's file says of outages and stored answers. {@code maxAgeMs}: by class's name, how old an answer may
 * be handed out; a class without it is never stored. {@code fillWorkUs}: engine work a second that filling may take in
 * the whole zone.
 */
public record OutageSettings(
        Schedule schedule,
        PhaseSettings phase,
        MarginSettings margins,
        Content content,
        long fillWorkUs,
        Map<String, Long> maxAgeMs) {
    /** Bounds of the store; {@code diskBytes} 0: memory only. */
    public record Content(
            long memoryBytes,
            long diskBytes,
            int segmentBytes,
            int entries,
            long flushUs,
            long maxUnheardMs,
            long wallSlackMs) {}

    /** Nothing is foreseen and nothing stored. */
    public static final OutageSettings OFF = new OutageSettings(
            Schedule.NONE,
            PhaseSettings.DEFAULT,
            MarginSettings.DEFAULT,
            new Content(64L << 20, 0, 4 << 20, 200_000, 1_000_000, 14_400_000, 2000),
            300_000,
            Map.of());

    /** Whether there is anything to do. */
    public boolean isOn() {
        return !maxAgeMs.isEmpty();
    }
}
