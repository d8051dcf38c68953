package sandpaddle.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import sandpaddle.decision.action.RejectRequest;
import sandpaddle.decision.event.AttemptResult;
import sandpaddle.decision.event.ClientDisconnected;
import sandpaddle.decision.event.EngineListKind;
import sandpaddle.decision.event.Quota;
import sandpaddle.decision.event.QuotasChanged;
import sandpaddle.decision.event.RequestReceived;
import sandpaddle.decision.settings.DeduplicationScope;
import sandpaddle.decision.settings.Idempotency;

/** Quotas: a gateway's shares of fleet-wide limits. */
class QuotaTest {
    private static final long SECOND_US = TestGateway.SECOND_US;
    private static final long MILLISECOND_US = TestGateway.MILLISECOND_US;
    private static final int UNLIMITED = Integer.MAX_VALUE;

    private static TestGateway createGateway(TestGateway.Spec spec) {
        return new TestGateway(spec).receiveList(EngineListKind.FULL, TestGateway.engine("a"), TestGateway.engine("b"));
    }

    private static TestGateway createGateway() {
        return createGateway(new TestGateway.Spec());
    }

    private static void replaceQuotas(TestGateway gateway, long retryAfterUs, Quota... all) {
        gateway.handle(new QuotasChanged(List.of(all), retryAfterUs));
    }

    private static String receive(TestGateway gateway, String id, int classIndex, int tenant) {
        gateway.handle(new RequestReceived(
                id,
                classIndex,
                null,
                gateway.settings.classes().get(classIndex).deadlineUs(),
                0,
                0,
                -1,
                false,
                false,
                tenant));
        return id;
    }

    private static long retryAfterUs(TestGateway gateway, String id) {
        return gateway.log.stream()
                .filter(a -> a instanceof RejectRequest r && r.id().equals(id))
                .mapToLong(a -> ((RejectRequest) a).retryAfterUs())
                .findFirst()
                .orElseThrow();
    }

    @Test
    void attemptsInFlightStayWithinTheQuotaAndTheEarliestDueIsNext() {
        TestGateway gateway = createGateway();
        replaceQuotas(gateway, 0, new Quota(-1, -1, null, 2, UNLIMITED));
        String late = receive(gateway, "late", 1, 1);
        receive(gateway, "r1", 0, 1);
        String heavy = receive(gateway, "heavy", 1, 1);
        String quick = receive(gateway, "quick", 0, 1);
        assertEquals(0, gateway.attempts(heavy) + gateway.attempts(quick));
        gateway.answer(late, AttemptResult.OK);
        assertEquals(1, gateway.attempts(quick));
        assertEquals(0, gateway.attempts(heavy));
        gateway.end();
    }

    @Test
    void otherRequestsPassOneThatIsOverQuota() {
        TestGateway gateway = createGateway();
        replaceQuotas(gateway, 0, new Quota(-1, 1, null, 1, UNLIMITED), new Quota(1, -1, null, 1, UNLIMITED));
        assertEquals(1, gateway.attempts(receive(gateway, "t1", 0, 1)));
        assertEquals(0, gateway.attempts(receive(gateway, "t1 again", 0, 1)));
        assertEquals(1, gateway.attempts(receive(gateway, "t2", 0, 2)));
        assertEquals(1, gateway.attempts(receive(gateway, "t2 heavy", 1, 2)));
        assertEquals(0, gateway.attempts(receive(gateway, "t3 heavy", 1, 3)));
        assertEquals(1, gateway.attempts(receive(gateway, "without tenant", 0, -1)));
    }

    @Test
    void anEngineAtItsQuotaLeavesTheOthersInUse() {
        TestGateway gateway = createGateway();
        replaceQuotas(gateway, 0, new Quota(-1, -1, "a", 1, UNLIMITED), new Quota(0, -1, "b", 2, UNLIMITED));
        for (int i = 0; i < 4; i++) {
            receive(gateway, "r" + i, 0, 1);
        }
        assertEquals(1, gateway.sentTo("a"));
        assertEquals(2, gateway.sentTo("b"));
        assertEquals("b", gateway.engineOf(receive(gateway, "heavy", 1, 1)));
    }

    @Test
    void startsAreLimitedUntilTheNextQuotas() {
        TestGateway gateway = createGateway();
        replaceQuotas(gateway, 0, new Quota(0, -1, null, 100, 2));
        gateway.answer(receive(gateway, "r0", 0, 1), AttemptResult.OK);
        gateway.answer(receive(gateway, "r1", 0, 1), AttemptResult.OK);
        assertEquals(0, gateway.attempts(receive(gateway, "r2", 0, 1)));
        replaceQuotas(gateway, 0, new Quota(0, -1, null, 100, 1));
        assertEquals(1, gateway.attempts("r2"));
        assertEquals(0, gateway.attempts(receive(gateway, "r3", 0, 1)));
        replaceQuotas(gateway, 0);
        assertEquals(1, gateway.attempts("r3"));
    }

    @Test
    void attemptsInFlightCountAfterQuotasChangeAndTheClientDisconnects() {
        TestGateway gateway = createGateway();
        for (int i = 0; i < 3; i++) {
            receive(gateway, "r" + i, 0, 1);
        }
        replaceQuotas(gateway, 0, new Quota(-1, 1, null, 2, UNLIMITED));
        receive(gateway, "next", 0, 1);
        gateway.handle(new ClientDisconnected("r0"));
        gateway.answer("r1", AttemptResult.OK);
        assertEquals(0, gateway.attempts("next"));
        gateway.answer("r0", AttemptResult.OK);
        assertEquals(1, gateway.attempts("next"));
    }

    @Test
    void aRetryWaitsForTheQuotaAndMayReturnToTheOnlyEngine() {
        TestGateway gateway = createGateway();
        replaceQuotas(gateway, 0, new Quota(-1, -1, "b", 0, UNLIMITED), new Quota(-1, -1, null, 9, 1));
        receive(gateway, "r", 0, 1);
        gateway.answer("r", AttemptResult.QUEUE_FULL);
        gateway.advance(350 * MILLISECOND_US); // an engine with a full queue is excluded for 300 ms
        assertEquals(1, gateway.attempts("r"));
        replaceQuotas(gateway, 0, new Quota(-1, -1, "b", 0, UNLIMITED));
        assertEquals("a", gateway.engineOf("r"));
        assertEquals(2, gateway.attempts("r"));
    }

    @Test
    void aRequestRejectedForAQuotaGetsTheFleetsRetryAfter() {
        TestGateway gateway = createGateway();
        replaceQuotas(gateway, 700 * MILLISECOND_US, new Quota(-1, 1, null, 0, UNLIMITED));
        receive(gateway, "over quota", 0, 1);
        gateway.advance(2 * SECOND_US);
        assertEquals(700 * MILLISECOND_US, retryAfterUs(gateway, "over quota"));
        replaceQuotas(gateway, 0, new Quota(-1, 1, null, 0, UNLIMITED));
        receive(gateway, "unknown", 0, 1);
        gateway.advance(2 * SECOND_US);
        assertEquals(500 * MILLISECOND_US, retryAfterUs(gateway, "unknown"));
        replaceQuotas(gateway, 9 * SECOND_US, new Quota(-1, 1, null, 0, UNLIMITED));
        receive(gateway, "long", 0, 1);
        gateway.receiveList(EngineListKind.FULL);
        receive(gateway, "other reason", 0, 2);
        gateway.advance(2 * SECOND_US);
        assertEquals(500 * MILLISECOND_US, retryAfterUs(gateway, "other reason"));
        gateway.receiveList(EngineListKind.FULL, TestGateway.engine("a"));
        receive(gateway, "longest", 0, 1);
        gateway.advance(2 * SECOND_US);
        assertEquals(SECOND_US, retryAfterUs(gateway, "longest"));
    }

    @Test
    void aRequestThatMayHaveRunIsNotRejectedForAQuota() {
        TestGateway.Spec spec = new TestGateway.Spec();
        spec.idempotency = Idempotency.WITH_KEY;
        spec.deduplicationScope = DeduplicationScope.ZONE;
        TestGateway gateway = createGateway(spec);
        receive(gateway, "r", 0, 1);
        replaceQuotas(gateway, SECOND_US, new Quota(-1, -1, null, 0, UNLIMITED));
        gateway.answer("r", AttemptResult.RESET);
        gateway.advance(5 * SECOND_US);
        assertTrue(gateway.hasFailed("r"));
        assertFalse(gateway.isRejected("r"));
    }

    @Test
    void aSheddableRequestOverQuotaIsRejected() {
        TestGateway gateway = createGateway();
        replaceQuotas(gateway, 800 * MILLISECOND_US, new Quota(0, 1, null, 0, UNLIMITED));
        gateway.handle(new RequestReceived("r", 0, null, 4 * SECOND_US, 0, 0, -1, false, true, 1));
        assertEquals(800 * MILLISECOND_US, retryAfterUs(gateway, "r"));
    }
}
