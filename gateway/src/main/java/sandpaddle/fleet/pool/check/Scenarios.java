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
 * States of the fleet that cover all combinations of the conditions of a policy: each phase, each boundary of a range
 * of times of day, each threshold, each zone isolated or not, each outage. If there are too many combinations, each
 * change is tried on its own and all of them together.
 *
 * @param complete whether all combinations are covered
 */
record Scenarios(List<FleetState> states, boolean complete) {
    /** One aspect of the state, with its possible values as modifications of a state. */
    private record Variable(List<UnaryOperator<FleetState>> variants) {}

    /** Enumerates at most {@code maxStates} states. */
    static Scenarios of(Collection<? extends Statement> statements, int maxStates) {
        Set<Condition> conditions = new LinkedHashSet<>();
        statements.forEach(statement -> conditions.addAll(statement.conditions()));
        List<Variable> variables = variables(conditions);
        FleetState calm =
                new FleetState(ConditionsCheck.SAMPLE_DAYS.get(0), ZoneOffset.UTC, Phase.CALM, 0, Set.of(), List.of());
        List<FleetState> states = List.of(calm);
        for (Variable variable : variables) {
            if ((long) states.size() * variable.variants.size() > maxStates) {
                return new Scenarios(oneAtATime(calm, variables, maxStates), false);
            }
            List<FleetState> product = new ArrayList<>(states.size() * variable.variants.size());
            for (UnaryOperator<FleetState> variant : variable.variants) {
                states.forEach(state -> product.add(variant.apply(state)));
            }
            states = product;
        }
        return new Scenarios(states, true);
    }

    private static List<FleetState> oneAtATime(FleetState calm, List<Variable> variables, int maxStates) {
        Set<FleetState> states = new LinkedHashSet<>();
        FleetState last = calm;
        for (Variable variable : variables) {
            last = variable.variants.get(variable.variants.size() - 1).apply(last);
        }
        states.add(last);
        for (Variable variable : variables) {
            for (UnaryOperator<FleetState> variant : variable.variants) {
                if (states.size() < maxStates) {
                    states.add(variant.apply(calm));
                }
            }
        }
        return List.copyOf(states);
    }

    private static List<Variable> variables(Set<Condition> conditions) {
        Set<Instant> moments = new TreeSet<>();
        Set<Integer> thresholds = new TreeSet<>();
        Set<String> isolatedZones = new TreeSet<>();
        Map<String, Set<Duration>> outages = new TreeMap<>();
        Set<Phase> phases = new HashSet<>();
        for (Condition condition : conditions) {
            if (condition instanceof Condition.InPhase matched) {
                phases.add(matched.phase());
            } else if (condition instanceof Condition.TimeOfDay matched) {
                moments.addAll(moments(matched));
            } else if (condition instanceof Condition.EjectedOver matched) {
                thresholds.add(matched.overPercent());
            } else if (condition instanceof Condition.Isolated matched) {
                isolatedZones.add(matched.zone());
            } else if (condition instanceof Condition.OutageLasts matched) {
                outages.computeIfAbsent(matched.zone(), zone -> new TreeSet<>()).add(Duration.ZERO);
            } else if (condition instanceof Condition.OutageWithin matched) {
                outages.computeIfAbsent(matched.zone(), zone -> new TreeSet<>()).add(matched.within());
            }
        }
        List<Variable> variables = new ArrayList<>();
        if (!moments.isEmpty()) {
            variables.add(variable(
                    moments,
                    (state, now) -> new FleetState(
                            now,
                            state.timeZone(),
                            state.phase(),
                            state.ejectedFraction(),
                            state.isolatedZones(),
                            state.outages())));
        }
        if (!phases.isEmpty()) {
            variables.add(variable(
                    List.of(Phase.values()),
                    (state, phase) -> new FleetState(
                            state.now(),
                            state.timeZone(),
                            phase,
                            state.ejectedFraction(),
                            state.isolatedZones(),
                            state.outages())));
        }
        if (!thresholds.isEmpty()) {
            List<Double> shares = new ArrayList<>(List.of(0.0));
            thresholds.forEach(percent -> shares.add((percent + 0.5) / 100));
            variables.add(variable(
                    shares,
                    (state, share) -> new FleetState(
                            state.now(),
                            state.timeZone(),
                            state.phase(),
                            share,
                            state.isolatedZones(),
                            state.outages())));
        }
        isolatedZones.forEach(zone -> variables.add(variable(
                List.of(false, true), (state, isIsolated) -> isIsolated ? withIsolatedZone(state, zone) : state)));
        outages.forEach((zone, times) -> variables.add(outage(zone, times)));
        return variables;
    }

    private interface Change<T> {
        FleetState apply(FleetState state, T value);
    }

    private static <T> Variable variable(Collection<T> values, Change<T> change) {
        List<UnaryOperator<FleetState>> variants = new ArrayList<>();
        values.forEach(value -> variants.add(state -> change.apply(state, value)));
        return new Variable(variants);
    }

    private static FleetState withIsolatedZone(FleetState state, String zone) {
        Set<String> zones = new HashSet<>(state.isolatedZones());
        zones.add(zone);
        return new FleetState(
                state.now(), state.timeZone(), state.phase(), state.ejectedFraction(), zones, state.outages());
    }

    /** No outage, or one that begins after the time of a condition; after zero time it is in progress. */
    private static Variable outage(String zone, Set<Duration> times) {
        Map<Duration, Duration> variants = new LinkedHashMap<>();
        times.forEach(delay -> variants.put(delay, delay));
        Variable variable = variable(variants.values(), (state, delay) -> {
            List<Outage> all = new ArrayList<>(state.outages());
            all.add(new Outage(
                    zone, state.now().plus(delay), state.now().plus(delay).plus(Duration.ofHours(1))));
            return new FleetState(
                    state.now(), state.timeZone(), state.phase(), state.ejectedFraction(), state.isolatedZones(), all);
        });
        variable.variants.add(0, state -> state);
        return variable;
    }

    /** The begin and the end of the range, on a day in winter and one in summer. */
    private static List<Instant> moments(Condition.TimeOfDay time) {
        ZoneId timeZone = time.timeZone().orElse(ZoneOffset.UTC);
        List<Instant> moments = new ArrayList<>();
        for (Instant day : ConditionsCheck.SAMPLE_DAYS) {
            LocalDate date = LocalDate.ofInstant(day, ZoneOffset.UTC);
            for (int minute : new int[] {time.from(), time.to()}) {
                moments.add(
                        date.atStartOfDay().plusMinutes(minute).atZone(timeZone).toInstant());
            }
        }
        return moments;
    }
}
