package sandpaddle.query;

/** How a probe ended; {@code stats} is null where none came. */
public record ProbeEnd(Kind kind, String stats) {
    public enum Kind { WELL, UNWELL, NOT_CONNECTED, BROKEN, TIMED_OUT }
}
