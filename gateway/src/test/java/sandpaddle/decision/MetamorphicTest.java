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
import sandpaddle.decision.Replay.Words;
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
 * The same day under other names is decided alike: names, numbers and orders that mean nothing change nothing.
 *
 * <p>What does matter, and is kept: an engine's id (hashes of it spread data groups, handshakes, the turns and the
 * debts of engines that warm up over the fleet) and the order in which engines are first listed (draws go by it). The
 * position of a class decides which class's work is drawn as a debt. Where nothing of that is looked at ({@link
 * #plain}), ids of engines, positions of classes and the origin of time must not matter either.
 */
class MetamorphicTest {
    private static final int DAYS = 8;
    private static final long LENGTH_US = 3_000_000;

    /** Fails at the first event on which the two decide differently. */
    private static void assertAlike(Replay day, Words words, Comparator<Action> order) {
        List<List<Action>> expected = day.expected(words);
        List<List<Action>> got = day.inOther(words);
        for (int i = 0; i < got.size(); i++) {
            assertEquals(
                    sorted(expected.get(i), order),
                    sorted(got.get(i), order),
                    "event " + i + " of " + day.steps.size() + ": "
                            + day.steps.get(i).event());
        }
    }

    private static List<Action> sorted(List<Action> actions, Comparator<Action> order) {
        return order == null ? actions : actions.stream().sorted(order).toList();
    }

    /** Zones, and classes on an engine, are looked at one by one: what is called off in a sweep has no order. */
    private static final Comparator<Action> SWEPT = Comparator.comparing(
            (Action a) -> a instanceof CancelAttempt || a instanceof LogMessage ? a.toString() : "");

    private static final List<Replay> DRAWN = IntStream.range(0, DAYS)
            .mapToObj(seed -> new Replay(seed, LENGTH_US, s -> s, e -> e))
            .toList();

    private static Replay drawn(int seed) {
        return DRAWN.get(seed);
    }

    /** A day without engines that warm up, reports, charged handshakes and data groups. */
    private static Replay plain(int seed) {
        return new Replay(
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

    private static Words words(Consumer<Words> change) {
        Words w = new Words();
        change.accept(w);
        return w;
    }

    /** A drawn order of so many positions; never the one there was. */
    private static UnaryOperator<Integer> permutation(int size, int seed) {
        List<Integer> order = new ArrayList<>(IntStream.range(0, size).boxed().toList());
        Collections.shuffle(order, new Random(seed));
        if (size > 1 && order.equals(IntStream.range(0, size).boxed().toList())) {
            Collections.rotate(order, 1);
        }
        return i -> i >= 0 && i < size ? order.get(i) : i;
    }

    private static int sends(Replay day) {
        return day
                .map(s -> (int) s.decided().stream()
                        .filter(a -> a instanceof SendAttempt)
                        .count())
                .stream()
                .mapToInt(n -> n)
                .sum();
    }

    @Test
    void idsOfRequestsAndKeysDoNotChangeDecisions() {
        for (int seed = 0; seed < DAYS; seed++) {
            Replay day = drawn(seed);
            assertTrue(sends(day) > 50, "sends " + sends(day));
            assertAlike(
                    day,
                    words(w -> {
                        w.request = r -> "q/" + new StringBuilder(r).reverse();
                        w.key = k -> "z" + k.hashCode() * 31;
                    }),
                    null);
        }
    }

    @Test
    void numbersOfTenantsDoNotChangeDecisions() {
        for (int seed = 0; seed < DAYS; seed++) {
            UnaryOperator<Integer> other = permutation(4, seed);
            assertAlike(drawn(seed), words(w -> w.tenant = t -> 70 + other.apply(t)), null);
        }
    }

    @Test
    void numbersOfZonesDoNotChangeDecisions() {
        for (int seed = 0; seed < DAYS; seed++) {
            UnaryOperator<Integer> other = permutation(3, seed);
            assertAlike(drawn(seed), words(w -> w.zone = z -> other.apply(z) * 5), SWEPT);
        }
    }

    @Test
    void theOrderOfKindsDoesNotChangeDecisions() {
        for (int seed = 0; seed < DAYS; seed++) {
            UnaryOperator<Integer> other = permutation(2, seed);
            assertAlike(drawn(seed), words(w -> w.kind = other), null);
        }
    }

    @Test
    void theOrderOfReportedValuesDoesNotChangeDecisions() {
        for (int seed = 0; seed < DAYS; seed++) {
            Replay day = drawn(seed);
            int shuffle = seed;
            assertAlike(
                    day,
                    words(w -> w.load = row -> {
                        UnaryOperator<Integer> other = permutation(row.length, shuffle);
                        return IntStream.range(0, row.length)
                                .mapToDouble(i -> row[other.apply(i)])
                                .toArray();
                    }),
                    null);
        }
    }

    /** Engines that are known already, in whatever order a list names them again. */
    @Test
    void theOrderOfTheEngineListDoesNotChangeDecisions() {
        for (int seed = 0; seed < DAYS; seed++) {
            Set<String> known = new HashSet<>();
            int shuffle = seed;
            assertAlike(
                    drawn(seed),
                    words(w -> w.order = l -> {
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
        for (int seed = 0; seed < DAYS; seed++) {
            Replay day = drawn(seed);
            DefaultDecisionModule module = new DefaultDecisionModule(day.settings, seed);
            for (Replay.Step s : day.steps) {
                List<Action> decided = new ArrayList<>();
                module.handle(s.at(), reversed(s.event()), decided::add);
                assertEquals(s.decided(), decided);
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
        for (int seed = 0; seed < DAYS; seed++) {
            UnaryOperator<Integer> other = permutation(3, seed);
            assertAlike(plain(seed), words(w -> w.cls = other), SWEPT);
        }
    }

    @Test
    void idsOfEnginesChangeDecisionsByTheirHashesOnly() {
        for (int seed = 0; seed < DAYS; seed++) {
            assertAlike(plain(seed), words(w -> w.engine = e -> "node." + new StringBuilder(e + "x").reverse()), null);
        }
    }

    @Test
    void theOriginOfTimeDoesNotChangeDecisions() {
        for (int seed = 0; seed < DAYS; seed++) {
            assertAlike(plain(seed), words(w -> w.time = t -> t + 1_764_000_000_123_457L), null);
        }
    }

    /** The tests above see it when words do matter: requests of another class, and what {@link #plain} leaves out. */
    @Test
    void changesThatMatterAreDetected() {
        int cls = 0;
        int ids = 0;
        for (int seed = 0; seed < DAYS; seed++) {
            Replay day = drawn(seed);
            Words swapped = words(w -> w.cls = c -> (c + 1) % 3);
            cls += day.inOther(swapped, day.settings).equals(day.expected(swapped)) ? 0 : 1;
            Words named = words(w -> w.engine = e -> "other-" + e);
            ids += day.inOther(named).equals(day.expected(named)) ? 0 : 1;
        }
        assertEquals(DAYS, cls);
        assertTrue(ids > DAYS / 2, "days " + ids);
    }
}
