package sandpaddle.integration;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static sandpaddle.integration.ScriptedEngine.NO_RESPONSE;
import static sandpaddle.integration.ScriptedEngine.ok;
import static sandpaddle.integration.ScriptedEngine.response;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.stream.Stream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * A gateway process whose wall clock is set forward or back while it serves: deadlines, deduplication windows, waits
 * and graces are spans of real time.
 */
public class WallClockStepIntegrationTest {
    private static final String SQL = "SELECT 1";
    private static final String DECLINED = response(503, "X-Declined: 1\r\n", "");
    private static final String ERROR = response(500, "", "");

    /** An engine drops a query that nobody asks for in this time. */
    private static final Duration FORGOTTEN_AFTER = Duration.ofSeconds(2);

    /** A final answer that comes later than this after the deadline is a lost request. */
    private static final Duration MAX_LATENESS = Duration.ofMillis(500);

    /** N + 2 x root of N + 2, where N queries of 200 ms of work are 4 times what 0.3 of 8 cores do in a second: 48. */
    private static final int MAX_ATTEMPTS_ON_STARTED_ENGINE = 63;

    private static final int CLIENTS = 60;

    static final String SETTINGS = GatewayFixture.SETTINGS
            .replace("\"classes\":[", """
            "classes":[{"name":"window","aim_us":4000000,"effect":"keyed","key_scope":"all","window_us":400000,
            "hard_limit_us":20000000,"value":3.0},""")
            .replace("\"class_threads\":[", "\"class_threads\":[1,");

    /** Returns a configuration with the given initial endpoint list event and settings. */
    static String config(ScriptedFeed feed, String event, String settings) {
        return """
                {"name":"n0","listen":"127.0.0.1:0","seed":"00000000000000aa",
                "limits":{"cores":1.0,"memory_mb":144,"sockets":512},"feed":"127.0.0.1:%d",
                "known":{"events":[%s]},"settings":%s}""".formatted(feed.port(), event, settings);
    }

    /** A gateway process with two engines that run the same script, and a wall clock to set. */
    private static final class Fixture implements AutoCloseable {
        private final SteppedWallClock clock = new SteppedWallClock();
        private final ScriptedFeed feed = new ScriptedFeed();
        private final List<Long> postsNs = new CopyOnWriteArrayList<>();
        private final ScriptedEngine first;
        private final ScriptedEngine second;
        private final GatewayProcess process;
        private final Client client;

        Fixture(Function<ScriptedEngine.Call, String> script) throws IOException, InterruptedException {
            first = new ScriptedEngine(call -> respond(call, script));
            second = new ScriptedEngine(call -> respond(call, script));
            String hosts = GatewayFixture.host("e0", first, "Ready") + "," + GatewayFixture.host("e1", second, "Ready");
            process = GatewayProcess.startWithWallClock(
                    config(feed, GatewayFixture.event(1, true, hosts), SETTINGS), clock);
            client = Client.connect(process.address());
        }

        private String respond(ScriptedEngine.Call call, Function<ScriptedEngine.Call, String> script) {
            if (call.is("POST")) {
                postsNs.add(System.nanoTime());
            }
            return script.apply(call);
        }

        String execute(String route, int timeoutMs) throws IOException {
            return client.execute(GatewayFixture.queryComment(route, 1, timeoutMs) + SQL);
        }

        boolean isFirstPost(ScriptedEngine.Call call) {
            return call.is("POST") && postsNs.size() == 1;
        }

        @Override
        public void close() throws IOException, InterruptedException {
            client.close();
            process.close();
            feed.close();
            first.close();
            second.close();
            clock.close();
        }
    }

    /** Steps of the wall clock. */
    @DataProvider
    public Object[][] steps() {
        return Stream.of(Duration.ofSeconds(3), Duration.ofHours(1), Duration.ofSeconds(-3), Duration.ofHours(-1))
                .map(step -> new Object[] {step})
                .toArray(Object[][]::new);
    }

    private static void await(Duration span) {
        try {
            new CountDownLatch(1).await(span.toMillis(), TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static Duration elapsedSince(long startedNs) {
        return Duration.ofNanos(System.nanoTime() - startedNs);
    }

    /** Incident a0ca6c: the engine still runs the first attempt, and declines connections for a moment. */
    @Test
    public void retryIsNotSentWhileItsFirstAttemptRunsWhenWallClockIsSetForward() throws Exception {
        Fixture[] fixture = new Fixture[1];
        Function<ScriptedEngine.Call, String> script = call -> {
            if (!call.is("POST")) {
                return DECLINED;
            }
            if (!fixture[0].isFirstPost(call)) {
                return ok("2nd\t\t\n");
            }
            fixture[0].clock.set(Duration.ofSeconds(3));
            return NO_RESPONSE;
        };
        try (Fixture running = new Fixture(script)) {
            fixture[0] = running;
            assertEquals(running.execute("lookup", 7500), "2nd||");
            Duration apart = Duration.ofNanos(running.postsNs.get(1) - running.postsNs.get(0));
            assertTrue(apart.compareTo(FORGOTTEN_AFTER) >= 0, "second attempt after " + apart);
        }
    }

    @Test(dataProvider = "steps")
    public void keyedRequestIsNotRetriedAfterItsDeduplicationWindowWhenWallClockIsSet(Duration step) throws Exception {
        Fixture[] fixture = new Fixture[1];
        Function<ScriptedEngine.Call, String> script = call -> {
            if (call.is("POST") && !fixture[0].isFirstPost(call)) {
                return ok("2nd\t\t\n");
            }
            if (call.is("POST")) {
                fixture[0].clock.set(step);
                await(Duration.ofSeconds(1));
            }
            return ERROR;
        };
        try (Fixture running = new Fixture(script)) {
            fixture[0] = running;
            String answer = running.execute("window", 7500);
            assertEquals(running.postsNs.size(), 1, "attempts; answer: " + answer);
        }
    }

    @Test(dataProvider = "steps")
    public void requestIsAnsweredAtItsDeadlineWhenWallClockIsSet(Duration step) throws Exception {
        Duration timeout = Duration.ofMillis(1200);
        Fixture[] fixture = new Fixture[1];
        Function<ScriptedEngine.Call, String> script = call -> {
            if (call.is("POST")) {
                fixture[0].clock.set(step);
            }
            return NO_RESPONSE;
        };
        try (Fixture running = new Fixture(script)) {
            fixture[0] = running;
            long startedNs = System.nanoTime();
            running.execute("load", (int) timeout.toMillis());
            Duration elapsed = elapsedSince(startedNs);
            assertTrue(elapsed.compareTo(timeout.plus(MAX_LATENESS)) < 0, "answered after " + elapsed);
        }
    }

    @Test(dataProvider = "steps")
    public void requestIsNotGivenUpBeforeItsDeadlineWhenWallClockIsSet(Duration step) throws Exception {
        Fixture[] fixture = new Fixture[1];
        Function<ScriptedEngine.Call, String> script = call -> {
            fixture[0].clock.set(step);
            await(Duration.ofMillis(300));
            return ok("1st\t\t\n");
        };
        try (Fixture running = new Fixture(script)) {
            fixture[0] = running;
            assertEquals(running.execute("load", 2500), "1st||");
            assertEquals(running.postsNs.size(), 1, "attempts");
        }
    }

    @Test(dataProvider = "steps")
    public void openRequestIsAnsweredDuringShutdownWhenWallClockIsSet(Duration step) throws Exception {
        Fixture[] fixture = new Fixture[1];
        Function<ScriptedEngine.Call, String> script = call -> {
            try {
                fixture[0].process.signal("TERM");
                fixture[0].process.awaitLogLine("shutdown requested");
            } catch (IOException | InterruptedException e) {
                throw new IllegalStateException(e);
            }
            fixture[0].clock.set(step);
            await(Duration.ofMillis(300));
            return ok("1st\t\t\n");
        };
        try (Fixture running = new Fixture(script)) {
            fixture[0] = running;
            assertEquals(running.execute("load", 2500), "1st||");
        }
    }

    @Test(dataProvider = "steps")
    public void processEndsBeforeItIsKilledWhenWallClockIsSetDuringShutdown(Duration step) throws Exception {
        Duration killedAfter = Duration.ofMillis(3700);
        try (Fixture running = new Fixture(call -> NO_RESPONSE)) {
            running.client.write(Client.query(GatewayFixture.queryComment("load", 1, 20000) + SQL));
            running.process.signal("TERM");
            running.process.awaitLogLine("shutdown requested");
            long startedNs = System.nanoTime();
            running.clock.set(step);
            running.process.terminate();
            Duration elapsed = elapsedSince(startedNs);
            assertTrue(elapsed.compareTo(killedAfter) < 0, "ended after " + elapsed);
        }
    }

    @Test(dataProvider = "steps")
    public void stepOfTheWallClockIsLogged(Duration step) throws Exception {
        try (Fixture running = new Fixture(call -> NO_RESPONSE)) {
            running.clock.set(step);
            running.process.awaitLogLine("wall clock was set by_ms=" + (step.isNegative() ? "-" : ""));
        }
    }

    /** The gateway starts on a machine whose wall clock is wrong, with an engine that has started just before. */
    @Test(dataProvider = "steps")
    public void startedEngineIsNotOverloadedWhenWallClockIsWrongFromTheStart(Duration error) throws Exception {
        try (SteppedWallClock clock = new SteppedWallClock();
                ScriptedFeed feed = new ScriptedFeed();
                ScriptedEngine engine = new ScriptedEngine(call -> ok("1st\t\t\n"))) {
            clock.set(error);
            String host = GatewayFixture.host("e0", engine, "Ready", System.currentTimeMillis());
            try (GatewayProcess process = GatewayProcess.startWithWallClock(
                    config(feed, GatewayFixture.event(1, true, host), SETTINGS), clock)) {
                for (int i = 0; i < CLIENTS; i++) {
                    Client client = Client.connect(process.address());
                    int number = i;
                    ScriptedEngine.daemon(() -> sendQueries(client, number));
                }
                await(Duration.ofSeconds(1));
                long attempts = engine.count("POST");
                assertTrue(attempts > 0 && attempts <= MAX_ATTEMPTS_ON_STARTED_ENGINE, attempts + " attempts");
            }
        }
    }

    /** Sends queries of 200 ms of work, one after the other, until the gateway ends the connection. */
    private static void sendQueries(Client client, int clientNumber) {
        try (client) {
            for (int i = 0; ; i++) {
                String comment = GatewayFixture.queryComment("lookup", clientNumber << 16 | i, 2000);
                client.execute(comment.replace("weight=20.0", "weight=200.0") + SQL);
            }
        } catch (IOException e) {
            // the gateway was ended by the test
        }
    }
}
