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

/** Tests the decision module by its events and actions, one gateway at a time, with the platform's rules checked. */
class DecisionModuleTest {
    private static final long SECOND_US = TestGateway.SECOND_US;
    private static final long MILLISECOND_US = TestGateway.MILLISECOND_US;

    private static EngineEntry[] engines(int n) {
        return IntStream.range(0, n).mapToObj(i -> TestGateway.engine("e" + i)).toArray(EngineEntry[]::new);
    }

    private static TestGateway createGateway(TestGateway.Spec spec, int engineCount) {
        return new TestGateway(spec).receiveList(EngineListKind.FULL, engines(engineCount));
    }

    private static List<String> receiveAll(TestGateway gateway, int classIndex, int n) {
        List<String> ids = new ArrayList<>();
        for (int i = 0; i < n; i++) {
            ids.add(gateway.receive(classIndex));
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
        receiveAll(gateway, 0, 30);
        assertEquals(10, gateway.sentTo("small"), 1);
        assertEquals(20, gateway.sentTo("big"), 1);
    }

    @Test
    void classesAreBalancedIndependently() {
        TestGateway gateway = createGateway(new TestGateway.Spec(), 2);
        receiveAll(gateway, 0, 4);
        String first = gateway.receive(1);
        String second = gateway.receive(1);
        assertNotEquals(gateway.engineOf(first), gateway.engineOf(second));
    }

    @Test
    void loadReportsChangeTheChoice() {
        TestGateway gateway = createGateway(new TestGateway.Spec(), 2);
        String id = gateway.receive(0);
        String busy = gateway.engineOf(id);
        gateway.advance(100 * MILLISECOND_US);
        gateway.answer(id, AttemptResult.OK, new double[] {20, 0.5});
        String other = gateway.receive(0);
        while (gateway.engineOf(other).equals(busy)) {
            gateway.answer(other, AttemptResult.OK, new double[] {20, 0.5});
            other = gateway.receive(0);
        }
        gateway.answer(other, AttemptResult.OK, new double[] {0, 0.1});
        List<String> next = receiveAll(gateway, 0, 5);
        assertTrue(next.stream().noneMatch(x -> gateway.engineOf(x).equals(busy)));
    }

    @Test
    void concurrencyLimitsBindOnlyUnderOverload() {
        TestGateway gateway = createGateway(new TestGateway.Spec(), 1);
        receiveAll(gateway, 0, 10);
        assertEquals(10, gateway.sentTo("e0"));
        TestGateway overloaded = createGateway(new TestGateway.Spec(), 1);
        overloaded.answer(overloaded.receive(0), AttemptResult.OK, new double[] {1, 1.0});
        receiveAll(overloaded, 0, 40);
        assertEquals(1 + 12, overloaded.sentTo("e0"), 1);
    }

    @Test
    void queuedRequestsAreAdmittedEarliestDueFirst() {
        TestGateway gateway = createGateway(new TestGateway.Spec(), 1);
        List<String> running = receiveAll(gateway, 0, 12);
        gateway.receive(1);
        gateway.advance(10 * MILLISECOND_US);
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
        gateway.advance(4 * SECOND_US);
        var rejection = gateway.log.stream()
                .filter(RejectRequest.class::isInstance)
                .map(RejectRequest.class::cast)
                .filter(r -> r.id().equals(id))
                .findFirst()
                .orElseThrow();
        assertTrue(rejection.retryAfterUs() > 0);
        gateway.end();
    }

    @Test
    void aNonIdempotentRequestThatMayHaveRunFailsWithoutRetry() {
        TestGateway.Spec spec = new TestGateway.Spec();
        spec.idempotency = Idempotency.NOT_IDEMPOTENT;
        TestGateway gateway = createGateway(spec, 3);
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
        gateway.advance(3 * SECOND_US);
        gateway.answer(id, AttemptResult.RESET);
        assertEquals(2, gateway.attempts(id));
        assertTrue(gateway.hasFailed(id));
    }

    @Test
    void requestsOfAKeyRunInOrderAndTheKeyPauses() {
        TestGateway.Spec spec = new TestGateway.Spec();
        spec.ordered = true;
        spec.orderingPauseUs = 300 * MILLISECOND_US;
        spec.maxAttempts = 1;
        TestGateway gateway = createGateway(spec, 3);
        String a = gateway.receive(0, "k", -1);
        String b = gateway.receive(0, "k", -1);
        String other = gateway.receive(0, "m", -1);
        assertEquals(0, gateway.attempts(b));
        assertEquals(1, gateway.attempts(other));
        gateway.answer(a, AttemptResult.TIMEOUT);
        gateway.advance(250 * MILLISECOND_US);
        assertEquals(0, gateway.attempts(b));
        gateway.advance(100 * MILLISECOND_US);
        assertEquals(1, gateway.attempts(b));
    }

    @Test
    void aKeyStaysOccupiedWhileAnAttemptRunsAfterItsClientDisconnected() {
        TestGateway.Spec spec = new TestGateway.Spec();
        spec.ordered = true;
        TestGateway gateway = createGateway(spec, 3);
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
        spec.retryBudgetWindowUs = 10 * SECOND_US;
        TestGateway gateway = createGateway(spec, 5);
        for (int i = 0; i < 60; i++) {
            String id = gateway.receive(0);
            gateway.advance(7 * MILLISECOND_US);
            for (int n = 0; n < 4 && gateway.attempts(id) == n + 1; n++) {
                gateway.answer(id, AttemptResult.ERROR);
            }
            gateway.advance(93 * MILLISECOND_US);
        }
        gateway.end();
    }

    /** The retry budget counts written retries: one whose connection is established late counts in a later window. */
    @Test
    void aRetryCountsInTheBudgetWhileItMayBeWritten() {
        // 2 retries plus 0.2 per request received; connect timeout of 250 ms
        TestGateway.Spec spec = new TestGateway.Spec();
        spec.retryBudgetWindowUs = SECOND_US;
        TestGateway gateway = createGateway(spec, 5);
        for (int i = 0; i < 2; i++) {
            String id = gateway.receive(0);
            gateway.answer(id, AttemptResult.ERROR);
            assertEquals(2, gateway.attempts(id));
            gateway.answer(id, AttemptResult.OK);
        }
        gateway.advance(1050 * MILLISECOND_US);
        String early = gateway.receive(0);
        gateway.answer(early, AttemptResult.ERROR);
        assertEquals(1, gateway.attempts(early), "two retries may have been written within the last second");
        assertTrue(gateway.isRejected(early));
        gateway.advance(300 * MILLISECOND_US);
        String later = gateway.receive(0);
        gateway.answer(later, AttemptResult.ERROR);
        assertEquals(2, gateway.attempts(later));
        gateway.answer(later, AttemptResult.OK);
        gateway.end();
    }

    @Test
    void noAttemptIsSentToADrainingEngine() {
        TestGateway gateway = createGateway(new TestGateway.Spec(), 2);
        gateway.receiveList(EngineListKind.CHANGES, TestGateway.engine("e0", 0, 0, 0, EngineStatus.DRAINING, 0));
        receiveAll(gateway, 0, 10);
        assertEquals(0, gateway.sentTo("e0"));
        gateway.receiveList(EngineListKind.FULL, TestGateway.engine("e0"));
        receiveAll(gateway, 0, 10);
        assertEquals(10, gateway.sentTo("e0"));
        assertEquals(10, gateway.sentTo("e1"));
    }

    @Test
    void anEngineThatWarmsUpGetsNoMoreThanItsRate() {
        for (EngineListKind kind : List.of(EngineListKind.CHANGES, EngineListKind.CACHED)) {
            TestGateway gateway =
                    new TestGateway(new TestGateway.Spec(), 2.0).receiveList(EngineListKind.FULL, engines(4));
            playTraffic(gateway, 3 * SECOND_US);
            List<EngineEntry> all = new ArrayList<>(List.of(engines(4)));
            all.set(0, TestGateway.engine("e0", 0, 0, 0, EngineStatus.UP, gateway.nowUs - SECOND_US));
            gateway.receiveList(kind, all.toArray(EngineEntry[]::new));
            long before = gateway.sentTo("e0");
            playTraffic(gateway, 12 * SECOND_US);
            assertTrue(gateway.sentTo("e0") > before);
        }
    }

    @Test
    void anEngineOfUnknownCapacityIsNotOverloadedWhileItWarmsUp() {
        TestGateway gateway = new TestGateway(new TestGateway.Spec(), 1.0)
                .receiveList(
                        EngineListKind.CACHED, TestGateway.engine("e0", 0, 0, 0, EngineStatus.UP, 999 * SECOND_US));
        receiveAll(gateway, 1, 30);
        assertTrue(gateway.sentTo("e0") <= 1);
        gateway.advance(SECOND_US);
        assertTrue(gateway.sentTo("e0") <= 1);
    }

    /** Sends a query every 40 ms, and answers the oldest one while more than four are open. */
    private static void playTraffic(TestGateway gateway, long durationUs) {
        List<String> open = new ArrayList<>();
        for (int i = 0; i < durationUs / (40 * MILLISECOND_US); i++) {
            open.add(gateway.receive(i % 7 == 0 ? 1 : 0));
            gateway.advance(40 * MILLISECOND_US);
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
        TestGateway gateway = createGateway(new TestGateway.Spec(), 4);
        for (int i = 0; i < 200; i++) {
            String id = gateway.receive(0);
            gateway.advance(10 * MILLISECOND_US);
            while (gateway.attempts(id) < 4 && gateway.engineOf(id).equals("e0")) {
                gateway.answer(id, AttemptResult.ERROR);
            }
            gateway.answer(id, AttemptResult.OK);
        }
        assertTrue(gateway.sentTo("e0") < 12, "sent " + gateway.sentTo("e0"));
    }

    @Test
    void anEngineThatAnswersNothingIsEjected() {
        TestGateway gateway = createGateway(new TestGateway.Spec(), 4);
        List<String> first = receiveAll(gateway, 0, 8);
        first.stream()
                .filter(id -> !gateway.engineOf(id).equals("e0"))
                .forEach(id -> gateway.answer(id, AttemptResult.OK));
        for (int i = 0; i < 100; i++) {
            String id = gateway.receive(0);
            gateway.advance(50 * MILLISECOND_US);
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
        TestGateway gateway = createGateway(new TestGateway.Spec(), 4);
        List<String> first = receiveAll(gateway, 0, 8);
        first.stream()
                .filter(id -> !gateway.engineOf(id).equals("e0"))
                .forEach(id -> gateway.answer(id, AttemptResult.OK));
        for (int i = 0; i < 40; i++) {
            String id = gateway.receive(0);
            gateway.advance(50 * MILLISECOND_US);
            if (!gateway.engineOf(id).equals("e0")) {
                gateway.answer(id, AttemptResult.OK);
            }
        }
        gateway.advance(1500 * MILLISECOND_US);
        long before = gateway.sentTo("e0");
        receiveAll(gateway, 0, 12);
        assertEquals(before + 1, gateway.sentTo("e0"));
    }

    @Test
    void aGatewayWithRisingTrafficIsNotLimitedBelowItsShare() {
        long sends = sendBurst(60, false).sends();
        assertTrue(sends >= 3, "sent " + sends);
    }

    /** Guards against all gateways with queued requests raising their limits at the same time. */
    @Test
    void neitherQueuedRequestsNorRetriesRaiseTheTrafficShare() {
        Burst few = sendBurst(30, true);
        Burst many = sendBurst(60, true);
        assertTrue(many.shareAfter() <= many.shareBefore(), "share " + many);
        assertEquals(few.sends(), many.sends());
        assertEquals(many.sends(), sendBurst(60, false).sends());
        // one query, plus its share of 2.5 threads per core
        double maxSends = 1 + 1.5 * Math.ceil(many.shareBefore() * 2.5 * 8);
        assertTrue(many.sends() <= maxSends, "sent " + many + ", at most " + maxSends);
    }

    /** Number of sends in a burst, and this gateway's traffic share before and after it. */
    private record Burst(long sends, double shareBefore, double shareAfter) {}

    /** After light traffic, one of four gateways receives a query every 20 ms, while its engine reports as busy. */
    private static Burst sendBurst(int queries, boolean retries) {
        TestGateway.Spec spec = new TestGateway.Spec();
        spec.gateways = 4;
        TestGateway gateway = createGateway(spec, 1);
        for (int i = 0; i < 40; i++) {
            String id = gateway.receive(0);
            gateway.advance(200 * MILLISECOND_US);
            gateway.answer(id, AttemptResult.OK, new double[] {20, i < 39 ? 0.5 : 1.0});
        }
        long before = gateway.sentTo("e0");
        double shareBefore = gateway.module.parts.traffic.share();
        for (int i = 0; i < queries; i++) {
            gateway.handle(new RequestReceived("b" + i, 0, null, 4 * SECOND_US, 0, 0, -1, retries));
            gateway.advance(20 * MILLISECOND_US);
        }
        return new Burst(gateway.sentTo("e0") - before, shareBefore, gateway.module.parts.traffic.share());
    }

    @Test
    void aFleetWhoseEnginesAllFailStaysInUse() {
        TestGateway gateway = createGateway(new TestGateway.Spec(), 4);
        for (int i = 0; i < 100; i++) {
            String id = gateway.receive(0);
            gateway.advance(10 * MILLISECOND_US);
            gateway.answer(id, i % 2 == 0 ? AttemptResult.ERROR : AttemptResult.OK);
            gateway.answer(id, AttemptResult.OK);
        }
        gateway.advance(SECOND_US);
        Set<String> used = new HashSet<>();
        receiveAll(gateway, 0, 30).forEach(id -> used.add(gateway.engineOf(id)));
        assertEquals(4, used.size());
    }

    @Test
    void unknownAttemptsTimersAndClientsAreIgnored() {
        TestGateway gateway = createGateway(new TestGateway.Spec(), 2);
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
            playRandomEvents(seed);
        }
    }

    /** Plays random outcomes and endpoint lists under the rule checker, twice: the same seed gives the same actions. */
    private static void playRandomEvents(int seed) {
        List<List<Action>> runs = new ArrayList<>();
        for (int run = 0; run < 2; run++) {
            Random random = new Random(seed);
            TestGateway.Spec spec = new TestGateway.Spec();
            spec.idempotency = Idempotency.values()[seed % 3];
            spec.deduplicationScope = DeduplicationScope.values()[seed / 3 % 3];
            spec.ordered = seed % 2 == 0;
            spec.orderingPauseUs = 200 * MILLISECOND_US;
            spec.cancel = seed % 4 < 2;
            spec.retryBudgetWindowUs = seed % 3 == 0 ? 0 : 5 * SECOND_US;
            TestGateway gateway = createGateway(spec, 5);
            List<String> open = new ArrayList<>();
            for (int i = 0; i < 1500; i++) {
                open.add(gateway.receive(random.nextInt(5) == 0 ? 1 : 0, "k" + random.nextInt(9), random.nextInt(12)));
                gateway.advance(random.nextInt((int) (30 * MILLISECOND_US)));
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
                                    random.nextBoolean() ? 0 : gateway.nowUs - SECOND_US));
                }
            }
            runs.add(gateway.log);
        }
        assertEquals(runs.get(0), runs.get(1));
    }
}
