package sandpaddle.fleet.content.serve;

/**
 * How long a client whose load cannot run in an outage is told to stay away: until the link is expected back, spread
 * over {@code spreadMs} after it, within the pauses that the settings allow. Where the return is beyond the longest
 * pause, the pause is drawn from the upper half of what is allowed, so that not all come back as one wave to be sent
 * away again.
 */
public record RefusalPause(long minMs, long maxMs, long spreadMs) {
    public RefusalPause {
        if (minMs < 0 || maxMs < minMs || spreadMs < 0) {
            throw new IllegalArgumentException("pauses from " + minMs + " to " + maxMs + " ms");
        }
    }

    /** A pause in ms; {@code returnAt} and {@code wall} by the wall clock, {@code drawn} from 0 to 1, 1 excluded. */
    public long pause(long wall, long returnAt, double drawn) {
        long until = Math.max(0, returnAt - wall);
        if (until >= maxMs) {
            long half = Math.max(minMs, maxMs / 2);
            return half + (long) (drawn * (maxMs - half));
        }
        return Math.max(minMs, Math.min(maxMs, until + (long) (drawn * spreadMs)));
    }
}
