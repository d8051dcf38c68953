package sandpaddle.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import sandpaddle.decision.action.RejectRequest;
import sandpaddle.decision.event.AttemptResult;
import sandpaddle.decision.event.EngineListKind;
import sandpaddle.decision.event.EngineStatus;
import sandpaddle.decision.event.RequestReceived;
import sandpaddle.decision.settings.LoadField;

/** Requests that overload control marks as sheddable, and the work sent to engines that are warming up. */
class SheddableRequestTest {
    private static final long SECOND_US = TestGateway.SECOND_US;
    private static final long MILLISECOND_US = TestGateway.MILLISECOND_US;

    private int ids;

    private String receiveSheddable(TestGateway gateway, int classIndex) {
        String id = "y" + ids++;
        gateway.handle(new RequestReceived(id, classIndex, null, 4 * SECOND_US, 0, 0, -1, false, true));
        return id;
    }

    /** A sheddable request that would be queued is rejected immediately, with a Retry-After. */
    @Test
    void aSheddableRequestIsRejectedWhereNoEngineIsLightlyLoaded() {
        TestGateway gateway = new TestGateway(new TestGateway.Spec()).receiveList(EngineListKind.FULL);
        String id = receiveSheddable(gateway, 0);
        assertTrue(gateway.isRejected(id));
        assertTrue(gateway.log.stream().anyMatch(a -> a instanceof RejectRequest r && r.retryAfterUs() > 0));
        gateway.end();
    }

    /** A lightly loaded engine runs a sheddable request, since its rejection would help no other request. */
    @Test
    void aSheddableRequestRunsWhereAnEngineIsLightlyLoaded() {
        TestGateway gateway =
                new TestGateway(new TestGateway.Spec()).receiveList(EngineListKind.FULL, TestGateway.engine("e0"));
        String id = receiveSheddable(gateway, 0);
        assertFalse(gateway.isRejected(id));
        assertEquals(1, gateway.attempts(id));
    }

    /** The capacity of an engine that is warming up is reserved for requests that are not sheddable. */
    @Test
    void aSheddableRequestIsNotSentToAnEngineThatWarmsUp() {
        TestGateway gateway = new TestGateway(new TestGateway.Spec())
                .receiveList(
                        EngineListKind.CACHED, TestGateway.engine("e0", 0, 0, 0, EngineStatus.UP, 999 * SECOND_US));
        gateway.advance(6 * SECOND_US);
        assertTrue(gateway.isRejected(receiveSheddable(gateway, 0)));
        String plain = gateway.receive(0);
        gateway.advance(200 * MILLISECOND_US);
        assertEquals("e0", gateway.engineOf(plain));
    }

    /** Returns the sends within 3 s to an engine that is warming up and reports a CPU utilization. */
    private static long sentWhileWarmingUp(double utilization) {
        TestGateway.Spec spec = new TestGateway.Spec();
        spec.reportFields = List.of(LoadField.UTILIZATION, LoadField.QUEUED);
        TestGateway gateway = new TestGateway(spec, 16)
                .receiveList(
                        EngineListKind.CACHED, TestGateway.engine("e0", 0, 0, 0, EngineStatus.UP, 999 * SECOND_US));
        List<String> open = new ArrayList<>();
        long sent = 0;
        for (int i = 0; i < 900; i++) {
            open.add(gateway.receive(0));
            gateway.advance(10 * MILLISECOND_US);
            for (String id : List.copyOf(open)) {
                if (gateway.isRejected(id)) {
                    open.remove(id);
                } else if (gateway.attempts(id) > 0 && i % 40 == 0) { // each takes 0.2 s on average
                    gateway.answer(id, AttemptResult.OK, new double[] {utilization, 0});
                    open.remove(id);
                }
            }
            sent = i == 600 ? -gateway.sentTo("e0") : sent;
        }
        return sent + gateway.sentTo("e0");
    }

    /** The rate grows while the engine reports spare resources, here up to half of the rate that would overload it. */
    @Test
    void theSlowStartRateGrowsWhileReportsShowSpareResources() {
        long lightlyLoaded = sentWhileWarmingUp(0.3);
        long busy = sentWhileWarmingUp(0.95);
        assertTrue(lightlyLoaded > 1.25 * busy, "lightly loaded " + lightlyLoaded + ", busy " + busy);
        assertTrue(busy > 0);
    }

    /**
     * A query that could overload an engine that is warming up waits for a warm engine, without blocking the other
     * requests of its class.
     */
    @Test
    void aQueryThatCouldOverloadAnEngineThatWarmsUpIsNotSentThere() {
        TestGateway gateway = new TestGateway(new TestGateway.Spec(), 1e9)
                .receiveList(
                        EngineListKind.CACHED, TestGateway.engine("e0", 0, 0, 0, EngineStatus.UP, 999 * SECOND_US));
        gateway.advance(4 * SECOND_US);
        gateway.handle(new RequestReceived("heavy", 1, null, 15 * SECOND_US, 60 * SECOND_US, 0, -1, false));
        gateway.handle(new RequestReceived("light", 1, null, 15 * SECOND_US, 100 * MILLISECOND_US, 0, -1, false));
        gateway.advance(3 * SECOND_US);
        assertEquals(0, gateway.attempts("heavy"));
        assertEquals(1, gateway.attempts("light"));
        gateway.receiveList(EngineListKind.CHANGES, TestGateway.engine("e1"));
        gateway.advance(100 * MILLISECOND_US);
        assertEquals("e1", gateway.engineOf("heavy"));
    }
}
