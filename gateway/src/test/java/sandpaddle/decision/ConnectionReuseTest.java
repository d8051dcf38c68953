package sandpaddle.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static sandpaddle.decision.TestGateway.MILLISECOND_US;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import sandpaddle.decision.event.AttemptResult;
import sandpaddle.decision.event.EngineListKind;
import sandpaddle.decision.event.EngineStatus;
import sandpaddle.decision.settings.LoadField;

/** Where handshakes have a cost, each gateway reuses connections to few engines, and all together use all engines. */
class ConnectionReuseTest {
    private static final int ENGINES = 40;
    private static final int GATEWAYS = 100;

    private static TestGateway createGateway(int gatewayIndex, double handshake) {
        TestGateway.Spec spec = new TestGateway.Spec();
        spec.gateways = GATEWAYS;
        spec.gatewayIndex = gatewayIndex;
        spec.handshake = handshake;
        spec.reportFields = List.of(LoadField.UTILIZATION, LoadField.QUEUED, LoadField.MEMORY);
        TestGateway gateway = new TestGateway(spec);
        for (int e = 0; e < ENGINES; e++) {
            gateway.receiveList(EngineListKind.CHANGES, TestGateway.engine("e" + e));
        }
        return gateway;
    }

    /** Sends queries, a few of them concurrently, and returns the engines that they were sent to. */
    private static Set<String> enginesUsed(TestGateway gateway, int queries, int concurrency) {
        Set<String> used = new HashSet<>();
        for (int i = 0; i < queries; i += concurrency) {
            List<String> ids = IntStream.range(0, concurrency)
                    .mapToObj(k -> gateway.receive(0))
                    .toList();
            ids.forEach(id -> used.add(gateway.engineOf(id)));
            gateway.advance(300 * MILLISECOND_US);
            ids.forEach(id -> gateway.answer(id, AttemptResult.OK));
        }
        return used;
    }

    @Test
    void fewEnginesAreUsedWhereHandshakesHaveACost() {
        assertTrue(enginesUsed(createGateway(3, 0.05), 120, 1).size() <= 6);
        assertTrue(
                enginesUsed(createGateway(3, 0.05), 120, 3).size() <= 8, "busy engines are replaced by the next ones");
        assertTrue(enginesUsed(createGateway(3, 0), 120, 1).size() > 30, "no limit where handshakes have no cost");
    }

    @Test
    void aRemovedEngineIsReplacedByTheNextOne() {
        TestGateway gateway = createGateway(3, 0.05);
        Set<String> before = enginesUsed(gateway, 60, 1);
        String removed = before.iterator().next();
        gateway.receiveList(EngineListKind.CHANGES, TestGateway.engine(removed, 0, 0, 0, EngineStatus.REMOVED, 0));
        Set<String> after = enginesUsed(gateway, 60, 1);
        before.remove(removed);
        assertTrue(after.containsAll(before) && after.size() == before.size() + 1, before + " and then " + after);
    }

    /** Guards against all gateways preferring the same engines, which would then get all the load. */
    @Test
    void allGatewaysTogetherUseAllEnginesEvenly() {
        Map<String, Integer> gateways = new HashMap<>();
        for (int gatewayIndex = 0; gatewayIndex < GATEWAYS; gatewayIndex++) {
            enginesUsed(createGateway(gatewayIndex, 0.05), 60, 1).forEach(e -> gateways.merge(e, 1, Integer::sum));
        }
        int equal = GATEWAYS * 6 / ENGINES;
        assertEquals(gateways.size(), ENGINES);
        assertTrue(gateways.values().stream().allMatch(n -> n >= equal / 2 && n <= 2 * equal), gateways.toString());
    }
}
