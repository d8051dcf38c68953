package sandpaddle.fleet;

import java.util.Map;
import sandpaddle.fleet.outage.margin.MarginSettings;
import sandpaddle.fleet.outage.phase.PhaseSettings;
import sandpaddle.fleet.outage.schedule.Schedule;

/**
 * Settings of the operator's file for outages and stored answers.
 *
 * @param schedule announced outages
 * @param phase settings of the outage phases of a zone
 * @param margins settings of the margins around announced outages
 * @param content bounds of the store of answers
 * @param prefetchWorkUsPerS engine work (us per second) that prefetching may use in the whole zone
 * @param maxAgeMs maximum age of a stored answer that is served, by name of the request class; answers of other
 *     classes are not stored
 */
public record OutageSettings(
        Schedule schedule,
        PhaseSettings phase,
        MarginSettings margins,
        Content content,
        long prefetchWorkUsPerS,
        Map<String, Long> maxAgeMs) {
    /**
     * Bounds of the store of answers.
     *
     * @param memoryBytes capacity of the memory tier
     * @param diskBytes capacity of the disk tier, 0 for memory only
     * @param segmentBytes size of a segment file
     * @param entries maximum number of answers on disk
     * @param flushUs maximum delay before an answer is written to disk
     * @param maxSilenceMs no answer is served if no message was received from outside the zone for longer
     * @param maxWallClockSkewMs maximum difference of wall clocks, added to the age of answers that another process
     *     requested
     */
    public record Content(
            long memoryBytes,
            long diskBytes,
            int segmentBytes,
            int entries,
            long flushUs,
            long maxSilenceMs,
            long maxWallClockSkewMs) {}

    /** No outages are scheduled and no answers stored. */
    public static final OutageSettings OFF = new OutageSettings(
            Schedule.NONE,
            PhaseSettings.DEFAULT,
            MarginSettings.DEFAULT,
            new Content(64L << 20, 0, 4 << 20, 200_000, 1_000_000, 14_400_000, 2000),
            300_000,
            Map.of());

    /** Whether answers of any class are stored. */
    public boolean storesAnswers() {
        return !maxAgeMs.isEmpty();
    }
}
