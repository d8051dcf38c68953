package sandpaddle.fleet.outage.schedule;

/** A time by the wall clock, in milliseconds since 1970 (UTC): {@code from} is within, {@code to} is not. */
public record TimeRange(long from, long to) {
    public boolean has(long wall) {
        return from <= wall && wall < to;
    }

    /** Whether they share a time or touch. */
    boolean meets(TimeRange other) {
        return from <= other.to && other.from <= to;
    }
}
