package sandpaddle.fleet.pool.check;

import java.time.Duration;
import java.time.Instant;
import java.time.LocalDate;
import java.time.ZoneId;
import java.time.ZoneOffset;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.UnaryOperator;
import sandpaddle.fleet.pool.model.Condition;
import sandpaddle.fleet.pool.model.FleetState;
import sandpaddle.fleet.pool.model.FleetState.Outage;
import sandpaddle.fleet.pool.model.Phase;
import sandpaddle.fleet.pool.model.Statement;

/**
 * States of the fleet that tell all combinations of a policy's conditions apart: each phase, a moment between any two
 * times of day, each threshold, each zone isolated or not, each outage. Where the combinations are too many, each
 * change is tried by itself and all together, and {@code complete} is false.
 */
record Scenarios(List<FleetState> states, boolean complete) {
    /** The ways in which one thing may be, each as a change of the state. */
    private record Choice(List<UnaryOperator<FleetState>> ways) {}

    /** At most so many states. */
    static Scenarios of(Collection<? extends Statement> rules, int max) {
        Set<Condition> conditions = new LinkedHashSet<>();
        rules.forEach(rule -> conditions.addAll(rule.when()));
        List<Choice> choices = choices(conditions);
        FleetState calm =
                new FleetState(ConditionsCheck.DAYS.get(0), ZoneOffset.UTC, Phase.CALM, 0, Set.of(), List.of());
        List<FleetState> states = List.of(calm);
        for (Choice choice : choices) {
            if ((long) states.size() * choice.ways.size() > max) {
                return new Scenarios(single(calm, choices, max), false);
            }
            List<FleetState> more = new ArrayList<>(states.size() * choice.ways.size());
            for (UnaryOperator<FleetState> way : choice.ways) {
                states.forEach(s -> more.add(way.apply(s)));
            }
            states = more;
        }
        return new Scenarios(states, true);
    }

    private static List<FleetState> single(FleetState calm, List<Choice> choices, int max) {
        Set<FleetState> states = new LinkedHashSet<>();
        FleetState last = calm;
        for (Choice choice : choices) {
            last = choice.ways.get(choice.ways.size() - 1).apply(last);
        }
        states.add(last);
        for (Choice choice : choices) {
            for (UnaryOperator<FleetState> way : choice.ways) {
                if (states.size() < max) {
                    states.add(way.apply(calm));
                }
            }
        }
        return List.copyOf(states);
    }

    private static List<Choice> choices(Set<Condition> conditions) {
        Set<Instant> moments = new TreeSet<>();
        Set<Integer> thresholds = new TreeSet<>();
        Set<String> isolated = new TreeSet<>();
        Map<String, Set<Duration>> outages = new TreeMap<>();
        Set<Phase> phases = new HashSet<>();
        for (Condition condition : conditions) {
            if (condition instanceof Condition.InPhase c) {
                phases.add(c.phase());
            } else if (condition instanceof Condition.TimeOfDay c) {
                moments.addAll(moments(c));
            } else if (condition instanceof Condition.Condemned c) {
                thresholds.add(c.overPercent());
            } else if (condition instanceof Condition.Isolated c) {
                isolated.add(c.zone());
            } else if (condition instanceof Condition.OutageLasts c) {
                outages.computeIfAbsent(c.zone(), h -> new TreeSet<>()).add(Duration.ZERO);
            } else if (condition instanceof Condition.OutageWithin c) {
                outages.computeIfAbsent(c.zone(), h -> new TreeSet<>()).add(c.within());
            }
        }
        List<Choice> choices = new ArrayList<>();
        if (!moments.isEmpty()) {
            choices.add(choice(
                    moments,
                    (s, now) -> new FleetState(
                            now, s.timeZone(), s.phase(), s.condemnedShare(), s.isolatedZones(), s.outages())));
        }
        if (!phases.isEmpty()) {
            choices.add(choice(
                    List.of(Phase.values()),
                    (s, phase) -> new FleetState(
                            s.now(), s.timeZone(), phase, s.condemnedShare(), s.isolatedZones(), s.outages())));
        }
        if (!thresholds.isEmpty()) {
            List<Double> shares = new ArrayList<>(List.of(0.0));
            thresholds.forEach(percent -> shares.add((percent + 0.5) / 100));
            choices.add(choice(
                    shares,
                    (s, share) ->
                            new FleetState(s.now(), s.timeZone(), s.phase(), share, s.isolatedZones(), s.outages())));
        }
        isolated.forEach(zone -> choices.add(choice(List.of(false, true), (s, is) -> is ? isolated(s, zone) : s)));
        outages.forEach((zone, times) -> choices.add(outage(zone, times)));
        return choices;
    }

    private interface Change<T> {
        FleetState apply(FleetState state, T value);
    }

    private static <T> Choice choice(Collection<T> values, Change<T> change) {
        List<UnaryOperator<FleetState>> ways = new ArrayList<>();
        values.forEach(value -> ways.add(state -> change.apply(state, value)));
        return new Choice(ways);
    }

    private static FleetState isolated(FleetState s, String zone) {
        Set<String> zones = new HashSet<>(s.isolatedZones());
        zones.add(zone);
        return new FleetState(s.now(), s.timeZone(), s.phase(), s.condemnedShare(), zones, s.outages());
    }

    /** No outage, or one that comes after just the time of a condition; after no time it lasts. */
    private static Choice outage(String zone, Set<Duration> times) {
        Map<Duration, Duration> ways = new LinkedHashMap<>();
        times.forEach(t -> ways.put(t, t));
        Choice choice = choice(ways.values(), (s, in) -> {
            List<Outage> all = new ArrayList<>(s.outages());
            all.add(new Outage(zone, s.now().plus(in), s.now().plus(in).plus(Duration.ofHours(1))));
            return new FleetState(s.now(), s.timeZone(), s.phase(), s.condemnedShare(), s.isolatedZones(), all);
        });
        choice.ways.add(0, s -> s);
        return choice;
    }

    /** Where the range begins and ends, on a day in winter and one in summer. */
    private static List<Instant> moments(Condition.TimeOfDay time) {
        ZoneId timeZone = time.timeZone().orElse(ZoneOffset.UTC);
        List<Instant> moments = new ArrayList<>();
        for (Instant day : ConditionsCheck.DAYS) {
            LocalDate date = LocalDate.ofInstant(day, ZoneOffset.UTC);
            for (int minute : new int[] {time.from(), time.to()}) {
                moments.add(
                        date.atStartOfDay().plusMinutes(minute).atZone(timeZone).toInstant());
            }
        }
        return moments;
    }
}
