package sandpaddle.interleaving;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;

/** A clock whose time changes only when the test advances it. */
public final class ManualClock extends Clock {
    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");

    private Instant now = START;

    /** Advances the time. */
    public void advance(Duration span) {
        now = now.plus(span);
    }

    @Override
    public ZoneId getZone() {
        return ZoneOffset.UTC;
    }

    @Override
    public Clock withZone(ZoneId zone) {
        return this;
    }

    @Override
    public Instant instant() {
        return now;
    }
}
