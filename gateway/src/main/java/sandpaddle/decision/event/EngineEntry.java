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
 * @param startedUs start time of its process, in microseconds; 0 if it started long ago
 */
public record EngineEntry(String id, int zone, int kind, int cell, EngineStatus status, double rating, long startedUs) {
    /** Greatest valid rating. */
    private static final double MAX_RATING = 1e6;

    /**
     * Replaces an invalid rating by 1: a huge one would attract all the load, and NaN would make the sum of cores NaN.
     */
    public EngineEntry {
        rating = rating >= 0 && rating <= MAX_RATING ? rating : 1;
    }
}
