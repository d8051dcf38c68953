package sandpaddle.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import sandpaddle.decision.action.Action;
import sandpaddle.decision.action.CancelAttempt;
import sandpaddle.decision.action.LogMessage;
import sandpaddle.decision.action.SendAttempt;
import sandpaddle.decision.action.StartHealthCheck;
import sandpaddle.decision.event.AttemptEnded;
import sandpaddle.decision.event.AttemptResult;
import sandpaddle.decision.event.ClientDisconnected;
import sandpaddle.decision.event.EngineEntry;
import sandpaddle.decision.event.EngineListKind;
import sandpaddle.decision.event.EngineStatus;
import sandpaddle.decision.event.HealthCheckEnded;
import sandpaddle.decision.event.ProgressReported;
import sandpaddle.decision.event.ProgressTopic;
import sandpaddle.decision.event.TimerFired;
import sandpaddle.decision.model.EngineState;
import sandpaddle.decision.model.EventContext;
import sandpaddle.decision.settings.LoadField;

/** Faults: lost answers, silent engines and zones, stalled gateways, and many gateways with little traffic each. */
class FaultHandlingTest {
    private static final long SECOND_US = TestGateway.SECOND_US;
    private static final long MILLISECOND_US = TestGateway.MILLISECOND_US;

    private static TestGateway createGateway(TestGateway.Spec spec, int engines) {
        return new TestGateway(spec)
                .receiveList(
                        EngineListKind.FULL,
                        IntStream.range(0, engines)
                                .mapToObj(i -> TestGateway.engine("e" + i))
                                .toArray(EngineEntry[]::new));
    }

    private static TestGateway.Spec specOf(int gateways) {
        TestGateway.Spec spec = new TestGateway.Spec();
        spec.gateways = gateways;
        return spec;
    }

    /** Sends one query every 250 ms, and answers each 100 ms later with a load report. */
    private static void playTraffic(TestGateway gateway, int queries, double... report) {
        for (int i = 0; i < queries; i++) {
            String id = gateway.receive(0);
            gateway.advance(100 * MILLISECOND_US);
            if (gateway.attempts(id) > 0) {
                gateway.answer(id, AttemptResult.OK, report.length > 0 ? report : null);
            }
            gateway.advance(150 * MILLISECOND_US);
        }
    }

    private static <T extends Action> List<T> actions(TestGateway gateway, Class<T> type) {
        return gateway.log.stream().filter(type::isInstance).map(type::cast).toList();
    }

    @Test
    void manyGatewaysDoNotOverloadBusyEnginesWithOneQueryEach() {
        TestGateway gateway = createGateway(specOf(100), 20);
        playTraffic(gateway, 40, 18, 1.0);
        long before = actions(gateway, SendAttempt.class).size();
        for (int i = 0; i < 20; i++) {
            gateway.receive(0);
        }
        long sent = actions(gateway, SendAttempt.class).size() - before;
        assertTrue(sent >= 1 && sent <= 5, "sent " + sent);
    }

    @Test
    void healthChecksFollowOwnTraffic() {
        TestGateway.Spec spec = specOf(100);
        spec.healthChecks = true;
        spec.reportsInAnswers = false;
        TestGateway gateway = createGateway(spec, 20);
        playTraffic(gateway, 80);
        int healthChecks = actions(gateway, StartHealthCheck.class).size();
        assertTrue(healthChecks >= 5 && healthChecks <= 80 * 0.3 + 3, "health checks " + healthChecks);
    }

    @Test
    void aLostAnswerLeavesTimeForARetry() {
        TestGateway gateway = createGateway(specOf(2), 4);
        playTraffic(gateway, 60);
        String lost = gateway.receive(0);
        gateway.advance(900 * MILLISECOND_US);
        assertEquals(2, gateway.attempts(lost));
        gateway.answer(lost, AttemptResult.OK);
        gateway.end();
    }

    @Test
    void slowAnswersShortenNoTimeout() {
        TestGateway gateway = createGateway(specOf(2), 4);
        playTraffic(gateway, 40);
        for (int i = 0; i < 12; i++) {
            String slow = gateway.receive(0);
            gateway.advance(600 * MILLISECOND_US);
            gateway.answer(slow, AttemptResult.OK);
        }
        String id = gateway.receive(0);
        var send = actions(gateway, SendAttempt.class).stream()
                .filter(x -> x.id().equals(id))
                .findFirst()
                .orElseThrow();
        assertEquals(4 * SECOND_US, send.timeoutUs());
    }

    @Test
    void attemptsOnASilentEngineAreCancelledWhereThatIsSupported() {
        TestGateway.Spec spec = specOf(2);
        spec.cancel = true;
        TestGateway gateway = createGateway(spec, 4);
        List<String> first =
                IntStream.range(0, 8).mapToObj(i -> gateway.receive(1)).toList();
        List<String> unanswered =
                first.stream().filter(id -> gateway.engineOf(id).equals("e0")).toList();
        gateway.advance(100 * MILLISECOND_US);
        first.stream().filter(id -> !unanswered.contains(id)).forEach(id -> gateway.answer(id, AttemptResult.OK));
        for (int i = 0; i < 60 && actions(gateway, CancelAttempt.class).isEmpty(); i++) {
            String id = gateway.receive(0);
            gateway.advance(100 * MILLISECOND_US);
            if (!gateway.engineOf(id).equals("e0")) {
                gateway.answer(id, AttemptResult.OK);
            }
        }
        String cancelledId = actions(gateway, CancelAttempt.class).get(0).id();
        assertEquals("e0", gateway.engineOf(cancelledId));
        gateway.answer(cancelledId, AttemptResult.CANCELLED);
        assertEquals(2, gateway.attempts(cancelledId));
        assertTrue(!gateway.engineOf(cancelledId).equals("e0"));
    }

    @Test
    void attemptsOfADisconnectedClientAreCancelledWhereThatIsSupported() {
        TestGateway.Spec spec = specOf(2);
        spec.cancel = true;
        TestGateway gateway = createGateway(spec, 2);
        String id = gateway.receive(1);
        gateway.handle(new ClientDisconnected(id));
        assertEquals(List.of(new CancelAttempt(id, 0)), actions(gateway, CancelAttempt.class));
    }

    @Test
    void aStalledGatewayEjectsNoEngineBeforeItHasReadTheAnswers() {
        TestGateway gateway = createGateway(specOf(2), 4);
        playTraffic(gateway, 60);
        List<String> open = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            open.add(gateway.receive(1));
        }
        // stalled; then the answer of one engine and the timer of the sweep arrive in one batch
        gateway.nowUs += 30 * SECOND_US;
        gateway.handle(new AttemptEnded(
                open.get(0),
                0,
                gateway.engineOf(open.get(0)),
                AttemptResult.OK,
                true,
                200 * MILLISECOND_US,
                0,
                0,
                null));
        gateway.handle(new TimerFired("sweep"));
        assertTrue(actions(gateway, LogMessage.class).isEmpty());
    }

    @Test
    void manyGatewaysDoNotAllSendToAStartedEngineAtOnce() {
        int sent = 0;
        for (int seed = 0; seed < 100; seed++) {
            TestGateway.Spec spec = specOf(100);
            spec.seed = seed;
            TestGateway gateway = new TestGateway(spec)
                    .receiveList(
                            EngineListKind.CACHED,
                            TestGateway.engine("warm"),
                            TestGateway.engine("cold", 0, 0, 0, EngineStatus.UP, 999 * SECOND_US));
            for (int i = 0; i < 4; i++) {
                gateway.receive(0);
                gateway.advance(50 * MILLISECOND_US);
            }
            sent += gateway.sentTo("cold");
        }
        assertTrue(sent <= 10, "sent " + sent);
    }

    @Test
    void oneErrorEjectsAnEngineThatIsRarelyUsed() {
        TestGateway gateway = createGateway(specOf(100), 20);
        playTraffic(gateway, 20);
        String id = gateway.receive(0);
        String faulty = gateway.engineOf(id);
        gateway.answer(id, AttemptResult.ERROR);
        long before = gateway.sentTo(faulty);
        playTraffic(gateway, 12);
        assertEquals(before, gateway.sentTo(faulty));
    }

    @Test
    void rejectedWorkDoesNotRaiseTheSlowStartRate() {
        TestGateway gateway = createGateway(specOf(100), 10);
        rejectAsFull(gateway, 40);
        gateway.receiveList(
                EngineListKind.CHANGES,
                TestGateway.engine("cold", 0, 0, 0, EngineStatus.UP, gateway.nowUs - SECOND_US));
        rejectAsFull(gateway, 80);
        assertTrue(gateway.sentTo("cold") <= 1, "sent " + gateway.sentTo("cold"));
    }

    /** Sends queries to engines in two zones; every answer of zone 1 is lost. Returns the number sent there. */
    private static long sentToSilentZone(TestGateway gateway, int queries) {
        long before =
                gateway.log.stream().filter(FaultHandlingTest::goesToZoneOne).count();
        for (int i = 0; i < queries; i++) {
            String id = gateway.receive(0);
            gateway.advance(100 * MILLISECOND_US);
            if (gateway.attempts(id) > 0 && gateway.engineOf(id).compareTo("e1") < 0) {
                gateway.answer(id, AttemptResult.OK);
            }
            gateway.advance(50 * MILLISECOND_US);
        }
        return gateway.log.stream().filter(FaultHandlingTest::goesToZoneOne).count() - before;
    }

    private static boolean goesToZoneOne(Action a) {
        return a instanceof SendAttempt s && s.engine().startsWith("e1");
    }

    private static TestGateway twoZones() {
        return new TestGateway(specOf(100))
                .receiveList(
                        EngineListKind.FULL,
                        IntStream.range(0, 20)
                                .mapToObj(i -> TestGateway.engine("e" + (i % 2) + i, i % 2, 0, 0, EngineStatus.UP, 0))
                                .toArray(EngineEntry[]::new));
    }

    @Test
    void anUnreachableZoneIsEjectedAsOne() {
        TestGateway gateway = twoZones();
        playTraffic(gateway, 40);
        // 9 s at 7 queries per second: each of the ten engines gets one every 3 s
        long sent = sentToSilentZone(gateway, 60);
        assertTrue(sent <= 12, "sent " + sent);
        playTraffic(gateway, 80); // the zone answers again: one trial ends its ejection
        long before =
                gateway.log.stream().filter(FaultHandlingTest::goesToZoneOne).count();
        playTraffic(gateway, 40);
        long after =
                gateway.log.stream().filter(FaultHandlingTest::goesToZoneOne).count();
        assertTrue(after - before >= 10, "sent " + (after - before));
    }

    @Test
    void oneSilentEngineDoesNotEjectItsZone() {
        TestGateway gateway = twoZones();
        playTraffic(gateway, 40);
        for (int i = 0; i < 60; i++) {
            String id = gateway.receive(0);
            gateway.advance(100 * MILLISECOND_US);
            if (gateway.attempts(id) > 0 && !gateway.engineOf(id).equals("e11")) {
                gateway.answer(id, AttemptResult.OK);
            }
            gateway.advance(50 * MILLISECOND_US);
        }
        assertTrue(actions(gateway, LogMessage.class).stream()
                .noneMatch(l -> l.text().contains("zone")));
    }

    /** A single failed connection does not indicate that a zone is unreachable, even if it has only two engines. */
    @Test
    void aZoneOfTwoEnginesIsUnreachableOnlyWithBoth() {
        TestGateway gateway = new TestGateway(specOf(6))
                .receiveList(
                        EngineListKind.FULL,
                        TestGateway.engine("a0", 0, 0, 0, EngineStatus.UP, 0),
                        TestGateway.engine("a1", 0, 0, 0, EngineStatus.UP, 0),
                        TestGateway.engine("b0", 1, 0, 1, EngineStatus.UP, 0),
                        TestGateway.engine("b1", 1, 0, 1, EngineStatus.UP, 0));
        playTraffic(gateway, 20);
        Collection<EngineState> engines = gateway.module.parts.engines.all();
        gateway.handle(new HealthCheckEnded("a0", AttemptResult.CONNECT_FAILED, 0, null));
        assertTrue(engines.stream().allMatch(e -> e.warmUp().unreachableAtUs() == EventContext.NEVER));
        gateway.handle(new HealthCheckEnded("a1", AttemptResult.CONNECT_FAILED, 0, null));
        assertEquals(
                List.of("a0", "a1"),
                engines.stream()
                        .filter(e -> e.warmUp().unreachableAtUs() > EventContext.NEVER)
                        .map(EngineState::id)
                        .sorted()
                        .toList());
    }

    @Test
    void ownThreadsOverTheShareAreOverloadWhereReportsLackQueries() {
        long highlyLoaded = sentWithOwnThreadsOnly(0.8);
        long lightlyLoaded = sentWithOwnThreadsOnly(0.3);
        assertTrue(highlyLoaded >= 1 && highlyLoaded <= 3, "sent " + highlyLoaded);
        assertEquals(10, lightlyLoaded);
    }

    /** Sends ten queries of three threads each; this gateway's share of busy engines is 2.4 threads. */
    private static long sentWithOwnThreadsOnly(double utilization) {
        TestGateway.Spec spec = specOf(100);
        spec.reportFields = List.of(LoadField.UTILIZATION);
        TestGateway gateway = createGateway(spec, 20);
        playTraffic(gateway, 40, utilization);
        for (int i = 0; i < 10; i++) {
            gateway.receive(1);
            gateway.advance(100 * MILLISECOND_US);
        }
        return actions(gateway, SendAttempt.class).size() - 40;
    }

    /** Sends a heavy query every 50 ms; all engines except one that is warming up reject it because of a full queue. */
    private static void rejectAsFull(TestGateway gateway, int queries) {
        for (int i = 0; i < queries; i++) {
            String id = gateway.receive(1);
            for (int n = 1;
                    n <= 4 && gateway.attempts(id) == n && !gateway.engineOf(id).equals("cold");
                    n++) {
                gateway.answer(id, AttemptResult.QUEUE_FULL);
            }
            gateway.advance(50 * MILLISECOND_US);
        }
    }

    /** Guards against an engine that never answers one class but answers all others. */
    @Test
    void aClassThatAnEngineNeverAnswersGoesElsewhereAndOthersStay() {
        TestGateway.Spec spec = specOf(1);
        spec.cancel = true;
        spec.progressIntervalUs = 100 * MILLISECOND_US;
        TestGateway gateway = createGateway(spec, 3);
        List<String> heavy = new ArrayList<>();
        int cancelled = 0;
        for (int i = 0; i < 40; i++) {
            playTraffic(gateway, 4);
            for (CancelAttempt c : actions(gateway, CancelAttempt.class).stream()
                    .skip(cancelled)
                    .toList()) {
                gateway.answer(c.id(), AttemptResult.CANCELLED);
                cancelled++;
            }
            heavy.add(gateway.receive(1));
            for (String id : heavy) {
                if (gateway.attempts(id) > 0 && !gateway.engineOf(id).equals("e0")) {
                    gateway.answer(id, AttemptResult.OK); // answers to ended attempts are ignored
                }
            }
        }
        long heavyToFaulty =
                heavy.stream().filter(id -> "e0".equals(gateway.engineOf(id))).count();
        assertTrue(heavyToFaulty <= 2, heavyToFaulty + " heavy queries stayed on the engine that does not answer them");
        assertTrue(cancelled >= 2, "cancelled attempts: " + cancelled);
        assertTrue(gateway.sentTo("e0") > 20, "queries of the other class sent there: " + gateway.sentTo("e0"));
    }

    /** Protects heavy queries: an attempt that reports progress is not lost, regardless of its duration. */
    @Test
    void anAttemptThatReportsProgressIsNotCancelled() {
        TestGateway.Spec spec = specOf(1);
        spec.cancel = true;
        spec.progressIntervalUs = 100 * MILLISECOND_US;
        TestGateway gateway = createGateway(spec, 2);
        List<String> heavy = List.of(gateway.receive(1), gateway.receive(1), gateway.receive(1), gateway.receive(1));
        for (int i = 0; i < 60; i++) {
            heavy.forEach(id -> gateway.handle(
                    new ProgressReported(id, gateway.attempts(id) - 1, ProgressTopic.COMPLETED_SHARE, 0.1)));
            playTraffic(gateway, 1);
        }
        assertEquals(0, actions(gateway, CancelAttempt.class).size());
    }

    /** Where all engines return errors at the same rate, none of them is an outlier. */
    @Test
    void errorsOfAllEnginesPutNoneOnTrial() {
        TestGateway gateway = createGateway(specOf(1), 4);
        Map<String, Integer> attemptsByEngine = new HashMap<>();
        boolean failedLast = false;
        for (int i = 0; i < 500 || !failedLast; i++) { // until the last answer of e0 is an error
            String id = gateway.receive(0);
            gateway.advance(20 * MILLISECOND_US);
            String engine = gateway.engineOf(id);
            boolean fails = attemptsByEngine.merge(engine, 1, Integer::sum) % 6 == 0;
            failedLast = fails && engine.equals("e0");
            gateway.answer(id, fails ? AttemptResult.ERROR : AttemptResult.OK);
            if (fails) {
                gateway.answer(id, AttemptResult.OK); // by another engine
            }
        }
        long before = gateway.sentTo("e0");
        for (int i = 0; i < 40; i++) {
            gateway.receive(0);
        }
        long sent = gateway.sentTo("e0") - before;
        assertTrue(sent > 4, "e0 was sent " + sent); // an engine on trial would be sent one
    }

    /** A request that fails on three engines is itself the cause, so it is not sent to more of them. */
    @Test
    void aRequestThatFailsOnThreeEnginesIsGivenUp() {
        TestGateway.Spec spec = specOf(1);
        spec.maxAttempts = 5;
        TestGateway gateway = createGateway(spec, 6);
        playTraffic(gateway, 30);
        String failing = gateway.receive(0);
        while (!gateway.isRejected(failing)) {
            gateway.answer(failing, AttemptResult.ERROR);
        }
        assertEquals(3, gateway.attempts(failing));
    }

    /** Guards against a memory leak where engine ids keep changing. */
    @Test
    void removedEnginesAreForgotten() {
        TestGateway gateway = createGateway(specOf(1), 3);
        for (int i = 0; i < 100; i++) {
            gateway.receiveList(EngineListKind.CHANGES, TestGateway.engine("n" + i));
            gateway.receiveList(EngineListKind.CHANGES, TestGateway.engine("n" + i, 0, 0, 0, EngineStatus.REMOVED, 0));
        }
        assertEquals(3, gateway.module.parts.engines.all().size());
    }
}
