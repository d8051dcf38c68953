package sandpaddle.fleet.pool.check;

import java.time.Instant;
import java.time.LocalTime;
import java.time.ZoneId;
import java.time.ZoneOffset;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import sandpaddle.fleet.pool.model.Condition;
import sandpaddle.fleet.pool.model.Condition.InPhase;
import sandpaddle.fleet.pool.model.Condition.OutageLasts;
import sandpaddle.fleet.pool.model.Condition.OutageWithin;
import sandpaddle.fleet.pool.model.Condition.TimeOfDay;
import sandpaddle.fleet.pool.model.DiagnosticList;
import sandpaddle.fleet.pool.model.Statement;

/**
 * Reports statements whose conditions never hold together. Times of day in several time zones are compared at each
 * minute of one day in winter and one in summer; an overlap that exists only on other days, such as those on which the
 * clocks change, is not found.
 */
final class ConditionsCheck {
    static final List<Instant> SAMPLE_DAYS =
            List.of(Instant.parse("2026-01-15T00:00:00Z"), Instant.parse("2026-07-15T00:00:00Z"));
    private static final int MINUTES_PER_DAY = 24 * 60;

    private final DiagnosticList diagnostics;
    private final Map<ZoneId, int[]> minutesByTimeZone = new HashMap<>();

    ConditionsCheck(DiagnosticList diagnostics) {
        this.diagnostics = diagnostics;
    }

    void check(Statement statement) {
        String contradiction = contradiction(statement.conditions());
        if (contradiction != null) {
            diagnostics.error(statement.position(), contradiction, "conditions that can hold together");
        }
    }

    private String contradiction(List<Condition> conditions) {
        List<TimeOfDay> withTimeZone = new ArrayList<>();
        List<TimeOfDay> local = new ArrayList<>();
        for (int i = 0; i < conditions.size(); i++) {
            Condition first = conditions.get(i);
            if (first instanceof TimeOfDay time) {
                if (time.from() == time.to()) {
                    return "a time of day that is empty";
                }
                (time.timeZone().isPresent() ? withTimeZone : local).add(time);
            }
            for (Condition second : conditions.subList(0, i)) {
                if (first instanceof InPhase && second instanceof InPhase) {
                    return "two phases at once";
                }
                if (excludes(first, second) || excludes(second, first)) {
                    return "an outage that lasts and is yet to come";
                }
            }
        }
        return canOverlap(withTimeZone) && canOverlap(local) ? null : "times of day that never meet";
    }

    /**
     * Whether the conditions exclude each other: {@link OutageWithin} never holds while an outage of the zone lasts.
     */
    private static boolean excludes(Condition first, Condition second) {
        return first instanceof OutageLasts lasts
                && second instanceof OutageWithin within
                && lasts.zone().equals(within.zone());
    }

    private boolean canOverlap(List<TimeOfDay> times) {
        if (times.size() < 2) {
            return true;
        }
        for (int minute = 0; minute < SAMPLE_DAYS.size() * MINUTES_PER_DAY; minute++) {
            boolean all = true;
            for (TimeOfDay time : times) {
                all &= time.contains(localMinutes(time.timeZone().orElse(ZoneOffset.UTC))[minute]);
            }
            if (all) {
                return true;
            }
        }
        return false;
    }

    /** The local time of day in the time zone, in minutes since midnight, at each minute of the sample days. */
    private int[] localMinutes(ZoneId timeZone) {
        return minutesByTimeZone.computeIfAbsent(timeZone, zone -> {
            int[] minutes = new int[SAMPLE_DAYS.size() * MINUTES_PER_DAY];
            for (int i = 0; i < minutes.length; i++) {
                LocalTime time = LocalTime.ofInstant(
                        SAMPLE_DAYS.get(i / MINUTES_PER_DAY).plusSeconds(i % MINUTES_PER_DAY * 60L), zone);
                minutes[i] = time.getHour() * 60 + time.getMinute();
            }
            return minutes;
        });
    }

    /** Whether {@code conditions} are known to imply {@code implied}; false also if that cannot be determined. */
    static boolean implies(List<Condition> conditions, List<Condition> implied) {
        return implied.stream().allMatch(required -> conditions.stream().anyMatch(given -> implies(given, required)));
    }

    private static boolean implies(Condition first, Condition second) {
        if (first.equals(second)) {
            return true;
        }
        if (first instanceof Condition.EjectedOver inner && second instanceof Condition.EjectedOver outer) {
            return inner.overPercent() >= outer.overPercent();
        }
        if (first instanceof OutageWithin inner && second instanceof OutageWithin outer) {
            return inner.zone().equals(outer.zone()) && inner.within().compareTo(outer.within()) <= 0;
        }
        return first instanceof TimeOfDay inner
                && second instanceof TimeOfDay outer
                && inner.timeZone().equals(outer.timeZone())
                && within(inner, outer);
    }

    private static boolean within(TimeOfDay inner, TimeOfDay outer) {
        if (inner.from() <= inner.to()) {
            return within(inner.from(), inner.to(), outer);
        }
        return within(inner.from(), MINUTES_PER_DAY, outer) && within(0, inner.to(), outer);
    }

    private static boolean within(int from, int to, TimeOfDay outer) {
        if (outer.from() <= outer.to()) {
            return from >= to || from >= outer.from() && to <= outer.to();
        }
        return from >= to || from >= outer.from() || to <= outer.to();
    }
}
