package sandpaddle.integration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;
import sandpaddle.config.GatewayConfig;
import sandpaddle.decision.DefaultDecisionModule;
import sandpaddle.dispatch.Dispatcher;
import sandpaddle.engineclient.HttpEngineClient;
import sandpaddle.eventloop.EventLoop;
import sandpaddle.eventloop.MonotonicTimeSource;
import sandpaddle.query.Answer;
import sandpaddle.query.Query;

/**
 * Property tests of at-most-once execution under random network faults: a load runs at most once, a rejected load has
 * not run, and each query is answered once, in time. The decision module, dispatcher and engine client are the real
 * ones, in virtual time.
 */
class AtMostOnceProperties {
    private static final Duration STEP = Duration.ofMillis(10);
    private static final Duration ANSWER_TOLERANCE = Duration.ofMillis(50);
    private static final int QUERY_COUNT = 90;
    private static final int CLOSED_PORT = 1; // connections are refused

    private static final class VirtualClock implements MonotonicTimeSource {
        private Instant now = Instant.parse("2026-01-01T00:00:00Z");

        @Override
        public Instant instant() {
            return now;
        }
    }

    private static final class SubmittedQuery {
        private final Query query;
        private final Instant deadline;
        private final List<Answer> answers = new ArrayList<>();
        private Instant answeredAt;

        SubmittedQuery(Query query, Instant deadline) {
            this.query = query;
            this.deadline = deadline;
        }
    }

    /**
     * Simulates 30 s in steps of 10 ms.
     *
     * @param seed of all random choices
     * @param faultRates of each engine
     * @param runCounts receives the number of runs by trace id
     * @return the submitted queries
     */
    private static List<SubmittedQuery> simulate(
            long seed, RandomEngine.FaultRates faultRates, Map<String, Integer> runCounts) throws Exception {
        SplittableRandom random = new SplittableRandom(seed);
        VirtualClock clock = new VirtualClock();
        EventLoop loop = new EventLoop(clock);
        List<RandomEngine> engines = new ArrayList<>();
        StringBuilder hosts = new StringBuilder(host("gone", CLOSED_PORT));
        for (int i = 0; i < 3; i++) {
            RandomEngine e = new RandomEngine(random.split(), faultRates, runCounts);
            engines.add(e);
            hosts.append(',').append(host("e" + i, e.port()));
        }
        GatewayConfig config = GatewayFixture.config(CLOSED_PORT, GatewayFixture.event(1, true, hosts.toString()));
        HttpEngineClient engineClient =
                new HttpEngineClient(loop, config.connectTimeout(), config.engineIdleTimeout(), 60);
        Dispatcher dispatcher = new Dispatcher(
                loop,
                new DefaultDecisionModule(config.decisionSettings(), seed),
                config.decisionSettings(),
                config.names(),
                engineClient,
                seed);
        config.initialListEvents().forEach(dispatcher::endpointListReceived);
        List<SubmittedQuery> submitted = new ArrayList<>();
        try {
            for (int step = 0; step < 3000; step++) {
                if (submitted.size() < QUERY_COUNT && random.nextInt(10) == 0) {
                    submitRandomQuery(dispatcher, clock, random, submitted);
                }
                loop.runTurn(dispatcher::processEvents, Duration.ZERO);
                for (RandomEngine e : engines) {
                    e.step(clock.now, STEP);
                }
                loop.runTurn(dispatcher::processEvents, Duration.ZERO);
                clock.now = clock.now.plus(STEP);
            }
        } finally {
            for (RandomEngine e : engines) {
                e.close();
            }
        }
        return submitted;
    }

    private static String host(String id, int port) {
        return "{\"host\":\"%s\",\"dial\":\"127.0.0.1:%d\",\"site\":\"east\",\"class\":\"std\",\"health\":\"Ready\"}"
                .formatted(id, port);
    }

    private static void submitRandomQuery(
            Dispatcher dispatcher, VirtualClock clock, SplittableRandom random, List<SubmittedQuery> submitted) {
        Duration timeout = Duration.ofMillis(2000 + random.nextInt(5000));
        Query query = new Query(
                random.nextInt(3) == 0 ? "lookup" : "load",
                "%016x".formatted(submitted.size() + 1),
                timeout,
                Duration.ofMillis(400),
                8,
                -1,
                "SELECT 1".getBytes(StandardCharsets.UTF_8));
        SubmittedQuery entry = new SubmittedQuery(query, clock.now.plus(timeout));
        submitted.add(entry);
        dispatcher.submit(query, answer -> {
            entry.answers.add(answer);
            entry.answeredAt = clock.now;
        });
    }

    private static void assertAtMostOnce(List<SubmittedQuery> submitted, Map<String, Integer> runCounts) {
        for (SubmittedQuery entry : submitted) {
            String description = entry.query.route() + " " + entry.query.traceId() + ": " + entry.answers + ", ran "
                    + runCounts.getOrDefault(entry.query.traceId(), 0) + " times";
            assertEquals(1, entry.answers.size(), description);
            assertFalse(entry.answeredAt.isAfter(entry.deadline.plus(ANSWER_TOLERANCE)), description);
            if (entry.query.route().equals("load")) {
                int ran = runCounts.getOrDefault(entry.query.traceId(), 0);
                assertTrue(ran <= 1, description);
                assertTrue(ran == 0 || !(entry.answers.get(0) instanceof Answer.Rejected), description);
            }
        }
    }

    @Property(seed = "18", tries = 120)
    void runsLoadsAtMostOnceUnderRandomFaults(@ForAll @LongRange(min = 0, max = 1L << 40) long seed) throws Exception {
        SplittableRandom r = new SplittableRandom(seed);
        Map<String, Integer> runCounts = new HashMap<>();
        assertAtMostOnce(
                simulate(
                        seed,
                        new RandomEngine.FaultRates(
                                r.nextInt(400),
                                r.nextInt(150),
                                r.nextInt(60),
                                r.nextInt(200),
                                r.nextInt(100),
                                r.nextInt(150),
                                r.nextInt(12)),
                        runCounts),
                runCounts);
    }

    /**
     * Guards against safety at the cost of availability: attempts that were declined, or refused while connecting,
     * are retried on another engine.
     */
    @Test
    void retriesAttemptsThatNeverRanOnOtherEngines() throws Exception {
        Map<String, Integer> runCounts = new HashMap<>();
        List<SubmittedQuery> submitted = simulate(3, new RandomEngine.FaultRates(150, 100, 0, 0, 0, 0, 0), runCounts);
        assertAtMostOnce(submitted, runCounts);
        long served = submitted.stream()
                .filter(entry -> entry.answers.get(0) instanceof Answer.Served)
                .count();
        assertTrue(served > 0.95 * QUERY_COUNT, "served " + served + " of " + QUERY_COUNT);
    }
}
