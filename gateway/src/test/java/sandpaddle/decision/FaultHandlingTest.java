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

/** Many gateways with little traffic each, lost answers, and gateways that stand still. */
class FaultHandlingTest {
    private static final long S = TestGateway.SECOND_US;
    private static final long MS = TestGateway.MILLISECOND_US;

    private static TestGateway site(TestGateway.Spec spec, int engines) {
        return new TestGateway(spec)
                .receiveList(
                        EngineListKind.FULL,
                        IntStream.range(0, engines)
                                .mapToObj(i -> TestGateway.engine("e" + i))
                                .toArray(EngineEntry[]::new));
    }

    private static TestGateway.Spec gateways(int n) {
        TestGateway.Spec spec = new TestGateway.Spec();
        spec.gateways = n;
        return spec;
    }

    /** One query every 250 ms, each answered 100 ms later with the report given. */
    private static void drive(TestGateway gateway, int queries, double... report) {
        for (int i = 0; i < queries; i++) {
            String id = gateway.receive(0);
            gateway.advance(100 * MS);
            if (gateway.attempts(id) > 0) {
                gateway.answer(id, AttemptResult.OK, report.length > 0 ? report : null);
            }
            gateway.advance(150 * MS);
        }
    }

    private static <T extends Action> List<T> actions(TestGateway gateway, Class<T> type) {
        return gateway.log.stream().filter(type::isInstance).map(type::cast).toList();
    }

    @Test
    void manyGatewaysDoNotOverloadBusyEnginesWithOneQueryEach() {
        TestGateway gateway = site(gateways(100), 20);
        drive(gateway, 40, 18, 1.0);
        long before = actions(gateway, SendAttempt.class).size();
        for (int i = 0; i < 20; i++) {
            gateway.receive(0);
        }
        long sent = actions(gateway, SendAttempt.class).size() - before;
        assertTrue(sent >= 1 && sent <= 5, "sent " + sent);
    }

    @Test
    void healthChecksFollowOwnTraffic() {
        TestGateway.Spec spec = gateways(100);
        spec.healthChecks = true;
        spec.reportsInAnswers = false;
        TestGateway gateway = site(spec, 20);
        drive(gateway, 80);
        int probes = actions(gateway, StartHealthCheck.class).size();
        assertTrue(probes >= 5 && probes <= 80 * 0.3 + 3, "probes " + probes);
    }

    @Test
    void aLostAnswerLeavesTimeForARetry() {
        TestGateway gateway = site(gateways(2), 4);
        drive(gateway, 60);
        String lost = gateway.receive(0);
        gateway.advance(900 * MS);
        assertEquals(2, gateway.attempts(lost));
        gateway.answer(lost, AttemptResult.OK);
        gateway.end();
    }

    @Test
    void slowAnswersShortenNoTimeout() {
        TestGateway gateway = site(gateways(2), 4);
        drive(gateway, 40);
        for (int i = 0; i < 12; i++) {
            String slow = gateway.receive(0);
            gateway.advance(600 * MS);
            gateway.answer(slow, AttemptResult.OK);
        }
        String id = gateway.receive(0);
        var send = actions(gateway, SendAttempt.class).stream()
                .filter(x -> x.id().equals(id))
                .findFirst()
                .orElseThrow();
        assertEquals(4 * S, send.timeoutUs());
    }

    @Test
    void attemptsOnASilentEngineAreCancelledWhereThatIsSupported() {
        TestGateway.Spec spec = gateways(2);
        spec.cancel = true;
        TestGateway gateway = site(spec, 4);
        List<String> first =
                IntStream.range(0, 8).mapToObj(i -> gateway.receive(1)).toList();
        List<String> stuck =
                first.stream().filter(id -> gateway.engineOf(id).equals("e0")).toList();
        gateway.advance(100 * MS);
        first.stream().filter(id -> !stuck.contains(id)).forEach(id -> gateway.answer(id, AttemptResult.OK));
        for (int i = 0; i < 60 && actions(gateway, CancelAttempt.class).isEmpty(); i++) {
            String id = gateway.receive(0);
            gateway.advance(100 * MS);
            if (!gateway.engineOf(id).equals("e0")) {
                gateway.answer(id, AttemptResult.OK);
            }
        }
        String called = actions(gateway, CancelAttempt.class).get(0).id();
        assertEquals("e0", gateway.engineOf(called));
        gateway.answer(called, AttemptResult.CANCELLED);
        assertEquals(2, gateway.attempts(called));
        assertTrue(!gateway.engineOf(called).equals("e0"));
    }

    @Test
    void attemptsOfADisconnectedClientAreCancelledWhereThatIsSupported() {
        TestGateway.Spec spec = gateways(2);
        spec.cancel = true;
        TestGateway gateway = site(spec, 2);
        String id = gateway.receive(1);
        gateway.handle(new ClientDisconnected(id));
        assertEquals(List.of(new CancelAttempt(id, 0)), actions(gateway, CancelAttempt.class));
    }

    @Test
    void aStalledGatewayEjectsNoEngineBeforeItHasReadTheAnswers() {
        TestGateway gateway = site(gateways(2), 4);
        drive(gateway, 60);
        List<String> out = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            out.add(gateway.receive(1));
        }
        gateway.nowUs += 30 * S; // no event for long: then the answer of one engine and the sweep come in one batch
        gateway.handle(new AttemptEnded(
                out.get(0), 0, gateway.engineOf(out.get(0)), AttemptResult.OK, true, 200 * MS, 0, 0, null));
        gateway.handle(new TimerFired("sweep"));
        assertTrue(actions(gateway, LogMessage.class).isEmpty());
    }

    @Test
    void manyGatewaysDoNotAllSendToAStartedEngineAtOnce() {
        int sent = 0;
        for (int seed = 0; seed < 100; seed++) {
            TestGateway.Spec spec = gateways(100);
            spec.seed = seed;
            TestGateway gateway = new TestGateway(spec)
                    .receiveList(
                            EngineListKind.CACHED,
                            TestGateway.engine("warm"),
                            TestGateway.engine("cold", 0, 0, 0, EngineStatus.UP, 999 * S));
            for (int i = 0; i < 4; i++) {
                gateway.receive(0);
                gateway.advance(50 * MS);
            }
            sent += gateway.sentTo("cold");
        }
        assertTrue(sent <= 10, "sent " + sent);
    }

    @Test
    void oneErrorEjectsAnEngineThatIsRarelyUsed() {
        TestGateway gateway = site(gateways(100), 20);
        drive(gateway, 20);
        String id = gateway.receive(0);
        String sick = gateway.engineOf(id);
        gateway.answer(id, AttemptResult.ERROR);
        long before = gateway.sentTo(sick);
        drive(gateway, 12);
        assertEquals(before, gateway.sentTo(sick));
    }

    @Test
    void rejectedWorkDoesNotRaiseTheSlowStartRate() {
        TestGateway gateway = site(gateways(100), 10);
        jam(gateway, 40);
        gateway.receiveList(
                EngineListKind.CHANGES, TestGateway.engine("cold", 0, 0, 0, EngineStatus.UP, gateway.nowUs - S));
        jam(gateway, 80);
        assertTrue(gateway.sentTo("cold") <= 1, "sent " + gateway.sentTo("cold"));
    }

    /** Engines e0 to e19 in two zones; every answer of zone 1 is lost. Returns the queries sent there. */
    private static long sentIntoSilence(TestGateway gateway, int queries) {
        long before =
                gateway.log.stream().filter(FaultHandlingTest::goesToZoneOne).count();
        for (int i = 0; i < queries; i++) {
            String id = gateway.receive(0);
            gateway.advance(100 * MS);
            if (gateway.attempts(id) > 0 && gateway.engineOf(id).compareTo("e1") < 0) {
                gateway.answer(id, AttemptResult.OK);
            }
            gateway.advance(50 * MS);
        }
        return gateway.log.stream().filter(FaultHandlingTest::goesToZoneOne).count() - before;
    }

    private static boolean goesToZoneOne(Action a) {
        return a instanceof SendAttempt s && s.engine().startsWith("e1");
    }

    private static TestGateway twoZones() {
        return new TestGateway(gateways(100))
                .receiveList(
                        EngineListKind.FULL,
                        IntStream.range(0, 20)
                                .mapToObj(i -> TestGateway.engine("e" + (i % 2) + i, i % 2, 0, 0, EngineStatus.UP, 0))
                                .toArray(EngineEntry[]::new));
    }

    @Test
    void anUnreachableZoneIsEjectedAsOne() {
        TestGateway gateway = twoZones();
        drive(gateway, 40);
        long sent = sentIntoSilence(gateway, 60); // 9 s at 7 a second: each of ten engines is met every 3 s
        assertTrue(sent <= 12, "sent " + sent);
        drive(gateway, 80); // answers come again: one trial reopens the zone
        long before =
                gateway.log.stream().filter(FaultHandlingTest::goesToZoneOne).count();
        drive(gateway, 40);
        long after =
                gateway.log.stream().filter(FaultHandlingTest::goesToZoneOne).count();
        assertTrue(after - before >= 10, "sent " + (after - before));
    }

    @Test
    void oneSilentEngineDoesNotEjectItsZone() {
        TestGateway gateway = twoZones();
        drive(gateway, 40);
        for (int i = 0; i < 60; i++) {
            String id = gateway.receive(0);
            gateway.advance(100 * MS);
            if (gateway.attempts(id) > 0 && !gateway.engineOf(id).equals("e11")) {
                gateway.answer(id, AttemptResult.OK);
            }
            gateway.advance(50 * MS);
        }
        assertTrue(actions(gateway, LogMessage.class).stream()
                .noneMatch(l -> l.text().contains("zone")));
    }

    /** One connection that does not come up is no sign that a zone is lost, however few engines it has. */
    @Test
    void aZoneOfTwoEnginesIsUnreachableOnlyWithBoth() {
        TestGateway gateway = new TestGateway(gateways(6))
                .receiveList(
                        EngineListKind.FULL,
                        TestGateway.engine("a0", 0, 0, 0, EngineStatus.UP, 0),
                        TestGateway.engine("a1", 0, 0, 0, EngineStatus.UP, 0),
                        TestGateway.engine("b0", 1, 0, 1, EngineStatus.UP, 0),
                        TestGateway.engine("b1", 1, 0, 1, EngineStatus.UP, 0));
        drive(gateway, 20);
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
        long nearBusy = sentWithOwnThreadsOnly(0.8);
        long atEase = sentWithOwnThreadsOnly(0.3);
        assertTrue(nearBusy >= 1 && nearBusy <= 3, "sent " + nearBusy);
        assertEquals(10, atEase);
    }

    /** Ten queries of three threads; this gateway's share of busy engines is 2.4 threads. */
    private static long sentWithOwnThreadsOnly(double util) {
        TestGateway.Spec spec = gateways(100);
        spec.reportFields = List.of(LoadField.UTILIZATION);
        TestGateway gateway = site(spec, 20);
        drive(gateway, 40, util);
        for (int i = 0; i < 10; i++) {
            gateway.receive(1);
            gateway.advance(100 * MS);
        }
        return actions(gateway, SendAttempt.class).size() - 40;
    }

    /** A heavy query every 50 ms; all engines but one that warms up reject as full. */
    private static void jam(TestGateway gateway, int queries) {
        for (int i = 0; i < queries; i++) {
            String id = gateway.receive(1);
            for (int n = 1;
                    n <= 4 && gateway.attempts(id) == n && !gateway.engineOf(id).equals("cold");
                    n++) {
                gateway.answer(id, AttemptResult.QUEUE_FULL);
            }
            gateway.advance(50 * MS);
        }
    }

    /** Guards a class that some engines swallow while they answer all else: it goes where it is answered. */
    @Test
    void aClassThatAnEngineNeverAnswersGoesElsewhereAndOthersStay() {
        TestGateway.Spec spec = gateways(1);
        spec.cancel = true;
        spec.progressIntervalUs = 100 * MS;
        TestGateway gateway = site(spec, 3);
        List<String> heavy = new ArrayList<>();
        int calledOff = 0;
        for (int i = 0; i < 40; i++) {
            drive(gateway, 4);
            for (CancelAttempt c : actions(gateway, CancelAttempt.class).stream()
                    .skip(calledOff)
                    .toList()) {
                gateway.answer(c.id(), AttemptResult.CANCELLED);
                calledOff++;
            }
            heavy.add(gateway.receive(1));
            for (String id : heavy) {
                if (gateway.attempts(id) > 0 && !gateway.engineOf(id).equals("e0")) {
                    gateway.answer(id, AttemptResult.OK); // answers to what has ended change nothing
                }
            }
        }
        long heavyToSick =
                heavy.stream().filter(id -> "e0".equals(gateway.engineOf(id))).count();
        assertTrue(heavyToSick <= 2, heavyToSick + " heavy ones stay with the engine that swallows them");
        assertTrue(calledOff >= 2, "what is stuck is called off, not only " + calledOff);
        assertTrue(gateway.sentTo("e0") > 20, "the other class still goes there, not only " + gateway.sentTo("e0"));
    }

    /** Protects heavy queries: one that reports progress is not lost, however long it takes. */
    @Test
    void anAttemptThatReportsProgressIsNotCancelled() {
        TestGateway.Spec spec = gateways(1);
        spec.cancel = true;
        spec.progressIntervalUs = 100 * MS;
        TestGateway gateway = site(spec, 2);
        List<String> heavy = List.of(gateway.receive(1), gateway.receive(1), gateway.receive(1), gateway.receive(1));
        for (int i = 0; i < 60; i++) {
            heavy.forEach(id -> gateway.handle(
                    new ProgressReported(id, gateway.attempts(id) - 1, ProgressTopic.COMPLETED_SHARE, 0.1)));
            drive(gateway, 1);
        }
        assertEquals(0, actions(gateway, CancelAttempt.class).size());
    }

    /** Protects against errors that all engines return: none of them is an outlier. */
    @Test
    void errorsOfAllEnginesPutNoneOnTrial() {
        TestGateway gateway = site(gateways(1), 4);
        Map<String, Integer> met = new HashMap<>();
        boolean failedLast = false;
        for (int i = 0; i < 500 || !failedLast; i++) { // the last answer of one engine is a failure
            String id = gateway.receive(0);
            gateway.advance(20 * MS);
            String engine = gateway.engineOf(id);
            boolean fails = met.merge(engine, 1, Integer::sum) % 6 == 0;
            failedLast = fails && engine.equals("e0");
            gateway.answer(id, fails ? AttemptResult.ERROR : AttemptResult.OK);
            if (fails) {
                gateway.answer(id, AttemptResult.OK); // from another engine
            }
        }
        long before = gateway.sentTo("e0");
        for (int i = 0; i < 40; i++) {
            gateway.receive(0);
        }
        long sent = gateway.sentTo("e0") - before;
        assertTrue(sent > 4, "e0 was sent " + sent); // on trial it would be sent one
    }

    /** Guards engines against a request that no engine can use: it is its own fault. */
    @Test
    void aRequestThatFailsOnThreeEnginesIsGivenUp() {
        TestGateway.Spec spec = gateways(1);
        spec.maxAttempts = 5;
        TestGateway gateway = site(spec, 6);
        drive(gateway, 30);
        String bad = gateway.receive(0);
        while (!gateway.isRejected(bad)) {
            gateway.answer(bad, AttemptResult.ERROR);
        }
        assertEquals(3, gateway.attempts(bad));
    }

    /** Guards memory: ids are new all day. */
    @Test
    void removedEnginesAreForgotten() {
        TestGateway gateway = site(gateways(1), 3);
        for (int i = 0; i < 100; i++) {
            gateway.receiveList(EngineListKind.CHANGES, TestGateway.engine("n" + i));
            gateway.receiveList(EngineListKind.CHANGES, TestGateway.engine("n" + i, 0, 0, 0, EngineStatus.REMOVED, 0));
        }
        assertEquals(3, gateway.module.parts.engines.all().size());
    }
}
