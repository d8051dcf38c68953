package sandpaddle.fleet.outage.phase;

/**
 * What is known of a zone's link to the engines. {@code since}: monotonic time (us) from which on it has been so
 * without a break; a verdict without fresh evidence is {@link Link#UNKNOWN}.
 */
public record Evidence(Link link, long since) {
    /** Whether engines outside the zone answer. */
    public enum Link {
        REACHABLE,
        UNREACHABLE,
        UNKNOWN
    }

    public static final Evidence NONE = new Evidence(Link.UNKNOWN, 0);

    boolean heldFor(Link which, long now, long us) {
        return link == which && now - since >= us;
    }
}
