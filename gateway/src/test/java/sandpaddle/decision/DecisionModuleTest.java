package sandpaddle.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import sandpaddle.decision.action.Action;
import sandpaddle.decision.action.LogMessage;
import sandpaddle.decision.action.RejectRequest;
import sandpaddle.decision.event.AttemptEnded;
import sandpaddle.decision.event.AttemptResult;
import sandpaddle.decision.event.ClientDisconnected;
import sandpaddle.decision.event.EngineEntry;
import sandpaddle.decision.event.EngineListKind;
import sandpaddle.decision.event.EngineStatus;
import sandpaddle.decision.event.HealthCheckEnded;
import sandpaddle.decision.event.RequestReceived;
import sandpaddle.decision.event.TimerFired;
import sandpaddle.decision.settings.DeduplicationScope;
import sandpaddle.decision.settings.Idempotency;

class DecisionModuleTest {
    private static final long S = TestGateway.SECOND_US;
    private static final long MS = TestGateway.MILLISECOND_US;

    private static EngineEntry[] engines(int n) {
        return IntStream.range(0, n).mapToObj(i -> TestGateway.engine("e" + i)).toArray(EngineEntry[]::new);
    }

    private static TestGateway site(TestGateway.Spec spec, int n) {
        return new TestGateway(spec).receiveList(EngineListKind.FULL, engines(n));
    }

    private static List<String> takeAll(TestGateway gateway, int cls, int n) {
        List<String> ids = new ArrayList<>();
        for (int i = 0; i < n; i++) {
            ids.add(gateway.receive(cls));
        }
        return ids;
    }

    @Test
    void theEngineWithTheLeastClassLoadPerCoreIsChosen() {
        TestGateway gateway = new TestGateway(new TestGateway.Spec())
                .receiveList(
                        EngineListKind.FULL,
                        TestGateway.engine("small"),
                        TestGateway.engine("big", 0, 1, 0, EngineStatus.UP, 0));
        takeAll(gateway, 0, 30);
        assertEquals(10, gateway.sentTo("small"), 1);
        assertEquals(20, gateway.sentTo("big"), 1);
    }

    @Test
    void classesAreBalancedIndependently() {
        TestGateway gateway = site(new TestGateway.Spec(), 2);
        takeAll(gateway, 0, 4);
        String first = gateway.receive(1);
        String second = gateway.receive(1);
        assertNotEquals(gateway.engineOf(first), gateway.engineOf(second));
    }

    @Test
    void loadReportsChangeTheChoice() {
        TestGateway gateway = site(new TestGateway.Spec(), 2);
        String id = gateway.receive(0);
        String busy = gateway.engineOf(id);
        gateway.advance(100 * MS);
        gateway.answer(id, AttemptResult.OK, new double[] {20, 0.5});
        String other = gateway.receive(0);
        while (gateway.engineOf(other).equals(busy)) {
            gateway.answer(other, AttemptResult.OK, new double[] {20, 0.5});
            other = gateway.receive(0);
        }
        gateway.answer(other, AttemptResult.OK, new double[] {0, 0.1});
        List<String> next = takeAll(gateway, 0, 5);
        assertTrue(next.stream().noneMatch(x -> gateway.engineOf(x).equals(busy)));
    }

    @Test
    void concurrencyLimitsBindOnlyUnderOverload() {
        TestGateway gateway = site(new TestGateway.Spec(), 1);
        takeAll(gateway, 0, 10);
        assertEquals(10, gateway.sentTo("e0"));
        TestGateway pressed = site(new TestGateway.Spec(), 1);
        pressed.answer(pressed.receive(0), AttemptResult.OK, new double[] {1, 1.0});
        takeAll(pressed, 0, 40);
        assertEquals(1 + 12, pressed.sentTo("e0"), 1);
    }

    @Test
    void queuedRequestsAreAdmittedEarliestDueFirst() {
        TestGateway gateway = site(new TestGateway.Spec(), 1);
        List<String> running = takeAll(gateway, 0, 12);
        gateway.receive(1);
        gateway.advance(10 * MS);
        gateway.answer(running.get(0), AttemptResult.OK, new double[] {1, 1.0});
        String heavy = gateway.receive(1);
        String quick = gateway.receive(0);
        assertEquals(0, gateway.attempts(heavy) + gateway.attempts(quick));
        running.subList(1, 4).forEach(id -> gateway.answer(id, AttemptResult.OK, new double[] {1, 1.0}));
        assertEquals(1, gateway.attempts(quick));
        assertEquals(0, gateway.attempts(heavy));
    }

    @Test
    void requestsThatWouldBeLateAreRejectedAtOnceWithRetryAfter() {
        TestGateway gateway = new TestGateway(new TestGateway.Spec());
        String id = gateway.receive(0);
        gateway.advance(4 * S);
        var refuse = gateway.log.stream()
                .filter(RejectRequest.class::isInstance)
                .map(RejectRequest.class::cast)
                .filter(r -> r.id().equals(id))
                .findFirst()
                .orElseThrow();
        assertTrue(refuse.retryAfterUs() > 0);
        gateway.end();
    }

    @Test
    void aNonIdempotentRequestThatMayHaveRunFailsWithoutRetry() {
        TestGateway.Spec spec = new TestGateway.Spec();
        spec.idempotency = Idempotency.NOT_IDEMPOTENT;
        TestGateway gateway = site(spec, 3);
        String id = gateway.receive(0);
        gateway.answer(id, AttemptResult.RESET);
        assertTrue(gateway.hasFailed(id));
        assertEquals(1, gateway.attempts(id));
        String again = gateway.receive(0);
        gateway.answer(again, AttemptResult.CONNECT_FAILED);
        assertEquals(2, gateway.attempts(again));
    }

    @Test
    void retriesWithAKeyStayWithinDeduplicationScopeAndWindow() {
        TestGateway.Spec spec = new TestGateway.Spec();
        spec.idempotency = Idempotency.WITH_KEY;
        spec.deduplicationScope = DeduplicationScope.CELL;
        TestGateway gateway = new TestGateway(spec)
                .receiveList(
                        EngineListKind.FULL,
                        TestGateway.engine("a0", 0, 0, 0, EngineStatus.UP, 0),
                        TestGateway.engine("a1", 0, 0, 0, EngineStatus.UP, 0),
                        TestGateway.engine("b0", 1, 0, 1, EngineStatus.UP, 0),
                        TestGateway.engine("b1", 1, 0, 1, EngineStatus.UP, 0));
        String id = gateway.receive(0);
        String first = gateway.engineOf(id);
        gateway.answer(id, AttemptResult.RESET);
        assertEquals(first.charAt(0), gateway.engineOf(id).charAt(0));
        gateway.advance(3 * S);
        gateway.answer(id, AttemptResult.RESET);
        assertEquals(2, gateway.attempts(id));
        assertTrue(gateway.hasFailed(id));
    }

    @Test
    void requestsOfAKeyRunInOrderAndTheKeyPauses() {
        TestGateway.Spec spec = new TestGateway.Spec();
        spec.ordered = true;
        spec.orderingPauseUs = 300 * MS;
        spec.maxAttempts = 1;
        TestGateway gateway = site(spec, 3);
        String a = gateway.receive(0, "k", -1);
        String b = gateway.receive(0, "k", -1);
        String other = gateway.receive(0, "m", -1);
        assertEquals(0, gateway.attempts(b));
        assertEquals(1, gateway.attempts(other));
        gateway.answer(a, AttemptResult.TIMEOUT);
        gateway.advance(250 * MS);
        assertEquals(0, gateway.attempts(b));
        gateway.advance(100 * MS);
        assertEquals(1, gateway.attempts(b));
    }

    @Test
    void aKeyStaysOccupiedWhileAnAttemptRunsAfterItsClientDisconnected() {
        TestGateway.Spec spec = new TestGateway.Spec();
        spec.ordered = true;
        TestGateway gateway = site(spec, 3);
        String a = gateway.receive(0, "k", -1);
        String b = gateway.receive(0, "k", -1);
        gateway.handle(new ClientDisconnected(a));
        assertEquals(0, gateway.attempts(b));
        gateway.handle(new AttemptEnded(a, 0, gateway.engineOf(a), AttemptResult.OK, true, 0, 0, 0, null));
        assertEquals(1, gateway.attempts(b));
    }

    @Test
    void placementIsRespectedWhenItsEnginesAreDown() {
        TestGateway.Spec spec = new TestGateway.Spec();
        spec.permittedZones = List.of(1);
        spec.permittedKinds = List.of(0);
        TestGateway gateway = new TestGateway(spec)
                .receiveList(
                        EngineListKind.FULL,
                        TestGateway.engine("a"),
                        TestGateway.engine("b", 1, 1, 0, EngineStatus.UP, 0),
                        TestGateway.engine("c", 1, 0, 0, EngineStatus.DRAINING, 0));
        String id = gateway.receive(0);
        assertEquals(0, gateway.attempts(id));
        gateway.end();
        assertTrue(gateway.isRejected(id));
    }

    @Test
    void retriesStayWithinTheBudget() {
        TestGateway.Spec spec = new TestGateway.Spec();
        spec.retryBudgetWindowUs = 10 * S;
        TestGateway gateway = site(spec, 5);
        for (int i = 0; i < 60; i++) {
            String id = gateway.receive(0);
            gateway.advance(7 * MS);
            for (int n = 0; n < 4 && gateway.attempts(id) == n + 1; n++) {
                gateway.answer(id, AttemptResult.ERROR);
            }
            gateway.advance(93 * MS);
        }
        gateway.end();
    }

    /** Rule 7 counts what is written: a repeat whose connection comes up late stands in the next span too. */
    @Test
    void aRetryCountsInTheBudgetWhileItMayBeWritten() {
        TestGateway.Spec spec =
                new TestGateway.Spec(); // 2 further attempts and 0.2 for each request taken, 250 ms to connect
        spec.retryBudgetWindowUs = S;
        TestGateway gateway = site(spec, 5);
        for (int i = 0; i < 2; i++) {
            String id = gateway.receive(0);
            gateway.answer(id, AttemptResult.ERROR);
            assertEquals(2, gateway.attempts(id));
            gateway.answer(id, AttemptResult.OK);
        }
        gateway.advance(1050 * MS);
        String early = gateway.receive(0);
        gateway.answer(early, AttemptResult.ERROR);
        assertEquals(1, gateway.attempts(early), "two may have been written within the last second");
        assertTrue(gateway.isRejected(early));
        gateway.advance(300 * MS);
        String later = gateway.receive(0);
        gateway.answer(later, AttemptResult.ERROR);
        assertEquals(2, gateway.attempts(later));
        gateway.answer(later, AttemptResult.OK);
        gateway.end();
    }

    @Test
    void noAttemptIsSentToADrainingEngine() {
        TestGateway gateway = site(new TestGateway.Spec(), 2);
        gateway.receiveList(EngineListKind.CHANGES, TestGateway.engine("e0", 0, 0, 0, EngineStatus.DRAINING, 0));
        takeAll(gateway, 0, 10);
        assertEquals(0, gateway.sentTo("e0"));
        gateway.receiveList(EngineListKind.FULL, TestGateway.engine("e0"));
        takeAll(gateway, 0, 10);
        assertEquals(10, gateway.sentTo("e0"));
        assertEquals(10, gateway.sentTo("e1"));
    }

    @Test
    void anEngineThatWarmsUpGetsNoMoreThanItsRate() {
        for (EngineListKind kind : List.of(EngineListKind.CHANGES, EngineListKind.CACHED)) {
            TestGateway gateway =
                    new TestGateway(new TestGateway.Spec(), 2.0).receiveList(EngineListKind.FULL, engines(4));
            drive(gateway, 3 * S);
            List<EngineEntry> all = new ArrayList<>(List.of(engines(4)));
            all.set(0, TestGateway.engine("e0", 0, 0, 0, EngineStatus.UP, gateway.nowUs - S));
            gateway.receiveList(kind, all.toArray(EngineEntry[]::new));
            long before = gateway.sentTo("e0");
            drive(gateway, 12 * S);
            assertTrue(gateway.sentTo("e0") > before);
        }
    }

    @Test
    void anEngineOfUnknownCapacityIsNotOverloadedWhileItWarmsUp() {
        TestGateway gateway = new TestGateway(new TestGateway.Spec(), 1.0)
                .receiveList(EngineListKind.CACHED, TestGateway.engine("e0", 0, 0, 0, EngineStatus.UP, 999 * S));
        takeAll(gateway, 1, 30);
        assertTrue(gateway.sentTo("e0") <= 1);
        gateway.advance(S);
        assertTrue(gateway.sentTo("e0") <= 1);
    }

    /** Steady traffic: every 40 ms a query, each answered after its usual work. */
    private static void drive(TestGateway gateway, long us) {
        List<String> open = new ArrayList<>();
        for (int i = 0; i < us / (40 * MS); i++) {
            open.add(gateway.receive(i % 7 == 0 ? 1 : 0));
            gateway.advance(40 * MS);
            if (open.size() > 4 && gateway.attempts(open.get(0)) > 0) {
                gateway.answer(open.remove(0), AttemptResult.OK, new double[] {5, 0.5});
            }
        }
        open.forEach(id -> {
            if (gateway.attempts(id) > 0) {
                gateway.answer(id, AttemptResult.OK);
            }
        });
    }

    @Test
    void anEngineThatFailsAtOnceIsEjected() {
        TestGateway gateway = site(new TestGateway.Spec(), 4);
        for (int i = 0; i < 200; i++) {
            String id = gateway.receive(0);
            gateway.advance(10 * MS);
            while (gateway.attempts(id) < 4 && gateway.engineOf(id).equals("e0")) {
                gateway.answer(id, AttemptResult.ERROR);
            }
            gateway.answer(id, AttemptResult.OK);
        }
        assertTrue(gateway.sentTo("e0") < 12, "sent " + gateway.sentTo("e0"));
    }

    @Test
    void anEngineThatAnswersNothingIsEjected() {
        TestGateway gateway = site(new TestGateway.Spec(), 4);
        List<String> first = takeAll(gateway, 0, 8);
        first.stream()
                .filter(id -> !gateway.engineOf(id).equals("e0"))
                .forEach(id -> gateway.answer(id, AttemptResult.OK));
        for (int i = 0; i < 100; i++) {
            String id = gateway.receive(0);
            gateway.advance(50 * MS);
            if (!gateway.engineOf(id).equals("e0")) {
                gateway.answer(id, AttemptResult.OK);
            }
        }
        assertTrue(gateway.sentTo("e0") < 8, "sent " + gateway.sentTo("e0"));
        assertTrue(gateway.log.stream()
                .anyMatch(a -> a instanceof LogMessage l && l.text().startsWith("silent e0")));
    }

    @Test
    void lostAttemptsDoNotDelayTrialsOfTheirEngine() {
        TestGateway gateway = site(new TestGateway.Spec(), 4);
        List<String> first = takeAll(gateway, 0, 8);
        first.stream()
                .filter(id -> !gateway.engineOf(id).equals("e0"))
                .forEach(id -> gateway.answer(id, AttemptResult.OK));
        for (int i = 0; i < 40; i++) {
            String id = gateway.receive(0);
            gateway.advance(50 * MS);
            if (!gateway.engineOf(id).equals("e0")) {
                gateway.answer(id, AttemptResult.OK);
            }
        }
        gateway.advance(1500 * MS);
        long before = gateway.sentTo("e0");
        takeAll(gateway, 0, 12);
        assertEquals(before + 1, gateway.sentTo("e0"));
    }

    @Test
    void aGatewayWithRisingTrafficIsNotLimitedBelowItsShare() {
        long firsts = sentInABurst(60, false).sends();
        assertTrue(firsts >= 3, "sent " + firsts);
    }

    /** Else all gateways that hold would open their bounds at once. */
    @Test
    void neitherQueuedRequestsNorRetriesRaiseTheTrafficShare() {
        Burst few = sentInABurst(30, true);
        Burst many = sentInABurst(60, true);
        assertTrue(many.shareAfter() <= many.shareBefore(), "share " + many);
        assertEquals(few.sends(), many.sends());
        assertEquals(many.sends(), sentInABurst(60, false).sends());
        double most = 1 + 1.5 * Math.ceil(many.shareBefore() * 2.5 * 8); // one, and its share of 2.5 threads a core
        assertTrue(many.sends() <= most, "sent " + many + ", at most " + most);
    }

    /** What was sent in a burst, and this gateway's share of the traffic before and after it. */
    private record Burst(long sends, double shareBefore, double shareAfter) {}

    /** After a calm while one of four gateways gets a query every 20 ms, for an engine that reports to be busy. */
    private static Burst sentInABurst(int queries, boolean retries) {
        TestGateway.Spec spec = new TestGateway.Spec();
        spec.gateways = 4;
        TestGateway gateway = site(spec, 1);
        for (int i = 0; i < 40; i++) {
            String id = gateway.receive(0);
            gateway.advance(200 * MS);
            gateway.answer(id, AttemptResult.OK, new double[] {20, i < 39 ? 0.5 : 1.0});
        }
        long before = gateway.sentTo("e0");
        double shareBefore = gateway.module.parts.traffic.share();
        for (int i = 0; i < queries; i++) {
            gateway.handle(new RequestReceived("b" + i, 0, null, 4 * S, 0, 0, -1, retries));
            gateway.advance(20 * MS);
        }
        return new Burst(gateway.sentTo("e0") - before, shareBefore, gateway.module.parts.traffic.share());
    }

    @Test
    void aFleetWhoseEnginesAllFailStaysInUse() {
        TestGateway gateway = site(new TestGateway.Spec(), 4);
        for (int i = 0; i < 100; i++) {
            String id = gateway.receive(0);
            gateway.advance(10 * MS);
            gateway.answer(id, i % 2 == 0 ? AttemptResult.ERROR : AttemptResult.OK);
            gateway.answer(id, AttemptResult.OK);
        }
        gateway.advance(S);
        Set<String> used = new HashSet<>();
        takeAll(gateway, 0, 30).forEach(id -> used.add(gateway.engineOf(id)));
        assertEquals(4, used.size());
    }

    @Test
    void unknownAttemptsTimersAndClientsAreIgnored() {
        TestGateway gateway = site(new TestGateway.Spec(), 2);
        String id = gateway.receive(0);
        gateway.answer(id, AttemptResult.OK);
        gateway.handle(new AttemptEnded(id, 0, "e0", AttemptResult.OK, true, 0, 0, 0, null));
        gateway.handle(new AttemptEnded("none", 3, "nowhere", AttemptResult.ERROR, false, 0, 0, 0, null));
        gateway.handle(new ClientDisconnected("none"));
        gateway.handle(new TimerFired("none"));
        gateway.handle(new HealthCheckEnded("nowhere", AttemptResult.OK, 0, new double[] {Double.NaN, 1}));
        assertEquals(1, gateway.attempts(id));
        gateway.end();
    }

    @Test
    void invalidSettingsAreRejected() {
        TestGateway.Spec spec = new TestGateway.Spec();
        spec.gateways = 0;
        assertEquals(
                "field 'settings.balancers' is under 1",
                assertThrows(IllegalArgumentException.class, () -> new TestGateway(spec))
                        .getMessage());
    }

    @Test
    void rulesHoldUnderRandomFaults() {
        for (int seed = 0; seed < 12; seed++) {
            randomDay(seed);
        }
    }

    /** The same seed gives the same actions; the rule checker watches a day of random outcomes and lists. */
    private static void randomDay(int seed) {
        List<List<Action>> runs = new ArrayList<>();
        for (int run = 0; run < 2; run++) {
            Random random = new Random(seed);
            TestGateway.Spec spec = new TestGateway.Spec();
            spec.idempotency = Idempotency.values()[seed % 3];
            spec.deduplicationScope = DeduplicationScope.values()[seed / 3 % 3];
            spec.ordered = seed % 2 == 0;
            spec.orderingPauseUs = 200 * MS;
            spec.cancel = seed % 4 < 2;
            spec.retryBudgetWindowUs = seed % 3 == 0 ? 0 : 5 * S;
            TestGateway gateway = site(spec, 5);
            List<String> open = new ArrayList<>();
            for (int i = 0; i < 1500; i++) {
                open.add(gateway.receive(random.nextInt(5) == 0 ? 1 : 0, "k" + random.nextInt(9), random.nextInt(12)));
                gateway.advance(random.nextInt((int) (30 * MS)));
                String id = open.get(random.nextInt(open.size()));
                if (gateway.attempts(id) > 0) {
                    var results = AttemptResult.values();
                    gateway.answer(id, results[random.nextInt(3) > 0 ? 0 : random.nextInt(results.length)]);
                }
                if (random.nextInt(40) == 0) {
                    gateway.receiveList(
                            EngineListKind.CHANGES,
                            TestGateway.engine(
                                    "e" + random.nextInt(5),
                                    0,
                                    0,
                                    0,
                                    EngineStatus.values()[random.nextInt(3)],
                                    random.nextBoolean() ? 0 : gateway.nowUs - S));
                }
            }
            runs.add(gateway.log);
        }
        assertEquals(runs.get(0), runs.get(1));
    }
}
