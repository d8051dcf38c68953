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
import sandpaddle.fleet.pool.model.FaultList;
import sandpaddle.fleet.pool.model.Statement;

/**
 * Tells rules that never hold. Times of day in several time zones are compared over each minute of a day in winter and
 * one in summer; a relation that holds only in the hours when clocks change is not seen.
 */
final class ConditionsCheck {
    static final List<Instant> DAYS =
            List.of(Instant.parse("2026-01-15T00:00:00Z"), Instant.parse("2026-07-15T00:00:00Z"));
    private static final int DAY = 24 * 60;

    private final FaultList faults;
    private final Map<ZoneId, int[]> minutes = new HashMap<>();

    ConditionsCheck(FaultList faults) {
        this.faults = faults;
    }

    void check(Statement rule) {
        String never = never(rule.when());
        if (never != null) {
            faults.error(rule.at(), never, "conditions that can hold together");
        }
    }

    private String never(List<Condition> when) {
        List<TimeOfDay> withTimeZone = new ArrayList<>();
        List<TimeOfDay> local = new ArrayList<>();
        for (int i = 0; i < when.size(); i++) {
            Condition a = when.get(i);
            if (a instanceof TimeOfDay time) {
                if (time.from() == time.to()) {
                    return "a time of day that is empty";
                }
                (time.timeZone().isPresent() ? withTimeZone : local).add(time);
            }
            for (Condition b : when.subList(0, i)) {
                if (a instanceof InPhase && b instanceof InPhase) {
                    return "two phases at once";
                }
                if (excluded(a, b) || excluded(b, a)) {
                    return "an outage that lasts and is yet to come";
                }
            }
        }
        return meet(withTimeZone) && meet(local) ? null : "times of day that never meet";
    }

    /** While an outage lasts, none of the zone comes as conditions mean it. */
    private static boolean excluded(Condition a, Condition b) {
        return a instanceof OutageLasts lasts
                && b instanceof OutageWithin within
                && lasts.zone().equals(within.zone());
    }

    private boolean meet(List<TimeOfDay> times) {
        if (times.size() < 2) {
            return true;
        }
        for (int minute = 0; minute < DAYS.size() * DAY; minute++) {
            boolean all = true;
            for (TimeOfDay time : times) {
                all &= time.contains(minutesOf(time.timeZone().orElse(ZoneOffset.UTC))[minute]);
            }
            if (all) {
                return true;
            }
        }
        return false;
    }

    /** The time zone's time of day at each minute of the days that are looked at. */
    private int[] minutesOf(ZoneId timeZone) {
        return minutes.computeIfAbsent(timeZone, z -> {
            int[] of = new int[DAYS.size() * DAY];
            for (int i = 0; i < of.length; i++) {
                LocalTime time = LocalTime.ofInstant(DAYS.get(i / DAY).plusSeconds(i % DAY * 60L), z);
                of[i] = time.getHour() * 60 + time.getMinute();
            }
            return of;
        });
    }

    /** Whether {@code a} can hold only where {@code b} holds; false also where that is not known. */
    static boolean implies(List<Condition> a, List<Condition> b) {
        return b.stream().allMatch(wanted -> a.stream().anyMatch(given -> implies(given, wanted)));
    }

    private static boolean implies(Condition a, Condition b) {
        if (a.equals(b)) {
            return true;
        }
        if (a instanceof Condition.Condemned x && b instanceof Condition.Condemned y) {
            return x.overPercent() >= y.overPercent();
        }
        if (a instanceof OutageWithin x && b instanceof OutageWithin y) {
            return x.zone().equals(y.zone()) && x.within().compareTo(y.within()) <= 0;
        }
        return a instanceof TimeOfDay x
                && b instanceof TimeOfDay y
                && x.timeZone().equals(y.timeZone())
                && within(x, y);
    }

    private static boolean within(TimeOfDay inner, TimeOfDay outer) {
        if (inner.from() <= inner.to()) {
            return within(inner.from(), inner.to(), outer);
        }
        return within(inner.from(), DAY, outer) && within(0, inner.to(), outer);
    }

    private static boolean within(int from, int to, TimeOfDay outer) {
        if (outer.from() <= outer.to()) {
            return from >= to || from >= outer.from() && to <= outer.to();
        }
        return from >= to || from >= outer.from() || to <= outer.to();
    }
}
