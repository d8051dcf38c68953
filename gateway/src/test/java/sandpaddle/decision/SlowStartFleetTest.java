package sandpaddle.decision;

import static org.junit.jupiter.api.Assertions.assertTrue;
import static sandpaddle.decision.TestGateway.MILLISECOND_US;
import static sandpaddle.decision.TestGateway.SECOND_US;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import sandpaddle.decision.event.AttemptResult;
import sandpaddle.decision.event.EngineListKind;
import sandpaddle.decision.event.EngineStatus;
import sandpaddle.decision.settings.LoadField;
import sandpaddle.decision.settings.PlatformRules;

/** Slow start with many gateways, which must not overload an engine together; in virtual time, in steps of 10 ms. */
class SlowStartFleetTest {
    private static final int GATEWAYS = 14;
    private static final long STEP_US = 10 * MILLISECOND_US;

    private record Sent(long atUs, int classIndex) {}

    /** Returns what all gateways send to an engine that has just started, besides nine warm engines. */
    private static List<Sent> sentToStartedEngine(long durationUs) {
        List<TestGateway> gateways = new ArrayList<>();
        for (int gatewayIndex = 0; gatewayIndex < GATEWAYS; gatewayIndex++) {
            TestGateway.Spec spec = new TestGateway.Spec();
            spec.gateways = GATEWAYS;
            spec.gatewayIndex = gatewayIndex;
            spec.seed = gatewayIndex;
            TestGateway gateway = new TestGateway(spec);
            for (int i = 0; i < 9; i++) {
                gateway.receiveList(
                        i == 0 ? EngineListKind.CACHED : EngineListKind.CHANGES, TestGateway.engine("e" + i));
            }
            gateways.add(gateway);
        }
        long startUs = 5 * SECOND_US;
        List<Sent> sent = new ArrayList<>();
        List<List<String>> open = new ArrayList<>();
        gateways.forEach(x -> open.add(new ArrayList<>()));
        for (long t = 0; t < startUs + durationUs; t += STEP_US) {
            for (int g = 0; g < GATEWAYS; g++) {
                TestGateway gateway = gateways.get(g);
                if (t == startUs) {
                    gateway.receiveList(
                            EngineListKind.CHANGES,
                            TestGateway.engine("cold", 0, 0, 0, EngineStatus.UP, gateway.nowUs));
                }
                long step = t / STEP_US;
                if ((step + g) % 6 == 0) { // about 16 per second; one in twelve is heavy
                    int classIndex = (step / 6 + g) % 12 == 0 ? 1 : 0;
                    String id = gateway.receive(classIndex);
                    open.get(g).add(id);
                }
                gateway.advance(STEP_US);
                for (String id : List.copyOf(open.get(g))) {
                    if (gateway.attempts(id) > 0) {
                        boolean heavy = gateway.classOf(id) == 1;
                        if ("cold".equals(gateway.engineOf(id)) && isSentInThisStep(gateway, id)) {
                            sent.add(new Sent(gateway.sentAtUs(id), heavy ? 1 : 0));
                        }
                        if (gateway.nowUs - gateway.sentAtUs(id) >= (heavy ? 600 : 150) * MILLISECOND_US) {
                            open.get(g).remove(id);
                            gateway.answer(id, AttemptResult.OK, new double[] {4, 0.5});
                        }
                    }
                }
            }
        }
        return sent;
    }

    private static boolean isSentInThisStep(TestGateway gateway, String id) {
        return gateway.sentAtUs(id) >= gateway.nowUs - STEP_US && gateway.sentAtUs(id) < gateway.nowUs;
    }

    /**
     * With an equal distribution this engine would get a tenth of the work; while it warms up its capacity is from 0.3
     * of that up.
     */
    @Test
    void anEngineThatWarmsUpIsUsedFromItsStartAndNotOverloaded() {
        PlatformRules rules = new TestGateway.Spec().settings().rules();
        // latency times threads: heavy queries take 600 ms on three threads
        double[] work = {150 * MILLISECOND_US, 1800 * MILLISECOND_US};
        List<Sent> sent = sentToStartedEngine(10 * SECOND_US);
        long start = sent.stream().mapToLong(Sent::atUs).min().orElse(Long.MAX_VALUE);
        assertTrue(start < 1006 * SECOND_US, "first sent at " + start);
        for (Sent from : sent) {
            double workInWindow = sent.stream()
                    .filter(x -> x.atUs() >= from.atUs() && x.atUs() < from.atUs() + rules.overloadWindowUs())
                    .mapToDouble(x -> work[x.classIndex()])
                    .sum();
            double capacity = 8
                    * (rules.slowStartFrom()
                            + (1 - rules.slowStartFrom()) * (from.atUs() - 1005 * SECOND_US) / rules.slowStartUs());
            assertTrue(
                    workInWindow < rules.overloadMultiple() * capacity * rules.overloadWindowUs(),
                    "sent " + workInWindow + " at " + from.atUs());
        }
        double sentWork = sent.stream().mapToDouble(x -> work[x.classIndex()]).sum();
        double offeredWork = GATEWAYS * 10 * (1e6 / (6 * STEP_US)) * (work[0] * 11 + work[1]) / 12;
        assertTrue(sentWork > 0.2 * offeredWork / 10, "sent " + sentWork / 1e6 + " s of " + offeredWork / 10 / 1e6);
    }

    private static List<TestGateway> createGatewaysOfThirtyEngines() {
        List<TestGateway> gateways = new ArrayList<>();
        for (int gatewayIndex = 0; gatewayIndex < GATEWAYS; gatewayIndex++) {
            TestGateway.Spec spec = new TestGateway.Spec();
            spec.gateways = GATEWAYS;
            spec.gatewayIndex = gatewayIndex;
            spec.seed = gatewayIndex;
            spec.reportFields = List.of(LoadField.UTILIZATION, LoadField.QUEUED, LoadField.MEMORY);
            TestGateway gateway = new TestGateway(spec);
            for (int i = 0; i < 30; i++) {
                gateway.receiveList(
                        i == 0 ? EngineListKind.CACHED : EngineListKind.CHANGES,
                        TestGateway.engine("e" + i, i % 3, 0, 0, EngineStatus.UP, 0));
            }
            gateways.add(gateway);
        }
        return gateways;
    }

    private static boolean isInUnreachableZone(String engine) {
        return Integer.parseInt(engine.substring(1)) % 3 == 1;
    }

    /**
     * Ends attempts whose time has passed; those sent to the zone while it is unreachable end as failed connections.
     */
    private static void endDueAttempts(
            TestGateway gateway, List<String> open, long unreachableFromUs, long reachableFromUs) {
        for (String id : List.copyOf(open)) {
            if (gateway.engineOf(id) == null) {
                continue;
            }
            boolean inZone = isInUnreachableZone(gateway.engineOf(id));
            boolean unreachable =
                    inZone && gateway.sentAtUs(id) >= unreachableFromUs && gateway.sentAtUs(id) < reachableFromUs;
            boolean overloaded = gateway.nowUs > unreachableFromUs && !inZone;
            long durationUs = unreachable
                    ? 250 * MILLISECOND_US
                    : (gateway.classOf(id) == 1 ? 600 : 150) * MILLISECOND_US * (overloaded ? 4 : 1);
            if (gateway.nowUs - gateway.sentAtUs(id) >= durationUs && unreachable) {
                gateway.answer(id, AttemptResult.CONNECT_FAILED);
            } else if (gateway.nowUs - gateway.sentAtUs(id) >= durationUs) {
                open.remove(id);
                gateway.answer(id, AttemptResult.OK, overloaded ? new double[] {1, 9, 1} : new double[] {0.3, 0, 0.2});
            }
        }
    }

    /**
     * A zone is unreachable for 5 s while the others are overloaded, and its engines have restarted before the list
     * states it. Returns the most work that all gateways send to one of its engines within an overload window, as a
     * fraction of the work that would overload it.
     */
    private static double maxFractionSentToRestartedEngine() {
        List<TestGateway> gateways = createGatewaysOfThirtyEngines();
        long unreachableFromUs = gateways.get(0).nowUs + 5 * SECOND_US;
        long reachableFromUs = unreachableFromUs + 5 * SECOND_US;
        Map<String, List<Sent>> sent = new HashMap<>();
        List<List<String>> open = new ArrayList<>();
        gateways.forEach(x -> open.add(new ArrayList<>()));
        for (long step = 0; step < 13 * SECOND_US / STEP_US; step++) {
            for (int g = 0; g < GATEWAYS; g++) {
                TestGateway gateway = gateways.get(g);
                if ((step + g) % 4 == 0) { // 25 per second; one in six is heavy
                    open.get(g).add(gateway.receive((step / 4 + g) % 6 == 0 ? 1 : 0));
                }
                gateway.advance(STEP_US);
                for (String id : open.get(g)) {
                    String e = gateway.engineOf(id);
                    if (e != null
                            && isSentInThisStep(gateway, id)
                            && isInUnreachableZone(e)
                            && gateway.sentAtUs(id) >= reachableFromUs) {
                        sent.computeIfAbsent(e, x -> new ArrayList<>())
                                .add(new Sent(gateway.sentAtUs(id), gateway.classOf(id)));
                    }
                }
                endDueAttempts(gateway, open.get(g), unreachableFromUs, reachableFromUs);
            }
        }
        double[] work = {150 * MILLISECOND_US, 1800 * MILLISECOND_US};
        PlatformRules rules = gateways.get(0).settings.rules();
        double maxFraction = 0;
        for (List<Sent> list : sent.values()) {
            for (Sent from : list) {
                double workInWindow = list.stream()
                        .filter(x -> x.atUs() >= from.atUs() && x.atUs() < from.atUs() + rules.overloadWindowUs())
                        .mapToDouble(x -> work[x.classIndex()])
                        .sum();
                double capacity = 8
                        * (rules.slowStartFrom()
                                + (1 - rules.slowStartFrom()) * (from.atUs() - reachableFromUs) / rules.slowStartUs());
                maxFraction = Math.max(
                        maxFraction, workInWindow / (rules.overloadMultiple() * capacity * rules.overloadWindowUs()));
            }
        }
        return maxFraction;
    }

    /** Protects an engine from all gateways sending it work at once before the list states its restart. */
    @Test
    void anEngineThatWasUnreachableIsNotOverloadedAfterwards() {
        double maxFraction = maxFractionSentToRestartedEngine();
        assertTrue(
                maxFraction > 0 && maxFraction < 1,
                "sent a fraction of " + maxFraction + " of the work that overloads it");
    }
}
