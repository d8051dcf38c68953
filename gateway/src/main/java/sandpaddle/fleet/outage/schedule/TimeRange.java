package sandpaddle.fleet.outage.schedule;

/**
 * Half-open range of wall-clock time, in milliseconds since 1970 (UTC).
 *
 * @param startMs first millisecond of the range
 * @param endMs first millisecond after the range
 */
public record TimeRange(long startMs, long endMs) {
    /** Whether the range contains a time. */
    public boolean contains(long wallMs) {
        return startMs <= wallMs && wallMs < endMs;
    }

    /** Whether two ranges overlap or adjoin. */
    boolean touches(TimeRange other) {
        return startMs <= other.endMs && other.startMs <= endMs;
    }
}
