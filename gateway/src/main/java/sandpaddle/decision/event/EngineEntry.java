package sandpaddle.decision.event;

/**
 * One engine of the engine list.
 *
 * @param id opaque identifier
 * @param zone position of its zone in the settings, or -1
 * @param kind position of its machine kind in the settings, or -1
 * @param cell deduplication cell within its zone
 * @param status whether it may be sent new attempts
 * @param rating relative capacity, used where the settings do not state the cores of its kind; an invalid value
 *     (negative, NaN, above 1,000,000) is replaced by 1
 * @param startedUs start time of its process on the clock of the module's events, in microseconds; 0 if it started long
 *     ago
 * @param listedStartUs start time as the list states it, in microseconds; 0 if it started long ago. It identifies the
 *     process; no clock of this machine is comparable with it
 */
public record EngineEntry(
        String id,
        int zone,
        int kind,
        int cell,
        EngineStatus status,
        double rating,
        long startedUs,
        long listedStartUs) {
    /** Greatest valid rating. */
    private static final double MAX_RATING = 1e6;

    /**
     * Replaces an invalid rating by 1: a huge one would attract all the load, and NaN would make the sum of cores NaN.
     */
    public EngineEntry {
        rating = rating >= 0 && rating <= MAX_RATING ? rating : 1;
    }

    /** Creates an entry of a list that states start times on the clock of the module's events. */
    public EngineEntry(String id, int zone, int kind, int cell, EngineStatus status, double rating, long startedUs) {
        this(id, zone, kind, cell, status, rating, startedUs, startedUs);
    }

    /** Returns this entry with another start time on the clock of the module's events. */
    public EngineEntry withStartedUs(long nextUs) {
        return new EngineEntry(id, zone, kind, cell, status, rating, nextUs, listedStartUs);
    }

    /** Whether another entry of the same engine is about the same process. */
    public boolean isSameProcessAs(EngineEntry other) {
        return listedStartUs == other.listedStartUs;
    }
}
