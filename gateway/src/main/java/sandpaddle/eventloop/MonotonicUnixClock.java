package sandpaddle.eventloop;

import java.time.Clock;
import java.time.Instant;

/** Unix time that never decreases: when the system clock is set back, it is constant until that clock catches up. */
public final class MonotonicUnixClock {
    private final Clock systemClock;
    private Instant last = Instant.EPOCH;

    /** Reads the time from {@code systemClock}. */
    public MonotonicUnixClock(Clock systemClock) {
        this.systemClock = systemClock;
    }

    /** The latest time that the system clock has returned. */
    public Instant now() {
        Instant now = systemClock.instant();
        if (now.isAfter(last)) {
            last = now;
        }
        return last;
    }
}
