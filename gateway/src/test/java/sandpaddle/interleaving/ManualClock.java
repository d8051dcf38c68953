package sandpaddle.interleaving;

import java.time.Duration;
import java.time.Instant;
import sandpaddle.eventloop.MonotonicTimeSource;

/** A clock whose time changes only when the test advances it. */
public final class ManualClock implements MonotonicTimeSource {
    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");

    private Instant now = START;

    /** Advances the time. */
    public void advance(Duration span) {
        now = now.plus(span);
    }

    /** The time in milliseconds since the epoch. */
    public long millis() {
        return now.toEpochMilli();
    }

    @Override
    public Instant instant() {
        return now;
    }
}
