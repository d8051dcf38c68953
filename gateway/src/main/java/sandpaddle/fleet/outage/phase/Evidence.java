package sandpaddle.fleet.outage.phase;

/**
 * What is known of the link between a zone and the engines outside it.
 *
 * @param link state of the link; {@link Link#UNKNOWN} without a recent verdict
 * @param sinceUs monotonic time in microseconds since which the state has held without interruption
 */
public record Evidence(Link link, long sinceUs) {
    /** Reachability of the engines outside the zone. */
    public enum Link {
        /** Engines outside the zone answer. */
        REACHABLE,
        /** No engine outside the zone answers. */
        UNREACHABLE,
        /** There is no recent evidence. */
        UNKNOWN
    }

    /** No evidence. */
    public static final Evidence NONE = new Evidence(Link.UNKNOWN, 0);

    /** Whether the link has been in the expected state for at least this time. */
    boolean hasHeldFor(Link expected, long nowUs, long durationUs) {
        return link == expected && nowUs - sinceUs >= durationUs;
    }
}
