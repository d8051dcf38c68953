package sandpaddle.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import sandpaddle.decision.EventReplay.Renaming;
import sandpaddle.decision.action.Action;
import sandpaddle.decision.action.CancelAttempt;
import sandpaddle.decision.action.LogMessage;
import sandpaddle.decision.action.SendAttempt;
import sandpaddle.decision.event.AttemptEnded;
import sandpaddle.decision.event.EngineEntry;
import sandpaddle.decision.event.EngineStatus;
import sandpaddle.decision.event.EngineVerdict;
import sandpaddle.decision.event.EngineVerdictsChanged;
import sandpaddle.decision.event.Event;
import sandpaddle.decision.event.HealthCheckEnded;
import sandpaddle.decision.event.Quota;
import sandpaddle.decision.event.QuotasChanged;
import sandpaddle.decision.event.RequestReceived;
import sandpaddle.decision.settings.DecisionSettings;
import sandpaddle.decision.settings.PlatformRules;
import sandpaddle.decision.settings.ServiceCosts;

/**
 * Metamorphic tests: ids, indices and orders without a meaning do not change decisions.
 *
 * <p>The following do change them, and are kept: the id of an engine, whose hash distributes data groups, connections,
 * turns and initial debts of engines that are warming up; the order in which engines are first listed, which random
 * choices depend on; and the index of a class, which decides which class's work becomes an initial debt. In a workload
 * where none of these is used ({@link #plain}), ids of engines, indices of classes and the origin of time must not
 * change decisions either.
 */
class MetamorphicTest {
    private static final int WORKLOAD_COUNT = 8;
    private static final long LENGTH_US = 3_000_000;

    /** Fails at the first event with different actions; with an order, actions are compared regardless of theirs. */
    private static void assertSameDecisions(EventReplay workload, Renaming renaming, Comparator<Action> order) {
        List<List<Action>> expected = workload.expected(renaming);
        List<List<Action>> actual = workload.replay(renaming);
        for (int i = 0; i < actual.size(); i++) {
            assertEquals(
                    sorted(expected.get(i), order),
                    sorted(actual.get(i), order),
                    "event " + i + " of " + workload.steps.size() + ": "
                            + workload.steps.get(i).event());
        }
    }

    private static List<Action> sorted(List<Action> actions, Comparator<Action> order) {
        return order == null ? actions : actions.stream().sorted(order).toList();
    }

    /**
     * A sweep checks zones and classes one by one, so the order of its cancellations and log messages depends on
     * theirs.
     */
    private static final Comparator<Action> UNORDERED_SWEEP_ACTIONS = Comparator.comparing(
            (Action a) -> a instanceof CancelAttempt || a instanceof LogMessage ? a.toString() : "");

    private static final List<EventReplay> WORKLOADS = IntStream.range(0, WORKLOAD_COUNT)
            .mapToObj(seed -> new EventReplay(seed, LENGTH_US, s -> s, e -> e))
            .toList();

    private static EventReplay workload(int seed) {
        return WORKLOADS.get(seed);
    }

    /** A workload without slow start, load reports, data groups and costs of handshakes. */
    private static EventReplay plain(int seed) {
        return new EventReplay(
                seed,
                LENGTH_US,
                s -> {
                    PlatformRules r = s.rules();
                    return new DecisionSettings(
                            s.gateways(),
                            s.gatewayIndex(),
                            s.zone(),
                            s.subscribe(),
                            s.classes(),
                            s.kinds(),
                            List.of(),
                            s.reportsInAnswers(),
                            s.limits(),
                            new PlatformRules(
                                    r.answerSlackUs(),
                                    r.drainGraceUs(),
                                    r.pollWithinUs(),
                                    r.slowStartFrom(),
                                    0,
                                    r.overloadMultiple(),
                                    r.overloadWindowUs(),
                                    r.orderingPauseUs(),
                                    r.retryBudgetWindowUs(),
                                    r.retryBudgetFloor(),
                                    r.retryBudgetRatio()),
                            s.features(),
                            new ServiceCosts(s.costs().healthCheck(), 0));
                },
                MetamorphicTest::plain);
    }

    private static Event plain(Event event) {
        if (event instanceof RequestReceived r) {
            return new RequestReceived(
                    r.id(),
                    r.classIndex(),
                    r.key(),
                    r.expiresInUs(),
                    r.estimateUs(),
                    r.memoryMb(),
                    -1,
                    r.retry(),
                    r.sheddable());
        } else if (event instanceof AttemptEnded o) {
            return new AttemptEnded(
                    o.id(),
                    o.attempt(),
                    o.engine(),
                    o.result(),
                    o.settled(),
                    o.elapsedUs(),
                    o.usedWorkMs(),
                    o.usedMemoryMb(),
                    null);
        }
        return event instanceof HealthCheckEnded p
                ? new HealthCheckEnded(p.engine(), p.result(), p.elapsedUs(), null)
                : event;
    }

    private static Renaming renaming(Consumer<Renaming> change) {
        Renaming w = new Renaming();
        change.accept(w);
        return w;
    }

    /** Returns a random permutation of indices other than the identity. */
    private static UnaryOperator<Integer> permutation(int size, int seed) {
        List<Integer> order = new ArrayList<>(IntStream.range(0, size).boxed().toList());
        Collections.shuffle(order, new Random(seed));
        if (size > 1 && order.equals(IntStream.range(0, size).boxed().toList())) {
            Collections.rotate(order, 1);
        }
        return i -> i >= 0 && i < size ? order.get(i) : i;
    }

    private static int countSends(EventReplay workload) {
        return workload
                .map(s -> (int) s.actions().stream()
                        .filter(a -> a instanceof SendAttempt)
                        .count())
                .stream()
                .mapToInt(n -> n)
                .sum();
    }

    @Test
    void idsOfRequestsAndKeysDoNotChangeDecisions() {
        for (int seed = 0; seed < WORKLOAD_COUNT; seed++) {
            EventReplay workload = workload(seed);
            assertTrue(countSends(workload) > 50, "sends " + countSends(workload));
            assertSameDecisions(
                    workload,
                    renaming(w -> {
                        w.request = r -> "q/" + new StringBuilder(r).reverse();
                        w.key = k -> "z" + k.hashCode() * 31;
                    }),
                    null);
        }
    }

    @Test
    void indicesOfTenantsDoNotChangeDecisions() {
        for (int seed = 0; seed < WORKLOAD_COUNT; seed++) {
            UnaryOperator<Integer> other = permutation(4, seed);
            assertSameDecisions(workload(seed), renaming(w -> w.tenant = t -> 70 + other.apply(t)), null);
        }
    }

    @Test
    void indicesOfZonesDoNotChangeDecisions() {
        for (int seed = 0; seed < WORKLOAD_COUNT; seed++) {
            UnaryOperator<Integer> other = permutation(3, seed);
            assertSameDecisions(
                    workload(seed), renaming(w -> w.zone = z -> other.apply(z) * 5), UNORDERED_SWEEP_ACTIONS);
        }
    }

    @Test
    void theOrderOfKindsDoesNotChangeDecisions() {
        for (int seed = 0; seed < WORKLOAD_COUNT; seed++) {
            UnaryOperator<Integer> other = permutation(2, seed);
            assertSameDecisions(workload(seed), renaming(w -> w.kind = other), null);
        }
    }

    @Test
    void theOrderOfReportedValuesDoesNotChangeDecisions() {
        for (int seed = 0; seed < WORKLOAD_COUNT; seed++) {
            EventReplay workload = workload(seed);
            int shuffle = seed;
            assertSameDecisions(
                    workload,
                    renaming(w -> w.load = values -> {
                        UnaryOperator<Integer> other = permutation(values.length, shuffle);
                        return IntStream.range(0, values.length)
                                .mapToDouble(i -> values[other.apply(i)])
                                .toArray();
                    }),
                    null);
        }
    }

    /** Only the order of engines that are already known is changed. */
    @Test
    void theOrderOfTheEngineListDoesNotChangeDecisions() {
        for (int seed = 0; seed < WORKLOAD_COUNT; seed++) {
            Set<String> known = new HashSet<>();
            int shuffle = seed;
            assertSameDecisions(
                    workload(seed),
                    renaming(w -> w.entryOrder = l -> {
                        List<EngineEntry> again = new ArrayList<>(
                                l.stream().filter(e -> known.contains(e.id())).toList());
                        Collections.shuffle(again, new Random(shuffle));
                        again.addAll(
                                l.stream().filter(e -> !known.contains(e.id())).toList());
                        l.forEach(e -> {
                            if (e.status() == EngineStatus.REMOVED) {
                                known.remove(e.id());
                            } else {
                                known.add(e.id());
                            }
                        });
                        return again;
                    }),
                    null);
        }
    }

    @Test
    void theOrderOfQuotasAndVerdictsDoesNotChangeDecisions() {
        for (int seed = 0; seed < WORKLOAD_COUNT; seed++) {
            EventReplay workload = workload(seed);
            DefaultDecisionModule module = new DefaultDecisionModule(workload.settings, seed);
            for (EventReplay.Step s : workload.steps) {
                List<Action> actions = new ArrayList<>();
                module.handle(s.atUs(), reversed(s.event()), actions::add);
                assertEquals(s.actions(), actions);
            }
        }
    }

    private static Event reversed(Event e) {
        if (e instanceof QuotasChanged a) {
            List<Quota> all = new ArrayList<>(a.quotas());
            Collections.reverse(all);
            return new QuotasChanged(all, a.retryAfterUs());
        } else if (e instanceof EngineVerdictsChanged v) {
            List<EngineVerdict> all = new ArrayList<>(v.verdicts());
            Collections.reverse(all);
            return new EngineVerdictsChanged(all);
        }
        return e;
    }

    @Test
    void theOrderOfClassesDoesNotChangeDecisions() {
        for (int seed = 0; seed < WORKLOAD_COUNT; seed++) {
            UnaryOperator<Integer> other = permutation(3, seed);
            assertSameDecisions(plain(seed), renaming(w -> w.classIndex = other), UNORDERED_SWEEP_ACTIONS);
        }
    }

    @Test
    void idsOfEnginesChangeDecisionsByTheirHashesOnly() {
        for (int seed = 0; seed < WORKLOAD_COUNT; seed++) {
            assertSameDecisions(
                    plain(seed), renaming(w -> w.engine = e -> "node." + new StringBuilder(e + "x").reverse()), null);
        }
    }

    @Test
    void theOriginOfTimeDoesNotChangeDecisions() {
        for (int seed = 0; seed < WORKLOAD_COUNT; seed++) {
            assertSameDecisions(plain(seed), renaming(w -> w.time = t -> t + 1_764_000_000_123_457L), null);
        }
    }

    /** The comparison detects changes that do matter: requests of another class, and other ids of engines. */
    @Test
    void changesThatMatterAreDetected() {
        int classChanges = 0;
        int idChanges = 0;
        for (int seed = 0; seed < WORKLOAD_COUNT; seed++) {
            EventReplay workload = workload(seed);
            Renaming swapped = renaming(w -> w.classIndex = c -> (c + 1) % 3);
            classChanges += workload.replay(swapped, workload.settings).equals(workload.expected(swapped)) ? 0 : 1;
            Renaming named = renaming(w -> w.engine = e -> "other-" + e);
            idChanges += workload.replay(named).equals(workload.expected(named)) ? 0 : 1;
        }
        assertEquals(WORKLOAD_COUNT, classChanges);
        assertTrue(idChanges > WORKLOAD_COUNT / 2, "workloads " + idChanges);
    }
}
