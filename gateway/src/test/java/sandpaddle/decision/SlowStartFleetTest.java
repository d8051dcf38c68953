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

/** What one gateway may do and many must not: many modules beside each other in virtual time, by turns of 10 ms. */
class SlowStartFleetTest {
    private static final int GATEWAYS = 14;
    private static final long TURN = 10 * MILLISECOND_US;

    private record Sent(long at, int cls) {}

    /** What all gateways send to an engine that has just started, beside nine warm ones, in its first seconds. */
    private static List<Sent> sentToColdEngine(long us) {
        List<TestGateway> sites = new ArrayList<>();
        for (int me = 0; me < GATEWAYS; me++) {
            TestGateway.Spec spec = new TestGateway.Spec();
            spec.gateways = GATEWAYS;
            spec.gatewayIndex = me;
            spec.seed = me;
            TestGateway gateway = new TestGateway(spec);
            for (int i = 0; i < 9; i++) {
                gateway.receiveList(
                        i == 0 ? EngineListKind.CACHED : EngineListKind.CHANGES, TestGateway.engine("e" + i));
            }
            sites.add(gateway);
        }
        long warm = 5 * SECOND_US;
        List<Sent> sent = new ArrayList<>();
        List<List<String>> open = new ArrayList<>();
        sites.forEach(x -> open.add(new ArrayList<>()));
        for (long t = 0; t < warm + us; t += TURN) {
            for (int g = 0; g < GATEWAYS; g++) {
                TestGateway gateway = sites.get(g);
                if (t == warm) {
                    gateway.receiveList(
                            EngineListKind.CHANGES,
                            TestGateway.engine("cold", 0, 0, 0, EngineStatus.UP, gateway.nowUs));
                }
                long turn = t / TURN;
                if ((turn + g) % 6 == 0) { // some 16 a second; one in twelve is heavy
                    int cls = (turn / 6 + g) % 12 == 0 ? 1 : 0;
                    String id = gateway.receive(cls);
                    open.get(g).add(id);
                }
                gateway.advance(TURN);
                for (String id : List.copyOf(open.get(g))) {
                    if (gateway.attempts(id) > 0) {
                        boolean heavy = gateway.classOf(id) == 1;
                        if ("cold".equals(gateway.engineOf(id)) && sentNow(gateway, id)) {
                            sent.add(new Sent(gateway.sentAt(id), heavy ? 1 : 0));
                        }
                        if (gateway.nowUs - gateway.sentAt(id) >= (heavy ? 600 : 150) * MILLISECOND_US) {
                            open.get(g).remove(id);
                            gateway.answer(id, AttemptResult.OK, new double[] {4, 0.5});
                        }
                    }
                }
            }
        }
        return sent;
    }

    private static boolean sentNow(TestGateway gateway, String id) {
        return gateway.sentAt(id) >= gateway.nowUs - TURN && gateway.sentAt(id) < gateway.nowUs;
    }

    /**
     * Sent to all engines alike, this engine would get a tenth of it; while it warms up it can do 0.3 of that and more.
     */
    @Test
    void anEngineThatWarmsUpIsUsedFromItsStartAndNotOverloaded() {
        PlatformRules rules = new TestGateway.Spec().settings().rules();
        double[] work = {150 * MILLISECOND_US, 1800 * MILLISECOND_US
        }; // by answers: heavy ones take 600 ms on three threads
        List<Sent> sent = sentToColdEngine(10 * SECOND_US);
        long start = sent.stream().mapToLong(Sent::at).min().orElse(Long.MAX_VALUE);
        assertTrue(start < 1006 * SECOND_US, "first sent at " + start);
        for (Sent from : sent) {
            double inSpan = sent.stream()
                    .filter(x -> x.at() >= from.at() && x.at() < from.at() + rules.overloadWindowUs())
                    .mapToDouble(x -> work[x.cls()])
                    .sum();
            double able = 8
                    * (rules.slowStartFrom()
                            + (1 - rules.slowStartFrom()) * (from.at() - 1005 * SECOND_US) / rules.slowStartUs());
            assertTrue(
                    inSpan < rules.overloadMultiple() * able * rules.overloadWindowUs(),
                    "sent " + inSpan + " at " + from.at());
        }
        double all = sent.stream().mapToDouble(x -> work[x.cls()]).sum();
        double taken = GATEWAYS * 10 * (1e6 / (6 * TURN)) * (work[0] * 11 + work[1]) / 12;
        assertTrue(all > 0.2 * taken / 10, "sent " + all / 1e6 + " s of " + taken / 10 / 1e6);
    }

    private static List<TestGateway> sitesOfThirtyEngines() {
        List<TestGateway> sites = new ArrayList<>();
        for (int me = 0; me < GATEWAYS; me++) {
            TestGateway.Spec spec = new TestGateway.Spec();
            spec.gateways = GATEWAYS;
            spec.gatewayIndex = me;
            spec.seed = me;
            spec.reportFields = List.of(LoadField.UTILIZATION, LoadField.QUEUED, LoadField.MEMORY);
            TestGateway gateway = new TestGateway(spec);
            for (int i = 0; i < 30; i++) {
                gateway.receiveList(
                        i == 0 ? EngineListKind.CACHED : EngineListKind.CHANGES,
                        TestGateway.engine("e" + i, i % 3, 0, 0, EngineStatus.UP, 0));
            }
            sites.add(gateway);
        }
        return sites;
    }

    private static boolean isOfLostZone(String engine) {
        return Integer.parseInt(engine.substring(1)) % 3 == 1;
    }

    /** Ends what has run its time; what was sent into the zone while it is away could not connect. */
    private static void play(TestGateway gateway, List<String> open, long lost, long back) {
        for (String id : List.copyOf(open)) {
            if (gateway.engineOf(id) == null) {
                continue;
            }
            boolean ofZone = isOfLostZone(gateway.engineOf(id));
            boolean away = ofZone && gateway.sentAt(id) >= lost && gateway.sentAt(id) < back;
            boolean jam = gateway.nowUs > lost && !ofZone;
            long runs = away
                    ? 250 * MILLISECOND_US
                    : (gateway.classOf(id) == 1 ? 600 : 150) * MILLISECOND_US * (jam ? 4 : 1);
            if (gateway.nowUs - gateway.sentAt(id) >= runs && away) {
                gateway.answer(id, AttemptResult.CONNECT_FAILED);
            } else if (gateway.nowUs - gateway.sentAt(id) >= runs) {
                open.remove(id);
                gateway.answer(id, AttemptResult.OK, jam ? new double[] {1, 9, 1} : new double[] {0.3, 0, 0.2});
            }
        }
    }

    /**
     * A zone is out of reach for 5 s while the others are overloaded, and is back before the list states it. The most
     * work that all gateways send to one engine of it in the span over which overload is counted, over the work that
     * overloads it.
     */
    private static double mostSentToOneThatIsBack() {
        List<TestGateway> sites = sitesOfThirtyEngines();
        long lost = sites.get(0).nowUs + 5 * SECOND_US;
        long back = lost + 5 * SECOND_US;
        Map<String, List<Sent>> sent = new HashMap<>();
        List<List<String>> open = new ArrayList<>();
        sites.forEach(x -> open.add(new ArrayList<>()));
        for (long turn = 0; turn < 13 * SECOND_US / TURN; turn++) {
            for (int g = 0; g < GATEWAYS; g++) {
                TestGateway gateway = sites.get(g);
                if ((turn + g) % 4 == 0) { // 25 a second; one in six is heavy
                    open.get(g).add(gateway.receive((turn / 4 + g) % 6 == 0 ? 1 : 0));
                }
                gateway.advance(TURN);
                for (String id : open.get(g)) {
                    String e = gateway.engineOf(id);
                    if (e != null && sentNow(gateway, id) && isOfLostZone(e) && gateway.sentAt(id) >= back) {
                        sent.computeIfAbsent(e, x -> new ArrayList<>())
                                .add(new Sent(gateway.sentAt(id), gateway.classOf(id)));
                    }
                }
                play(gateway, open.get(g), lost, back);
            }
        }
        double[] work = {150 * MILLISECOND_US, 1800 * MILLISECOND_US};
        PlatformRules rules = sites.get(0).settings.rules();
        double most = 0;
        for (List<Sent> list : sent.values()) {
            for (Sent from : list) {
                double inSpan = list.stream()
                        .filter(x -> x.at() >= from.at() && x.at() < from.at() + rules.overloadWindowUs())
                        .mapToDouble(x -> work[x.cls()])
                        .sum();
                double able = 8
                        * (rules.slowStartFrom()
                                + (1 - rules.slowStartFrom()) * (from.at() - back) / rules.slowStartUs());
                most = Math.max(most, inSpan / (rules.overloadMultiple() * able * rules.overloadWindowUs()));
            }
        }
        return most;
    }

    /** Protects against all gateways filling an engine at once whose restart they have not received. */
    @Test
    void engineThatWasUnreachableIsNotOverloadedWhenItIsBack() {
        double most = mostSentToOneThatIsBack();
        assertTrue(most > 0 && most < 1, "sent " + most + " of what fells it");
    }
}
