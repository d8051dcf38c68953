package sandpaddle.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static sandpaddle.decision.TestGateway.MILLISECOND_US;
import static sandpaddle.decision.TestGateway.SECOND_US;

import java.util.ArrayDeque;
import java.util.List;
import org.junit.jupiter.api.Test;
import sandpaddle.decision.action.SendAttempt;
import sandpaddle.decision.action.SetAttemptOptions;
import sandpaddle.decision.event.AttemptResult;
import sandpaddle.decision.event.EngineListKind;
import sandpaddle.decision.event.ProgressReported;
import sandpaddle.decision.event.ProgressTopic;
import sandpaddle.decision.settings.LoadField;

/** Decisions with little traffic: memory grants, lightly loaded engines, engines that may be unreachable. */
class SparseTrafficTest {
    private static final List<LoadField> REPORT_FIELDS =
            List.of(LoadField.UTILIZATION, LoadField.QUEUED, LoadField.MEMORY);

    private static TestGateway createGateway(int gateways, String... engines) {
        return createGateway(7, gateways, engines);
    }

    private static TestGateway createGateway(long seed, int gateways, String... engines) {
        TestGateway.Spec spec = new TestGateway.Spec();
        spec.seed = seed;
        spec.gateways = gateways;
        spec.reportFields = REPORT_FIELDS;
        spec.memoryGrants = true;
        TestGateway gateway = new TestGateway(spec);
        for (String e : engines) {
            gateway.receiveList(EngineListKind.CHANGES, TestGateway.engine(e));
        }
        return gateway;
    }

    private static double grantedMb(TestGateway gateway, String id) {
        return gateway.log.stream()
                .filter(SetAttemptOptions.class::isInstance)
                .map(SetAttemptOptions.class::cast)
                .filter(t -> t.id().equals(id))
                .reduce((a, b) -> b)
                .map(SetAttemptOptions::memoryMb)
                .orElse(0.0);
    }

    /**
     * Runs queries one by one that need a multiple of their estimated memory, and returns the ratio of the last one's
     * grant to its estimate.
     */
    private static double grantAfter(TestGateway gateway, int queries, double needRatio, int reports) {
        double last = 0;
        for (int i = 0; i < queries; i++) {
            double estimate = 100 + i % 7 * 30;
            String id = gateway.receiveWithMemory(1, estimate);
            double grant = grantedMb(gateway, id);
            for (int t = 0; t < reports && grant < needRatio * estimate; t++) {
                gateway.handle(new ProgressReported(id, 0, ProgressTopic.MISSING_MEMORY, needRatio * estimate - grant));
            }
            gateway.advance(300 * MILLISECOND_US);
            gateway.answer(id, AttemptResult.OK);
            last = grant / estimate;
        }
        return last;
    }

    @Test
    void grantsGrowWithWhatIsMissingAndShrinkWhereNothingIs() {
        TestGateway gateway = createGateway(14, "e0");
        assertEquals(1.15, grantAfter(gateway, 1, 0.5, 1), 1e-9);
        double learnt = grantAfter(gateway, 60, 1.6, 1);
        assertTrue(learnt > 1.5 && learnt < 1.7, "granted " + learnt);
        double less = grantAfter(gateway, 200, 0.8, 1);
        assertTrue(less < 0.75 * learnt, "granted " + less);
    }

    @Test
    void missingMemoryReportedTwiceCountsOnce() {
        assertEquals(
                grantAfter(createGateway(14, "e0"), 5, 1.6, 1), grantAfter(createGateway(14, "e0"), 5, 1.6, 4), 1e-9);
    }

    @Test
    void grantsStayBoundedWhereMoreMemoryDoesNotHelp() {
        double maxRatio = grantAfter(createGateway(14, "e0"), 400, 1000, 1);
        assertTrue(maxRatio < 4, "granted " + maxRatio);
    }

    private static void receiveReport(TestGateway gateway, String engine, double... report) {
        String id = null;
        while (id == null || !engine.equals(gateway.engineOf(id))) {
            if (id != null) {
                gateway.answer(id, AttemptResult.OK);
            }
            id = gateway.receive(0);
        }
        gateway.advance(20 * MILLISECOND_US);
        gateway.answer(id, AttemptResult.OK, report);
    }

    /** One engine is overloaded and the other reports that it is not, so queued requests may be sent to the other. */
    @Test
    void aLightlyLoadedEngineIsUsedWhileTheFleetIsOverloaded() {
        TestGateway gateway = createGateway(14, "busy", "easy");
        receiveReport(gateway, "busy", 1, 60, 1);
        receiveReport(gateway, "easy", 0.3, 0, 0.2);
        gateway.advance(100 * MILLISECOND_US);
        String first = gateway.receive(1);
        gateway.advance(1700 * MILLISECOND_US); // within the request's latency objective
        assertEquals("easy", gateway.engineOf(first));
    }

    /** Other gateways see the same engine as lightly loaded, so each may use only its share of the spare capacity. */
    @Test
    void aLightlyLoadedEngineIsFilledAtARate() {
        int atOnce = 0;
        for (int i = 0; i < 30; i++) {
            TestGateway gateway = createGateway(i, 14, "busy", "easy");
            receiveReport(gateway, "busy", 1, 60, 1);
            receiveReport(gateway, "easy", 0.3, 0, 0.2);
            gateway.advance(100 * MILLISECOND_US);
            for (int k = 0; k < 3; k++) {
                String id = gateway.receive(1);
                atOnce += "easy".equals(gateway.engineOf(id)) ? 1 : 0;
            }
        }
        // a gateway without queries in flight always sends one
        assertTrue(atOnce <= 45, "sent at once " + atOnce + " of 90");
    }

    @Test
    void queriesThatWaitForMemoryCountAsLoad() {
        int sentToQueueing = 0;
        for (int i = 0; i < 60; i++) {
            TestGateway gateway = createGateway(i, 14, "free", "line");
            receiveReport(gateway, "free", 0.85, 0, 0.5);
            receiveReport(gateway, "line", 0.85, 9, 0.5);
            sentToQueueing += "line".equals(gateway.engineOf(gateway.receive(0))) ? 1 : 0;
        }
        // expected: one in four, where both random choices are this engine
        assertTrue(sentToQueueing <= 25, "sent " + sentToQueueing + " of 60");
    }

    private static boolean laterSendIsTrial(AttemptResult first) {
        TestGateway gateway = createGateway(2, "e0");
        gateway.answer(gateway.receive(0), first);
        gateway.advance(30 * SECOND_US);
        gateway.receive(0);
        List<SendAttempt> sends = gateway.log.stream()
                .filter(SendAttempt.class::isInstance)
                .map(SendAttempt.class::cast)
                .toList();
        assertFalse(sends.get(0).trial());
        return sends.get(sends.size() - 1).trial();
    }

    /**
     * A pooled connection may lead to a machine that is cut off, so the dispatcher must open a new one. An
     * engine that answers with errors is reachable.
     */
    @Test
    void anAttemptIsMarkedAsTrialWhereTheEngineMayBeUnreachable() {
        assertTrue(laterSendIsTrial(AttemptResult.CONNECT_FAILED));
        assertFalse(laterSendIsTrial(AttemptResult.ERROR));
    }

    /**
     * The front end may give some gateways more than an equal share of the traffic: while latencies are near
     * the best ones, no request is queued.
     */
    @Test
    void twiceAnEqualShareIsNotLimitedWhileAnswersAreFast() {
        String[] engines = new String[30];
        for (int i = 0; i < engines.length; i++) {
            engines[i] = "e" + i;
        }
        TestGateway gateway = createGateway(14, engines);
        ArrayDeque<String> open = new ArrayDeque<>();
        int queued = 0;
        for (int i = 0; i < 600; i++) { // a query every 50 ms, each runs for 0.65 s
            String id = gateway.receive(1);
            open.add(id);
            queued += i >= 400 && gateway.attempts(id) == 0 ? 1 : 0;
            gateway.advance(50 * MILLISECOND_US);
            if (open.size() > 13) {
                String oldest = open.poll();
                if (gateway.attempts(oldest) > 0) {
                    gateway.answer(oldest, AttemptResult.OK, new double[] {0.8, 0, 0.5});
                }
            }
        }
        assertEquals(0, queued);
    }

    /** With two queries per second and engine, earlier reports still count, and engines are overloaded as a fleet. */
    @Test
    void anOverloadIsRememberedBetweenTwoReports() {
        TestGateway gateway = createGateway(14, "e0", "e1", "e2", "e3");
        ArrayDeque<String> open = new ArrayDeque<>();
        for (int i = 0; i < 150; i++) {
            open.add(gateway.receive(1));
            gateway.advance(100 * MILLISECOND_US);
            if (open.size() > 3) {
                String oldest = open.poll();
                if (gateway.attempts(oldest) > 0) {
                    gateway.answer(oldest, AttemptResult.OK, new double[] {0.95, 0, 0.5});
                }
            }
        }
        gateway.advance(1500 * MILLISECOND_US);
        long before = gateway.log.stream().filter(SendAttempt.class::isInstance).count();
        for (int i = 0; i < 12; i++) {
            gateway.receive(1);
        }
        long sent = gateway.log.stream().filter(SendAttempt.class::isInstance).count() - before;
        assertTrue(sent < 3, "sent " + sent);
    }
}
