package sandpaddle.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import sandpaddle.decision.action.SendAttempt;
import sandpaddle.decision.event.AttemptResult;
import sandpaddle.decision.event.EngineCondition;
import sandpaddle.decision.event.EngineEntry;
import sandpaddle.decision.event.EngineListKind;
import sandpaddle.decision.event.EngineVerdict;
import sandpaddle.decision.event.EngineVerdictsChanged;

/** Effect of fleet verdicts on the decisions of one gateway. */
class FleetVerdictsTest {
    private static final long SECOND_US = TestGateway.SECOND_US;
    private static final long MILLISECOND_US = TestGateway.MILLISECOND_US;

    private static TestGateway createGateway(String... engines) {
        return new TestGateway(new TestGateway.Spec())
                .receiveList(
                        EngineListKind.FULL,
                        Arrays.stream(engines).map(TestGateway::engine).toArray(EngineEntry[]::new));
    }

    private static void setVerdict(TestGateway gateway, EngineCondition condition, long durationUs, String... engines) {
        gateway.handle(new EngineVerdictsChanged(Arrays.stream(engines)
                .map(e -> new EngineVerdict(e, condition, gateway.nowUs, gateway.nowUs + durationUs))
                .toList()));
    }

    /** Sends queries one after the other, answers each, and returns the number sent to an engine. */
    private static long sendAndCount(TestGateway gateway, int queries, String engine) {
        long before = gateway.sentTo(engine);
        for (int i = 0; i < queries; i++) {
            String id = gateway.receive(0);
            gateway.advance(50 * MILLISECOND_US);
            if (gateway.attempts(id) > 0) {
                gateway.answer(id, AttemptResult.OK);
            }
        }
        return gateway.sentTo(engine) - before;
    }

    @Test
    void aFailingOrUnresponsiveEngineGetsNothingUntilTheVerdictExpires() {
        for (EngineCondition condition : List.of(EngineCondition.FAILING, EngineCondition.UNRESPONSIVE)) {
            TestGateway gateway = createGateway("a", "b");
            setVerdict(gateway, condition, 2 * SECOND_US, "a");
            assertEquals(0, sendAndCount(gateway, 30, "a"));
            gateway.advance(600 * MILLISECOND_US);
            assertTrue(sendAndCount(gateway, 30, "a") > 5);
        }
    }

    @Test
    void aLaterSuccessfulAnswerOverridesTheVerdict() {
        TestGateway gateway = createGateway("a", "b");
        String early = gateway.receive(0);
        String answeringEngine = gateway.engineOf(early);
        setVerdict(gateway, EngineCondition.FAILING, 60 * SECOND_US, answeringEngine);
        assertEquals(0, sendAndCount(gateway, 10, answeringEngine));
        gateway.answer(early, AttemptResult.OK);
        assertTrue(sendAndCount(gateway, 20, answeringEngine) > 0);
    }

    @Test
    void anEarlierSuccessfulAnswerDoesNotOverrideTheVerdict() {
        TestGateway gateway = createGateway("a", "b");
        assertTrue(sendAndCount(gateway, 20, "a") > 0);
        gateway.advance(10 * MILLISECOND_US);
        setVerdict(gateway, EngineCondition.FAILING, 60 * SECOND_US, "a");
        assertEquals(0, sendAndCount(gateway, 20, "a"));
    }

    @Test
    void verdictsAreIgnoredWhereMostEnginesWouldBeEjected() {
        TestGateway gateway = createGateway("a", "b", "c");
        setVerdict(gateway, EngineCondition.FAILING, 60 * SECOND_US, "a", "b");
        assertTrue(sendAndCount(gateway, 30, "a") > 0);
    }

    @Test
    void noTrialIsSentWhileTheVerdictIsInForce() {
        TestGateway gateway = createGateway("a", "b");
        for (int i = 0; i < 20 && gateway.sentTo("a") == 0; i++) {
            String id = gateway.receive(0);
            gateway.answer(id, "a".equals(gateway.engineOf(id)) ? AttemptResult.CONNECT_FAILED : AttemptResult.OK);
        }
        assertEquals(1, gateway.sentTo("a"));
        setVerdict(gateway, EngineCondition.FAILING, 60 * SECOND_US, "a");
        assertEquals(0, sendAndCount(gateway, 900, "a"));
        gateway.advance(20 * SECOND_US);
        assertTrue(sendAndCount(gateway, 30, "a") > 0);
        assertEquals(
                1,
                gateway.log.stream()
                        .filter(x -> x instanceof SendAttempt s && s.trial())
                        .count());
    }

    @Test
    void nothingNewIsSentToADrainingEngineEvenWhereItIsTheLast() {
        TestGateway gateway = createGateway("a", "b");
        setVerdict(gateway, EngineCondition.DRAINING, 3 * SECOND_US, "a", "b");
        String queued = gateway.receive(0);
        gateway.advance(1 * SECOND_US);
        assertEquals(0, gateway.attempts(queued));
        assertTrue(gateway.isRejected(queued));
        setVerdict(gateway, EngineCondition.DRAINING, 60 * SECOND_US, "a");
        assertEquals(20, sendAndCount(gateway, 20, "b"));
        gateway.handle(new EngineVerdictsChanged(List.of()));
        assertTrue(sendAndCount(gateway, 20, "a") > 0);
    }

    @Test
    void aSlowEngineLosesTiesButIsUsedWhileOthersAreBusy() {
        TestGateway gateway = createGateway("a", "b");
        setVerdict(gateway, EngineCondition.SLOW, 60 * SECOND_US, "a");
        assertEquals(0, sendAndCount(gateway, 30, "a"));
        for (int i = 0; i < 4; i++) {
            gateway.receive(0);
        }
        assertEquals(2, gateway.sentTo("a"));
    }

    /** The same verdict arrives with each heartbeat and must not restart the slow start. */
    @Test
    void aRepeatedWarmingUpVerdictChangesNothing() {
        long[] sent = new long[2];
        for (int again = 0; again < 2; again++) {
            TestGateway gateway = createGateway("a", "b");
            sendAndCount(gateway, 60, "a");
            var verdict = new EngineVerdictsChanged(List.of(
                    new EngineVerdict("a", EngineCondition.WARMING_UP, gateway.nowUs, gateway.nowUs + 9 * SECOND_US)));
            gateway.handle(verdict);
            for (int i = 0; i < 60; i++) {
                sent[again] += sendAndCount(gateway, 1, "a");
                if (again == 1) {
                    gateway.handle(verdict);
                }
            }
        }
        assertTrue(sent[0] > 3, "sent " + sent[0]);
        assertEquals(sent[0], sent[1]);
    }

    @Test
    void aWarmingUpVerdictLimitsTheRateUntilItExpires() {
        TestGateway gateway = createGateway("a", "b");
        sendAndCount(gateway, 60, "a");
        setVerdict(gateway, EngineCondition.WARMING_UP, 3 * SECOND_US, "a");
        long since = gateway.nowUs;
        long before = gateway.sentTo("a");
        for (int i = 0; i < 12; i++) {
            gateway.receive(1);
        }
        assertTrue(
                gateway.sentTo("a") <= before + 1,
                "sent to the engine that is warming up: " + (gateway.sentTo("a") - before));
        before = gateway.sentTo("a");
        gateway.handle(new EngineVerdictsChanged(
                List.of(new EngineVerdict("a", EngineCondition.WARMING_UP, since, since + 3 * SECOND_US))));
        assertEquals(before, gateway.sentTo("a"));
        gateway.handle(new EngineVerdictsChanged(List.of()));
        assertTrue(gateway.sentTo("a") > before, "queued requests are sent to it immediately");
    }
}
