package sandpaddle.integration;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static sandpaddle.integration.ScriptedEngine.ok;
import static sandpaddle.integration.ScriptedEngine.response;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.testng.annotations.Test;
import sandpaddle.config.OperatorFile;

/** Deduplication of loads by run name, and Retry-After advice during a retry storm, on whole gateways. */
public class RetryStormIntegrationTest {
    private static final String SQL = "INSERT INTO sales_17.orders SELECT 1";
    private static final String STILL_RUNNING = response(202, "", "");
    private static final String ROW = "a\tb\tc\n";

    private static String loadQuery(int trace, String extraFields) {
        return GatewayFixture.queryComment("load", trace, 5000).replace(" */", extraFields + " */") + SQL;
    }

    private static OperatorFile loadDeduplicationEnabled() throws OperatorFile.InvalidFileException {
        return GatewayFixture.operatorFile("{\"storm\": {\"loads\": {\"enabled\": true}}}");
    }

    /** Script that keeps a load running until the latch opens. */
    private static final class BlockingLoad implements Function<ScriptedEngine.Call, String> {
        private final CountDownLatch open = new CountDownLatch(1);

        @Override
        public String apply(ScriptedEngine.Call call) {
            try {
                return call.is("POST") || !open.await(50, TimeUnit.MILLISECONDS) ? STILL_RUNNING : ok(ROW);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return STILL_RUNNING;
            }
        }
    }

    /**
     * Guards against a second run of a load: the run continues after its query was killed, and a repeat under
     * the same run name receives its result.
     */
    @Test
    public void joinsRunOfKilledQueryOnRepeatedLoad() throws Exception {
        BlockingLoad blockingLoad = new BlockingLoad();
        try (var engine = new ScriptedEngine(blockingLoad);
                var feed = new ScriptedFeed();
                var gateway = new GatewayFixture(feed, loadDeduplicationEnabled(), engine)) {
            var first = gateway.client();
            first.write(Client.query(loadQuery(1, ",once=nightly-17")));
            engine.next("POST");
            assertEquals(gateway.client().execute("KILL QUERY " + first.connectionId), "ok");
            assertEquals(first.readAnswer().substring(0, 4), "1317");
            var second = gateway.client();
            second.write(Client.query(loadQuery(2, ",once=nightly-17,again=1")));
            assertTrue(
                    gateway.client()
                            .execute(loadQuery(3, ",once=nightly-17").replace("SELECT 1", "SELECT 2"))
                            .startsWith("1064"),
                    "different statement under the same run name");
            blockingLoad.open.countDown();
            assertEquals(second.readAnswer(), "a|b|c");
            assertEquals(
                    gateway.client().execute(loadQuery(4, ",once=nightly-17")), "a|b|c", "result of the completed run");
            assertEquals(engine.count("POST"), 0, "a load must never run twice");
            assertEquals(engine.count("DELETE"), 0, "a load must not be cancelled when its client leaves");
        }
    }

    /**
     * Guards against running a load twice: a repeat is answered with an error if the first run may have run, or if
     * this gateway does not know it.
     */
    @Test
    public void rejectsRepeatedLoadIfOutcomeIsUnknown() throws Exception {
        try (var engine = new ScriptedEngine(c -> response(500, "", ""));
                var feed = new ScriptedFeed();
                var gateway = new GatewayFixture(feed, loadDeduplicationEnabled(), engine)) {
            assertTrue(gateway.client().execute(loadQuery(1, ",once=a")).startsWith("1105"));
            engine.next("POST");
            assertEquals(
                    gateway.client().execute(loadQuery(2, ",once=a")),
                    "1105 failed: once=a may have run; its end is not known");
            assertEquals(
                    gateway.client().execute(loadQuery(3, ",once=b,again=1")),
                    "1105 failed: once=b is not known here; its first run may have run");
            assertEquals(engine.count("POST"), 0);
        }
    }

    /** After the client's timeout the run continues, and a repeat receives its result. */
    @Test
    public void returnsResultToRepeatAfterClientTimeout() throws Exception {
        BlockingLoad blockingLoad = new BlockingLoad();
        try (var engine = new ScriptedEngine(blockingLoad);
                var feed = new ScriptedFeed();
                var gateway = new GatewayFixture(feed, loadDeduplicationEnabled(), engine)) {
            assertEquals(
                    gateway.client().execute(loadQuery(1, ",once=a").replace("patience=5000", "patience=300")),
                    "1105 failed: still running; ask again with once=a, again=1");
            blockingLoad.open.countDown();
            assertEquals(gateway.client().execute(loadQuery(2, ",once=a,again=1")), "a|b|c");
        }
    }

    /** Guards against running a named load without deduplication, where a repeat could run it twice. */
    @Test
    public void rejectsRunNameIfDeduplicationIsDisabled() throws Exception {
        try (var engine = new ScriptedEngine(c -> ok(ROW));
                var feed = new ScriptedFeed();
                var gateway = new GatewayFixture(feed, engine)) {
            assertEquals(gateway.client().execute(loadQuery(1, ",once=a")), "1064 field 'once' is not in use here");
            assertEquals(gateway.client().execute(loadQuery(2, "")), "a|b|c");
        }
    }

    /** A changed operator's file takes effect without a restart; an invalid one leaves the settings in force. */
    @Test
    public void appliesReloadedOperatorFileAndIgnoresInvalidOne() throws Exception {
        try (var engine = new ScriptedEngine(c -> ok(ROW));
                var feed = new ScriptedFeed();
                var gateway = new GatewayFixture(feed, engine)) {
            assertTrue(gateway.client().execute(loadQuery(1, ",once=a")).startsWith("1064"));
            gateway.reloadOperator(RetryStormIntegrationTest::loadDeduplicationEnabled);
            int trace = 2;
            String answer = "1064";
            for (int i = 0; i < 500 && answer.startsWith("1064"); i++) {
                answer = gateway.client().execute(loadQuery(trace++, ",once=a"));
            }
            assertEquals(answer, "a|b|c");
            CountDownLatch read = new CountDownLatch(1);
            gateway.reloadOperator(() -> {
                read.countDown();
                return GatewayFixture.operatorFile("{\"storm\": {\"loads\": {\"enabled\": 1}}}");
            });
            assertTrue(read.await(5, TimeUnit.SECONDS));
            assertEquals(gateway.client().execute(loadQuery(trace, ",once=b")), "a|b|c");
        }
    }

    /**
     * Without an engine, one rejected statement is repeated at once again and again: rejected queries and connections
     * carry a Retry-After.
     */
    @Test
    public void rejectsQueriesAndConnectionsWithRetryAfterInRetryStorm() throws Exception {
        var engine = new ScriptedEngine(c -> ok(ROW));
        try (var feed = new ScriptedFeed();
                var gateway = new GatewayFixture(feed, GatewayFixture.operatorFile("""
                {"storm": {"enabled": true, "detection": {"enter_ms": 100},
                "connections": {"least_per_s": 1, "over_usual": 1}}}"""), engine)) {
            engine.close();
            String answer = "";
            for (int i = 0; i < 3000 && !answer.startsWith("1040"); i++) {
                try (Client c = gateway.openConnection()) {
                    answer = c.readGreetingOrError();
                    if (answer.isEmpty()) {
                        c.write(Client.login());
                        c.readAnswer();
                        answer = c.execute(GatewayFixture.queryComment("lookup", i + 1, 400) + "SELECT 1");
                    }
                }
                assertTrue(answer.startsWith("1040") || answer.startsWith("1203"), answer);
                // lets time pass for the retry storm to be detected; no assertion depends on this duration
                TimeUnit.MILLISECONDS.sleep(2);
            }
            assertTrue(answer.matches("1040 Too many connections, pause=\\d+"), answer);
            int retryAfterMs = Integer.parseInt(answer.replaceAll(".*pause=", ""));
            assertTrue(retryAfterMs > 0 && retryAfterMs <= 1000, answer);
        }
    }
}
