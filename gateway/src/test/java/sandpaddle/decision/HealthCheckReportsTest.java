package sandpaddle.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static sandpaddle.decision.TestGateway.MILLISECOND_US;
import static sandpaddle.decision.TestGateway.SECOND_US;

import java.util.ArrayDeque;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import sandpaddle.decision.action.SendAttempt;
import sandpaddle.decision.action.StartHealthCheck;
import sandpaddle.decision.event.AttemptResult;
import sandpaddle.decision.event.EngineEntry;
import sandpaddle.decision.event.EngineListKind;
import sandpaddle.decision.event.HealthCheckEnded;
import sandpaddle.decision.settings.LoadField;

/** Many gateways with little traffic, and engines that send load reports only in answers to health checks. */
class HealthCheckReportsTest {
    private static final int GATEWAYS = 60;
    private static final int ENGINES = 36;
    private static final int LIGHT = 0;
    private static final int HEAVY = 1; // of three threads

    private static TestGateway createGateway(int gatewayIndex, LoadField... fields) {
        TestGateway.Spec spec = new TestGateway.Spec();
        spec.gateways = GATEWAYS;
        spec.gatewayIndex = gatewayIndex;
        spec.seed = gatewayIndex;
        spec.healthChecks = true;
        spec.reportsInAnswers = false;
        spec.reportFields = List.of(fields);
        return new TestGateway(spec)
                .receiveList(
                        EngineListKind.FULL,
                        IntStream.range(0, ENGINES)
                                .mapToObj(i -> TestGateway.engine("e" + i))
                                .toArray(EngineEntry[]::new));
    }

    private static List<StartHealthCheck> healthChecks(TestGateway gateway) {
        return gateway.log.stream()
                .filter(StartHealthCheck.class::isInstance)
                .map(StartHealthCheck.class::cast)
                .toList();
    }

    private static long countSends(TestGateway gateway) {
        return gateway.log.stream().filter(SendAttempt.class::isInstance).count();
    }

    private static void answerHealthCheck(TestGateway gateway, String engine, double... load) {
        gateway.handle(new HealthCheckEnded(engine, AttemptResult.OK, 0, load));
    }

    /** Each of 60 gateways has 4.5 queries in flight on average, each of 36 engines 7.5: the true share is 1/60. */
    @Test
    void trafficSharesOfGatewaysWithFewReportsAddUpToOne() {
        double sum = 0;
        for (int gatewayIndex = 0; gatewayIndex < GATEWAYS; gatewayIndex++) {
            TestGateway gateway = createGateway(gatewayIndex, LoadField.IN_FLIGHT, LoadField.UTILIZATION);
            SplittableRandom random = new SplittableRandom(gatewayIndex);
            ArrayDeque<String> open = new ArrayDeque<>();
            int answeredChecks = 0;
            for (long at = 0; at < 8 * SECOND_US; at += 130 * MILLISECOND_US) {
                open.add(gateway.receive(LIGHT));
                if (open.size() > 4) {
                    gateway.answer(open.remove(), AttemptResult.OK);
                }
                for (StartHealthCheck p : healthChecks(gateway)
                        .subList(answeredChecks, healthChecks(gateway).size())) {
                    // reports lag behind: the first ones show an idle engine
                    double reported = at < SECOND_US ? 0 : random.nextInt(16);
                    answerHealthCheck(gateway, p.engine(), reported, 0.5);
                    answeredChecks++;
                }
                gateway.advance(130 * MILLISECOND_US);
            }
            sum += gateway.module.parts.traffic.share();
        }
        assertTrue(sum > 0.7 && sum < 1.3, "shares add up to " + sum);
    }

    /** An engine that is busy by its reported queries is not lightly loaded, whatever its reported CPU utilization. */
    @Test
    void enginesThatReportManyQueriesAreNotFilled() {
        TestGateway gateway = createGateway(0, LoadField.IN_FLIGHT, LoadField.UTILIZATION);
        for (int i = 0; i < 50; i++) {
            // half are past the knee of the latency curve, half are near it: 1.4 queries per core
            for (int e = 0; e < ENGINES; e++) {
                answerHealthCheck(gateway, "e" + e, e % 2 == 0 ? 20 : 11, 0.8);
            }
            gateway.advance(100 * MILLISECOND_US);
            gateway.receive(HEAVY);
        }
        assertTrue(countSends(gateway) >= 1 && countSends(gateway) <= 5, "sent " + countSends(gateway));
        assertEquals(0, gateway.module.parts.idleCapacity.rate(), "us of work per us for lightly loaded engines");
    }

    /**
     * Where engines report only their CPU utilization, it may be low while memory or disks are saturated. During an
     * overload, a lightly loaded engine does not let a gateway exceed its share of 2.5 threads per core: 12 threads,
     * for 36 engines of 8 cores and 60 gateways. Its limit would permit 14.4.
     */
    @Test
    void idleCoresAloneLetNoGatewayExceedItsShare() {
        TestGateway gateway = createGateway(0, LoadField.UTILIZATION);
        answerEach(gateway, 40, 100 * MILLISECOND_US);
        answerEach(gateway, 60, 600 * MILLISECOND_US); // slow answers are an overload signal
        double maxThreads = 0;
        for (int i = 0; i < 20; i++) {
            IntStream.range(0, ENGINES).forEach(e -> answerHealthCheck(gateway, "e" + e, 0.2));
            gateway.receive(HEAVY);
            maxThreads = Math.max(maxThreads, gateway.module.parts.inFlightLoad.fleetThreads());
            gateway.advance(250 * MILLISECOND_US);
        }
        assertTrue(maxThreads >= 6 && maxThreads <= 18, "threads in flight: " + maxThreads);
    }

    private static void answerEach(TestGateway gateway, int queries, long latencyUs) {
        for (int i = 0; i < queries; i++) {
            String id = gateway.receive(LIGHT);
            gateway.advance(latencyUs);
            if (gateway.attempts(id) > 0) {
                gateway.answer(id, AttemptResult.OK);
            }
        }
    }

    /** Own threads are known immediately: while few reports are fresh, they are the overload signal. */
    @Test
    void ownThreadsOverTheShareAreOverloadWhileFewReportsAreFresh() {
        TestGateway gateway = createGateway(0, LoadField.IN_FLIGHT, LoadField.UTILIZATION);
        answerHealthCheck(gateway, "e0", 1, 0.1);
        answerHealthCheck(gateway, "e1", 1, 0.1);
        for (int i = 0; i < 12; i++) {
            gateway.receive(HEAVY);
            gateway.advance(100 * MILLISECOND_US);
        }
        assertTrue(countSends(gateway) >= 2 && countSends(gateway) <= 6, "sent " + countSends(gateway));
    }
}
