package sandpaddle.fleet.pool.model;

import java.time.Duration;
import java.time.LocalTime;
import java.time.ZoneId;
import java.util.Optional;

/** One condition of a {@code when} clause; a statement applies while all of its conditions hold. */
public sealed interface Condition {
    /** Evaluates this condition in the given state. */
    boolean holds(FleetState state);

    /** Holds while the overload controller is in this phase. */
    record InPhase(Phase phase) implements Condition {
        @Override
        public boolean holds(FleetState state) {
            return state.phase() == phase;
        }
    }

    /**
     * Holds while the local time is in a range of the day; the range includes midnight if {@code from} is greater than
     * {@code to}.
     *
     * @param from first minute of the range, in minutes since midnight, 0 to 1440
     * @param to end of the range (exclusive), in minutes since midnight, 0 to 1440
     * @param timeZone if absent, the time zone of the fleet's state applies
     */
    record TimeOfDay(int from, int to, Optional<ZoneId> timeZone) implements Condition {
        @Override
        public boolean holds(FleetState state) {
            LocalTime time = LocalTime.ofInstant(state.now(), timeZone.orElse(state.timeZone()));
            return contains(time.getHour() * 60 + time.getMinute());
        }

        /** Whether the range contains a time of day, given in minutes since midnight. */
        public boolean contains(int minute) {
            return from <= to ? minute >= from && minute < to : minute >= from || minute < to;
        }
    }

    /** Holds while more than this percentage of the fleet's engines is ejected by verdicts. */
    record EjectedOver(int overPercent) implements Condition {
        @Override
        public boolean holds(FleetState state) {
            return state.ejectedFraction() * 100 > overPercent;
        }
    }

    /** Holds while the gateways of the zone reach no engine. */
    record Isolated(String zone) implements Condition {
        @Override
        public boolean holds(FleetState state) {
            return state.isolatedZones().contains(zone);
        }
    }

    /** Holds while a planned outage of the zone is due to begin within this time, and none is in progress. */
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

    /** Holds while a planned outage of the zone is in progress. */
    record OutageLasts(String zone) implements Condition {
        @Override
        public boolean holds(FleetState state) {
            return state.outages().stream().anyMatch(o -> o.zone().equals(zone) && o.lasts(state.now()));
        }
    }
}
