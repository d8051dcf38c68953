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

/** Estimates from few queries: memory grants, lightly loaded engines, engines that may be unreachable. */
class SparseTrafficTest {
    private static final List<LoadField> PLATFORM = List.of(LoadField.UTILIZATION, LoadField.QUEUED, LoadField.MEMORY);

    private static TestGateway site(int gateways, String... engines) {
        return site(7, gateways, engines);
    }

    private static TestGateway site(long seed, int gateways, String... engines) {
        TestGateway.Spec spec = new TestGateway.Spec();
        spec.seed = seed;
        spec.gateways = gateways;
        spec.reportFields = PLATFORM;
        spec.memoryGrants = true;
        TestGateway gateway = new TestGateway(spec);
        for (String e : engines) {
            gateway.receiveList(EngineListKind.CHANGES, TestGateway.engine(e));
        }
        return gateway;
    }

    private static double granted(TestGateway gateway, String id) {
        return gateway.log.stream()
                .filter(SetAttemptOptions.class::isInstance)
                .map(SetAttemptOptions.class::cast)
                .filter(t -> t.id().equals(id))
                .reduce((a, b) -> b)
                .map(SetAttemptOptions::memoryMb)
                .orElse(0.0);
    }

    /** Runs queries one by one whose need is a multiple of their estimate; the last one's grant over its estimate. */
    private static double grantAfter(TestGateway gateway, int queries, double need, int tellings) {
        double last = 0;
        for (int i = 0; i < queries; i++) {
            double estimate = 100 + i % 7 * 30;
            String id = gateway.receiveWithMemory(1, estimate);
            double grant = granted(gateway, id);
            for (int t = 0; t < tellings && grant < need * estimate; t++) {
                gateway.handle(new ProgressReported(id, 0, ProgressTopic.MISSING_MEMORY, need * estimate - grant));
            }
            gateway.advance(300 * MILLISECOND_US);
            gateway.answer(id, AttemptResult.OK);
            last = grant / estimate;
        }
        return last;
    }

    @Test
    void grantsGrowWithWhatIsMissingAndShrinkWhereNothingIs() {
        TestGateway gateway = site(14, "e0");
        assertEquals(1.15, grantAfter(gateway, 1, 0.5, 1), 1e-9);
        double learnt = grantAfter(gateway, 60, 1.6, 1);
        assertTrue(learnt > 1.5 && learnt < 1.7, "granted " + learnt);
        double less = grantAfter(gateway, 200, 0.8, 1);
        assertTrue(less < 0.75 * learnt, "granted " + less);
    }

    @Test
    void aSpillReportedTwiceCountsOnce() {
        assertEquals(grantAfter(site(14, "e0"), 5, 1.6, 1), grantAfter(site(14, "e0"), 5, 1.6, 4), 1e-9);
    }

    @Test
    void grantsStayBoundedWhereMoreMemoryDoesNotHelp() {
        double most = grantAfter(site(14, "e0"), 400, 1000, 1);
        assertTrue(most < 4, "granted " + most);
    }

    private static void reports(TestGateway gateway, String engine, double... report) {
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

    /** One engine is overloaded, the other reports that it is not: queued requests may go there. */
    @Test
    void aLightlyLoadedEngineIsUsedWhileTheFleetIsOverloaded() {
        TestGateway gateway = site(14, "busy", "easy");
        reports(gateway, "busy", 1, 60, 1);
        reports(gateway, "easy", 0.3, 0, 0.2);
        gateway.advance(100 * MILLISECOND_US);
        String first = gateway.receive(1);
        gateway.advance(1700 * MILLISECOND_US); // within what it is wanted in
        assertEquals("easy", gateway.engineOf(first));
    }

    /** Other gateways see the same engine lightly loaded: each fills it at its share of the capacity left. */
    @Test
    void aLightlyLoadedEngineIsFilledAtARate() {
        int atOnce = 0;
        for (int i = 0; i < 30; i++) {
            TestGateway gateway = site(i, 14, "busy", "easy");
            reports(gateway, "busy", 1, 60, 1);
            reports(gateway, "easy", 0.3, 0, 0.2);
            gateway.advance(100 * MILLISECOND_US);
            for (int k = 0; k < 3; k++) {
                String id = gateway.receive(1);
                atOnce += "easy".equals(gateway.engineOf(id)) ? 1 : 0;
            }
        }
        assertTrue(atOnce <= 45, "sent at once " + atOnce + " of 90"); // one that has nothing out sends one in any case
    }

    @Test
    void queriesThatWaitForMemoryCountAsLoad() {
        int waiting = 0;
        for (int i = 0; i < 60; i++) {
            TestGateway gateway = site(i, 14, "free", "line");
            reports(gateway, "free", 0.85, 0, 0.5);
            reports(gateway, "line", 0.85, 9, 0.5);
            waiting += "line".equals(gateway.engineOf(gateway.receive(0))) ? 1 : 0;
        }
        assertTrue(waiting <= 25, "sent " + waiting + " of 60"); // one in four: both draws fall on it
    }

    private static boolean laterSendIsTrial(AttemptResult first) {
        TestGateway gateway = site(2, "e0");
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

    /** Guards the socket side: a connection from before may lead to a machine that is cut off; errors prove none is. */
    @Test
    void anAttemptIsMarkedAsTrialWhereTheEngineMayBeUnreachable() {
        assertTrue(laterSendIsTrial(AttemptResult.CONNECT_FAILED));
        assertFalse(laterSendIsTrial(AttemptResult.ERROR));
    }

    /** The front gives some gateways more than an equal share: while latencies are near the best, none is queued. */
    @Test
    void twiceAnEqualShareIsNotLimitedWhileAnswersAreFast() {
        String[] engines = new String[30];
        for (int i = 0; i < engines.length; i++) {
            engines[i] = "e" + i;
        }
        TestGateway gateway = site(14, engines);
        ArrayDeque<String> out = new ArrayDeque<>();
        int held = 0;
        for (int turn = 0; turn < 600; turn++) { // a query every 50 ms, each runs for 0.65 s
            String id = gateway.receive(1);
            out.add(id);
            held += turn >= 400 && gateway.attempts(id) == 0 ? 1 : 0;
            gateway.advance(50 * MILLISECOND_US);
            if (out.size() > 13) {
                String oldest = out.poll();
                if (gateway.attempts(oldest) > 0) {
                    gateway.answer(oldest, AttemptResult.OK, new double[] {0.8, 0, 0.5});
                }
            }
        }
        assertEquals(0, held);
    }

    /** Two queries a second for each engine: earlier reports still hold, and all engines are overloaded together. */
    @Test
    void anOverloadIsRememberedBetweenTwoReports() {
        TestGateway gateway = site(14, "e0", "e1", "e2", "e3");
        ArrayDeque<String> out = new ArrayDeque<>();
        for (int turn = 0; turn < 150; turn++) {
            out.add(gateway.receive(1));
            gateway.advance(100 * MILLISECOND_US);
            if (out.size() > 3) {
                String oldest = out.poll();
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
