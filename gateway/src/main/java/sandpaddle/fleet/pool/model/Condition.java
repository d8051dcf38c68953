package sandpaddle.fleet.pool.model;

import java.time.Duration;
import java.time.LocalTime;
import java.time.ZoneId;
import java.util.Optional;

/** One condition of a {@code when}; all conditions of a statement must hold together. */
public sealed interface Condition {
    boolean holds(FleetState state);

    /** The fleet is in this phase. */
    record InPhase(Phase phase) implements Condition {
        @Override
        public boolean holds(FleetState state) {
            return state.phase() == phase;
        }
    }

    /**
     * The wall clock shows a time of day from {@code from} (included) to {@code to} (excluded), in minutes since
     * midnight, 0 to 1440; past midnight where {@code from} is the greater. Without a time zone, the fleet's holds.
     */
    record TimeOfDay(int from, int to, Optional<ZoneId> timeZone) implements Condition {
        @Override
        public boolean holds(FleetState state) {
            LocalTime time = LocalTime.ofInstant(state.now(), timeZone.orElse(state.timeZone()));
            return contains(time.getHour() * 60 + time.getMinute());
        }

        public boolean contains(int minute) {
            return from <= to ? minute >= from && minute < to : minute >= from || minute < to;
        }
    }

    /** More than this part of the fleet's engines is condemned by verdicts. */
    record Condemned(int overPercent) implements Condition {
        @Override
        public boolean holds(FleetState state) {
            return state.condemnedShare() * 100 > overPercent;
        }
    }

    /** A zone's gateways reach no engine. */
    record Isolated(String zone) implements Condition {
        @Override
        public boolean holds(FleetState state) {
            return state.isolatedZones().contains(zone);
        }
    }

    /** A foreseen outage of the zone has not begun, and begins within this time. */
    record OutageWithin(String zone, Duration within) implements Condition {
        @Override
        public boolean holds(FleetState state) {
            return state.outages().stream()
                            .anyMatch(o -> o.zone().equals(zone)
                                    && state.now().isBefore(o.from())
                                    && !o.from().isAfter(state.now().plus(within)))
                    && state.outages().stream().noneMatch(o -> o.zone().equals(zone) && o.lasts(state.now()));
        }
    }

    /** A foreseen outage of the zone has begun and has not ended. */
    record OutageLasts(String zone) implements Condition {
        @Override
        public boolean holds(FleetState state) {
            return state.outages().stream().anyMatch(o -> o.zone().equals(zone) && o.lasts(state.now()));
        }
    }
}
