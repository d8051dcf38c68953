package sandpaddle.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static sandpaddle.decision.TestGateway.MILLISECOND_US;
import static sandpaddle.decision.TestGateway.SECOND_US;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import sandpaddle.decision.action.RejectRequest;
import sandpaddle.decision.event.AttemptResult;
import sandpaddle.decision.event.EngineEntry;
import sandpaddle.decision.event.EngineListKind;
import sandpaddle.decision.event.EngineStatus;
import sandpaddle.decision.settings.LoadField;

/** Extreme fleets: no engine, a single gateway, an engine without a zone, 1000 engines, engines that are replaced. */
class FleetSizeTest {
    private static TestGateway createGateway(int gateways, EngineEntry... engines) {
        TestGateway.Spec spec = new TestGateway.Spec();
        spec.gateways = gateways;
        spec.reportFields = List.of(LoadField.UTILIZATION, LoadField.QUEUED, LoadField.MEMORY);
        return new TestGateway(spec).receiveList(EngineListKind.FULL, engines);
    }

    private static long countRejections(TestGateway gateway) {
        return gateway.log.stream().filter(RejectRequest.class::isInstance).count();
    }

    @Test
    void withoutEnginesEachRequestIsRejected() {
        TestGateway gateway = createGateway(14);
        for (int i = 0; i < 50; i++) {
            gateway.receive(i % 2);
        }
        gateway.advance(4 * SECOND_US);
        assertEquals(50, countRejections(gateway));
        gateway.end();
    }

    @Test
    void aSoleGatewayHasAllOfTheTraffic() {
        TestGateway gateway = createGateway(1, TestGateway.engine("e0"), TestGateway.engine("e1"));
        for (int i = 0; i < 20; i++) {
            String id = gateway.receive(0);
            gateway.advance(50 * MILLISECOND_US);
            assertEquals(1, gateway.attempts(id));
            gateway.answer(id, AttemptResult.OK, new double[] {0.5, 0, 0.5});
        }
        gateway.end();
    }

    @Test
    void anEngineWithoutZoneIsUsedAndEjectedLikeAnyOther() {
        TestGateway gateway = createGateway(14, TestGateway.engine("e0", -1, -1, 0, EngineStatus.UP, 0));
        String id = gateway.receive(0);
        assertEquals("e0", gateway.engineOf(id));
        gateway.answer(id, AttemptResult.CONNECT_FAILED);
        gateway.advance(5 * SECOND_US);
        gateway.end();
    }

    @Test
    void aThousandEnginesAreAllUsed() {
        TestGateway gateway = createGateway(
                14,
                IntStream.range(0, 1000)
                        .mapToObj(i -> TestGateway.engine("e" + i))
                        .toArray(EngineEntry[]::new));
        Set<String> used = new HashSet<>();
        List<String> open = new ArrayList<>();
        for (int i = 0; i < 900; i++) {
            open.add(gateway.receive(0));
            gateway.advance(MILLISECOND_US);
        }
        open.forEach(id -> used.add(gateway.engineOf(id)));
        assertTrue(used.size() > 600, "used " + used.size());
        open.forEach(id -> gateway.answer(id, AttemptResult.OK, new double[] {0.2, 0, 0.1}));
        gateway.end();
    }

    /** Guards against a memory leak where engines are replaced many times. */
    @Test
    void removedEnginesAreForgotten() {
        TestGateway gateway = createGateway(14);
        for (int i = 0; i < 500; i++) {
            gateway.receiveList(
                    EngineListKind.CHANGES, TestGateway.engine("n" + i, i % 3, 0, 0, EngineStatus.UP, gateway.nowUs));
            gateway.receiveList(
                    EngineListKind.CHANGES,
                    TestGateway.engine("n" + i, i % 3, 0, 0, EngineStatus.REMOVED, gateway.nowUs));
            gateway.advance(10 * MILLISECOND_US);
        }
        assertTrue(
                gateway.module.parts.engines.all().size() <= 1,
                "known " + gateway.module.parts.engines.all().size());
    }
}
