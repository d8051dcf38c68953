package sandpaddle.decision;

import java.time.Duration;
import java.time.Instant;
import java.time.temporal.ChronoUnit;

/** Converts between the microseconds of the decision module and {@code java.time}, which all other modules use. */
public final class Micros {
    private Micros() {}

    /** Returns the microseconds from the epoch to an instant. */
    public static long of(Instant instant) {
        return ChronoUnit.MICROS.between(Instant.EPOCH, instant);
    }

    /** Returns the whole microseconds of a duration. */
    public static long of(Duration duration) {
        return duration.toNanos() / 1000;
    }

    /** Returns the instant at a number of microseconds after the epoch. */
    public static Instant instant(long timeUs) {
        return Instant.EPOCH.plus(timeUs, ChronoUnit.MICROS);
    }

    /** Returns the duration of a number of microseconds. */
    public static Duration span(long durationUs) {
        return Duration.of(durationUs, ChronoUnit.MICROS);
    }
}
