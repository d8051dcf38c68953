package sandpaddle.integration;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;
import static sandpaddle.integration.ScriptedEngine.CLOSE_CONNECTION;
import static sandpaddle.integration.ScriptedEngine.NO_RESPONSE;
import static sandpaddle.integration.ScriptedEngine.ok;
import static sandpaddle.integration.ScriptedEngine.response;

import java.io.ByteArrayOutputStream;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.testng.annotations.Test;
import sandpaddle.config.InvalidFieldException;

/** Behaviour of a whole gateway towards clients and engines on sockets, including faults of both. */
public class GatewayIntegrationTest {
    private static final String SQL = "SELECT day, count(*) FROM sales_17.orders";
    private static final String STILL_RUNNING = response(202, "", "");
    private static final String DECLINED = response(503, "X-Declined: 1\r\n", "");

    /**
     * Login and query are accepted before the greeting is read and in any fragmentation, and reach the engine
     * unchanged.
     */
    @Test
    public void servesLoginAndQuerySentByteByByteBeforeGreeting() throws Exception {
        try (var engine = new ScriptedEngine(c -> switch (c.requestLine().split(" ")[1]) {
                    case "/x" -> response(202, "X-Result: frac\r\nNote-Value: 0.5\r\n", "");
                    case "/x/00000000000000a1/0" -> response(200, "Result-Pages: 2\r\n", "d1\t2\tn'1\n");
                    default -> response(200, "Result-Page: 1\r\n", "d2\t\tx\n");
                });
                var feed = new ScriptedFeed();
                var gateway = new GatewayFixture(feed, engine);
                var client = new Client(gateway.address())) {
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            all.writeBytes(Client.login());
            all.writeBytes(Client.query(GatewayFixture.queryComment("lookup", 0xa1, 5000) + SQL));
            for (byte b : all.toByteArray()) {
                client.write(new byte[] {b});
            }
            client.readGreeting();
            assertEquals(client.readAnswer(), "ok");
            assertEquals(client.readAnswer(), "d1|2|n'1/d2||x");
            var post = engine.next("POST");
            assertEquals(post.body(), SQL);
            assertEquals(post.headers().get("x-trace"), "00000000000000a1");
            assertEquals(post.headers().get("x-profile"), "lookup");
        }
    }

    /**
     * The keys by which engines drop repeats and keep requests in order are passed on unchanged, also with a retry;
     * invalid keys are rejected.
     */
    @Test
    public void passesIdempotencyAndOrderingKeysToEngineUnchanged() throws Exception {
        try (var engine = new ScriptedEngine(c -> DECLINED);
                var feed = new ScriptedFeed();
                var gateway = new GatewayFixture(feed, engine);
                var client = gateway.client()) {
            client.write(Client.query("/* route=load,trace=00000000000000a1,nonce=d6188b5d/+~x,patience=8000,"
                    + "entity=91f03b7c55d20a64 */ " + SQL));
            for (int i = 0; i < 2; i++) {
                var post = engine.next("POST");
                assertEquals(post.headers().get("x-op-key"), "d6188b5d/+~x");
                assertEquals(post.headers().get("x-asset"), "91f03b7c55d20a64");
                assertEquals(post.body(), SQL);
                engine.script(c -> ok("a\tb\tc\n"));
            }
            assertEquals(client.readAnswer(), "a|b|c");
            for (String invalid : List.of("nonce=", "entity=a b", "nonce=" + "x".repeat(129))) {
                assertEquals(
                        client.execute("/* route=load,trace=00000000000000a2,patience=800," + invalid + " */ " + SQL)
                                .substring(0, 4),
                        "1064",
                        invalid);
            }
            client.write(Client.query(GatewayFixture.queryComment("load", 3, 5000) + SQL));
            var bare = engine.next("POST");
            assertEquals(bare.headers().get("x-op-key"), null);
            assertEquals(bare.headers().get("x-asset"), null);
        }
    }

    /**
     * Guards against failing a query whose connection breaks: the query continues on the engine and is polled on
     * another connection.
     */
    @Test
    public void repeatsPollOnNewConnectionAfterConnectionBreaks() throws Exception {
        try (var engine = new ScriptedEngine(
                        c -> c.is("POST") ? STILL_RUNNING : c.connection() == 1 ? CLOSE_CONNECTION : ok("a\tb\tc\n"));
                var feed = new ScriptedFeed();
                var gateway = new GatewayFixture(feed, engine)) {
            assertEquals(gateway.client().execute(GatewayFixture.queryComment("load", 1, 5000) + SQL), "a|b|c");
            engine.next("POST");
            assertEquals(engine.count("POST"), 0, "a load must never run twice");
        }
    }

    /**
     * Guards against two concurrent attempts: an unanswered POST that the engine does not know yet may still be
     * processed.
     */
    @Test
    public void deletesUnansweredPostThatEngineDoesNotKnow() throws Exception {
        try (var engine = new ScriptedEngine(c -> c.is("POST") ? NO_RESPONSE : response(500, "", ""));
                var feed = new ScriptedFeed();
                var gateway = new GatewayFixture(feed, engine)) {
            assertEquals(
                    gateway.client()
                            .execute(GatewayFixture.queryComment("load", 1, 5000) + SQL)
                            .substring(0, 4),
                    "1105");
            engine.next("POST");
            engine.next("DELETE");
        }
    }

    /** Guards against running a load twice, and against reporting as not run what may have run. */
    @Test
    public void retriesLoadOnlyIfItNeverRan() throws Exception {
        try (var engine = new ScriptedEngine(c -> DECLINED);
                var feed = new ScriptedFeed();
                var gateway = new GatewayFixture(feed, engine)) {
            var client = gateway.client();
            client.write(Client.query(GatewayFixture.queryComment("load", 1, 8000) + SQL));
            engine.next("POST");
            engine.script(c -> response(500, "", ""));
            engine.next("POST");
            assertEquals(client.readAnswer().substring(0, 4), "1105");
            assertEquals(engine.count("POST"), 0);
            engine.script(c -> ok("a\tb\tc\n"));
        }
    }

    /** Guards against serving invalid rows: a page that is truncated, or not the page requested. */
    @Test
    public void failsAttemptOnMalformedPage() throws Exception {
        try (var engine = new ScriptedEngine(c -> response(200, "Result-Pages: 1\r\n", "a\tb\tc\nd\te"));
                var feed = new ScriptedFeed();
                var gateway = new GatewayFixture(feed, engine)) {
            assertEquals(
                    gateway.client()
                            .execute(GatewayFixture.queryComment("load", 1, 5000) + SQL)
                            .substring(0, 4),
                    "1105");
        }
        try (var engine = new ScriptedEngine(c -> c.is("POST")
                        ? response(200, "Result-Pages: 2\r\n", "a\tb\tc\n")
                        : response(200, "Result-Page: 2\r\n", "a\tb\tc\n"));
                var feed = new ScriptedFeed();
                var gateway = new GatewayFixture(feed, engine)) {
            assertEquals(
                    gateway.client()
                            .execute(GatewayFixture.queryComment("load", 1, 5000) + SQL)
                            .substring(0, 4),
                    "1105");
        }
    }

    /**
     * Guards against failing a query that has run: the engine keeps its result, which can be fetched again without
     * running the query again.
     */
    @Test
    public void fetchesResultAgainAfterMalformedResponseOrPage() throws Exception {
        List<String> malformedResponses = List.of(
                "SSH-2.0-x\r\n\r\n",
                "HTTP/1.1 200 -\r\nContent-Length: zz\r\n\r\n",
                "HTTP/1.1 200 -\r\nResult-Pages: 2\r\nContent-Length: 3000000000\r\n\r\nx",
                ok("a\tb"),
                "HTTP/1.1 200 -\r\nContent-Length: 6\r\n\r\na\tb\tc\n");
        for (String invalid : malformedResponses) {
            try (var engine = new ScriptedEngine(new Function<>() {
                        private boolean first = true;
                        private boolean page = true;

                        @Override
                        public String apply(ScriptedEngine.Call call) {
                            boolean valid = call.requestLine().contains("/1 ") ? !page : !first;
                            page &= !call.requestLine().contains("/1 ");
                            first = false;
                            return !valid
                                    ? invalid
                                    : call.requestLine().contains("/1 ")
                                            ? response(200, "Result-Page: 1\r\n", "d\te\tf\n")
                                            : response(200, "Result-Pages: 2\r\n", "a\tb\tc\n");
                        }
                    });
                    var feed = new ScriptedFeed();
                    var gateway = new GatewayFixture(feed, engine)) {
                assertEquals(
                        gateway.client().execute(GatewayFixture.queryComment("load", 1, 5000) + SQL),
                        "a|b|c/d|e|f",
                        invalid);
                engine.next("POST");
                assertEquals(engine.count("POST"), 0, "a load must never run twice");
            }
        }
    }

    /** Guards against taking surplus bytes after a response for the response to the next call. */
    @Test
    public void closesOnlyConnectionThatSendsBytesAfterResponse() throws Exception {
        try (var engine = new ScriptedEngine(c ->
                        "HTTP/1.1 102 -\r\n\r\n" + ok(c.headers().get("x-trace") + "\t\t\n") + ok("of another\t\t\n"));
                var feed = new ScriptedFeed();
                var gateway = new GatewayFixture(feed, engine)) {
            var client = gateway.client();
            for (int i = 1; i <= 5; i++) {
                assertEquals(
                        client.execute(GatewayFixture.queryComment("lookup", i, 5000) + SQL),
                        "000000000000000" + i + "||");
                assertEquals(engine.next("POST").connection(), i);
            }
        }
    }

    /** Guards against two concurrent attempts: a DELETE whose connection breaks is not confirmed. */
    @Test
    public void repeatsDeleteAfterConnectionBreaks() throws Exception {
        try (var engine = new ScriptedEngine(c -> NO_RESPONSE);
                var feed = new ScriptedFeed();
                var gateway = new GatewayFixture(feed, engine)) {
            engine.scriptControlCalls(c -> CLOSE_CONNECTION);
            var client = gateway.client();
            client.write(Client.query(GatewayFixture.queryComment("load", 7, 5000) + SQL));
            engine.next("POST");
            client.close();
            engine.next("DELETE");
            engine.next("DELETE");
        }
    }

    /** Guards against a second answer: results after a KILL are discarded, and the engine is told to stop the query. */
    @Test
    public void killQueryInterruptsQueryAndKeepsSession() throws Exception {
        try (var engine = new ScriptedEngine(c -> NO_RESPONSE);
                var feed = new ScriptedFeed();
                var gateway = new GatewayFixture(feed, engine)) {
            var client = gateway.client();
            client.write(Client.query(GatewayFixture.queryComment("lookup", 7, 5000) + SQL));
            var post = engine.next("POST");
            assertEquals(gateway.client().execute("KILL QUERY " + client.connectionId), "ok");
            assertEquals(client.readAnswer(), "1317 Query execution was interrupted");
            var delete = engine.next("DELETE");
            assertEquals(delete.requestLine(), "DELETE /x/0000000000000007 HTTP/1.1");
            assertNotEquals(delete.connection(), post.connection());
            client.write(Client.command(14, ""));
            assertEquals(client.readAnswer(), "ok");
        }
    }

    /** Guards the CPU against an engine that answers polls at once instead of holding them. */
    @Test
    public void limitsPollRateIfEngineAnswersPollsAtOnce() throws Exception {
        try (var engine = new ScriptedEngine(c -> STILL_RUNNING);
                var feed = new ScriptedFeed();
                var gateway = new GatewayFixture(feed, engine)) {
            gateway.client().execute(GatewayFixture.queryComment("load", 7, 1000) + SQL);
            engine.next("POST");
            long polls = engine.count("GET");
            assertTrue(polls >= 4 && polls <= 25, polls + " polls in a second");
        }
    }

    /** Guards against work for clients that have disconnected. */
    @Test
    public void deletesQueryAfterClientDisconnects() throws Exception {
        try (var engine = new ScriptedEngine(c -> NO_RESPONSE);
                var feed = new ScriptedFeed();
                var gateway = new GatewayFixture(feed, engine)) {
            var client = gateway.client();
            client.write(Client.query(GatewayFixture.queryComment("load", 7, 5000) + SQL));
            engine.next("POST");
            client.close();
            engine.next("DELETE");
        }
    }

    /** Guards the deadline of a query whose engine accepts the request and never responds. */
    @Test
    public void answersAtDeadlineIfEngineIsSilent() throws Exception {
        try (var engine = new ScriptedEngine(c -> NO_RESPONSE);
                var feed = new ScriptedFeed();
                var gateway = new GatewayFixture(feed, engine)) {
            long startNs = System.nanoTime();
            assertEquals(
                    gateway.client()
                            .execute(GatewayFixture.queryComment("load", 7, 1200) + SQL)
                            .substring(0, 4),
                    "1105");
            long ms = (System.nanoTime() - startNs) / 1_000_000;
            assertTrue(ms >= 1190 && ms < 3000, "answered after " + ms + " ms");
            engine.next("DELETE");
        }
    }

    /** Guards against holding a request that no engine can serve: it is rejected at once with a Retry-After. */
    @Test
    public void rejectsWithRetryAfterIfOnlyEngineDeclines() throws Exception {
        try (var engine = new ScriptedEngine(c -> DECLINED);
                var feed = new ScriptedFeed();
                var gateway = new GatewayFixture(feed, engine)) {
            assertEquals(
                    gateway.client().execute(GatewayFixture.queryComment("lookup", 1, 5000) + SQL),
                    "1203 refused, pause=500");
        }
    }

    /** Guards sessions against invalid commands, and other sessions against a client that violates the framing. */
    @Test
    public void invalidInputAffectsOnlyItsSession() throws Exception {
        try (var engine = new ScriptedEngine(c -> ok("a\tb\tc\n"));
                var feed = new ScriptedFeed();
                var gateway = new GatewayFixture(feed, engine)) {
            var client = gateway.client();
            assertEquals(client.execute("SELECT 1"), "1064 no comment with the field 'route'");
            assertEquals(
                    client.execute(GatewayFixture.queryComment("nightly", 1, 5000) + SQL),
                    "1064 unknown route 'nightly'");
            assertEquals(
                    client.execute("/* route=lookup,trace=xyz,patience=5 */ " + SQL),
                    "1064 field 'trace' is not 16 hex digits");
            assertEquals(
                    client.execute(GatewayFixture.queryComment("lookup", 1, -4) + SQL),
                    "1064 field 'patience' is not a number of milliseconds");
            assertEquals(
                    // the maximum is twice the hard limit of 7.5 s
                    client.execute(GatewayFixture.queryComment("lookup", 1, 15_001) + SQL),
                    "1064 a patience of 15001 ms is out of range");
            client.write(Client.command(22, "SELECT 1"));
            assertEquals(client.readAnswer(), "1047 Unknown command");
            var broken = gateway.client();
            broken.write(new byte[] {-1, -1, -1, 0});
            assertEquals(broken.readAnswer().substring(0, 4), "1153");
            assertTrue(broken.isClosedByGateway());
            assertEquals(client.execute(GatewayFixture.queryComment("lookup", 2, 5000) + SQL), "a|b|c");
        }
    }

    /**
     * Guards file descriptors against clients that send nothing or incomplete packets; a client that has executed a
     * query may stay idle.
     */
    @Test
    public void closesSessionsWithIncompleteLoginOrCommandAfterTimeout() throws Exception {
        try (var engine = new ScriptedEngine(c -> ok("a\tb\tc\n"));
                var feed = new ScriptedFeed();
                var gateway = new GatewayFixture(feed, engine);
                var silent = new Client(gateway.address());
                var partialLogin = new Client(gateway.address())) {
            long startNs = System.nanoTime();
            var idle = gateway.client();
            idle.execute(GatewayFixture.queryComment("lookup", 1, 5000) + SQL);
            silent.readGreeting();
            partialLogin.readGreeting();
            partialLogin.write(Arrays.copyOf(Client.login(), 20));
            var withoutCommand = gateway.client();
            var partialCommand = gateway.client();
            partialCommand.execute(GatewayFixture.queryComment("lookup", 2, 5000) + SQL);
            partialCommand.write(Arrays.copyOf(Client.query(SQL), 9));
            for (Client c : List.of(silent, partialLogin, withoutCommand, partialCommand)) {
                assertEquals(c.readAnswer().substring(0, 4), "1159");
                assertTrue(c.isClosedByGateway());
            }
            long ms = (System.nanoTime() - startNs) / 1_000_000;
            assertTrue(ms < 2900, "closed after " + ms + " ms");
            assertEquals(idle.execute(GatewayFixture.queryComment("lookup", 3, 5000) + SQL), "a|b|c");
        }
    }

    /**
     * Guards the error to a client that sends an oversized packet: closing the socket with unread bytes would send a
     * reset and discard the error.
     */
    @Test
    public void reportsOversizedPacketWhileClientStillWrites() throws Exception {
        try (var engine = new ScriptedEngine(c -> NO_RESPONSE);
                var feed = new ScriptedFeed();
                var gateway = new GatewayFixture(feed, engine)) {
            var client = gateway.client();
            byte[] oversized = new byte[4 << 20];
            Arrays.fill(oversized, (byte) -2);
            client.write(oversized);
            assertEquals(client.readAnswer().substring(0, 4), "1153");
            assertTrue(client.isClosedByGateway());
        }
    }

    /**
     * Guards memory: the gateway stops reading from a client that does not read its answers, and answers all once it
     * does.
     */
    @Test
    public void stopsReadingFromClientThatDoesNotRead() throws Exception {
        try (var engine = new ScriptedEngine(c -> NO_RESPONSE);
                var feed = new ScriptedFeed();
                var gateway = new GatewayFixture(feed, engine)) {
            var client = gateway.client();
            int maxBytes = 64 << 20; // far more than all socket and user-space buffers hold
            int written = client.writeUntilBlocked(Client.query("SELECT 1"), maxBytes);
            assertTrue(written < maxBytes, "the gateway read all " + written + " bytes");
            for (int i = 0; i < 1000; i++) {
                assertEquals(client.readAnswer().substring(0, 4), "1064");
            }
        }
    }

    /** Guards active clients against those that hold connections without using them. */
    @Test
    public void evictsSilentAndIdleClientsAtConnectionLimit() throws Exception {
        try (var engine = new ScriptedEngine(c -> ok("a\tb\tc\n"));
                var feed = new ScriptedFeed();
                var gateway = new GatewayFixture(feed, engine)) {
            var active = gateway.client();
            for (int i = 0; i < GatewayFixture.MAX_CLIENTS; i++) {
                gateway.openConnection();
            }
            int served = 0;
            for (int i = 1; served < 2 * GatewayFixture.MAX_CLIENTS; i++) {
                assertTrue(i < 100_000, "only " + served + " were served");
                String answer = gateway.executeOnNewConnection(GatewayFixture.queryComment("lookup", i, 5000) + SQL);
                served += answer.equals("a|b|c") ? 1 : 0;
                // from here on all others have executed a query and many are idle, so that one can be evicted
                if (served > GatewayFixture.MAX_CLIENTS) {
                    assertEquals(answer, "a|b|c");
                }
                // an active client keeps its connection
                active.execute(GatewayFixture.queryComment("lookup", -i, 5000) + SQL);
            }
        }
    }

    /**
     * Guards against readiness before an endpoint list is known, and against engines that a complete list no longer
     * contains.
     */
    @Test
    public void becomesReadyWithFirstEndpointListAndFollowsNext() throws Exception {
        try (var first = new ScriptedEngine(c -> ok("first\t\t\n"));
                var second = new ScriptedEngine(c -> ok("2nd\t\t\n"));
                var feed = new ScriptedFeed();
                var gateway = new GatewayFixture(feed, "")) {
            var feedConnection = feed.accept();
            assertEquals(feedConnection.subscription(), "SUB 0");
            var client = gateway.client();
            client.write(Client.command(14, ""));
            assertEquals(client.readAnswer(), "1105 not ready: no engine list yet");
            feedConnection.writeLine(GatewayFixture.event(1, true, GatewayFixture.host("a", first, "Ready")));
            feedConnection.writeLine("9");
            feed.accept().writeLine(GatewayFixture.event(2, true, GatewayFixture.host("b", second, "Ready")));
            client.write(Client.command(14, ""));
            assertEquals(client.readAnswer(), "ok");
            while (!client.execute(GatewayFixture.queryComment("lookup", 1, 5000) + SQL)
                    .equals("2nd||")) {
                assertTrue(first.count("POST") < 1000, "the second endpoint list was not applied within 1000 queries");
            }
            assertEquals(client.execute(GatewayFixture.queryComment("lookup", 2, 5000) + SQL), "2nd||");
        }
    }

    /** Guards against a stalled feed: the drain of an engine must be known within seconds. */
    @Test
    public void resubscribesFromLastEventAfterSilentOrMalformedFeed() throws Exception {
        try (var first = new ScriptedEngine(c -> ok("first\t\t\n"));
                var second = new ScriptedEngine(c -> ok("2nd\t\t\n"));
                var feed = new ScriptedFeed();
                var gateway = new GatewayFixture(feed, first)) {
            assertEquals(feed.accept().subscription(), "SUB 1"); // then no line follows
            var feedConnection = feed.accept();
            assertEquals(feedConnection.subscription(), "SUB 1");
            feedConnection.writeLine(GatewayFixture.event(2, false, GatewayFixture.host("new", second, "Ready")));
            feedConnection.writeLine("{\"n\":3,\"members\":{\"hosts\":[{\"host\":4}]}}");
            feedConnection = feed.accept();
            assertEquals(feedConnection.subscription(), "SUB 2");
            feedConnection.writeLine(
                    GatewayFixture.event(3, false, "{\"host\":4}," + GatewayFixture.host("e0", first, "Terminating")));
            // event 3 was malformed both times; the second time its valid entries are applied
            feedConnection.writeLine("9");
            assertEquals(feed.accept().subscription(), "SUB 3");
            var client = gateway.client();
            for (int i = 0; i < 5; i++) {
                assertEquals(client.execute(GatewayFixture.queryComment("lookup", i, 5000) + SQL), "2nd||");
            }
            assertEquals(first.count("POST"), 0);
        }
    }

    /** Guards open queries and the known endpoint list against a reload that changes the feed address. */
    @Test
    public void switchesToReconfiguredFeedFromLastEvent() throws Exception {
        try (var first = new ScriptedEngine(c -> c.is("POST") ? STILL_RUNNING : NO_RESPONSE);
                var second = new ScriptedEngine(c -> ok("2nd\t\t\n"));
                var feed = new ScriptedFeed();
                var nextFeed = new ScriptedFeed();
                var gateway = new GatewayFixture(feed, first)) {
            var open = gateway.client();
            open.write(Client.query(GatewayFixture.queryComment("load", 1, 7000) + SQL));
            first.next("POST");
            var feedConnection = feed.accept();
            gateway.reload(() -> {
                // an invalid configuration keeps the previous feed
                throw new InvalidFieldException("field 'feed' is missing");
            });
            feedConnection.writeLine(GatewayFixture.event(2, false, GatewayFixture.host("new", second, "Ready")));
            feedConnection.writeLine("9");
            feedConnection = feed.accept();
            assertEquals(feedConnection.subscription(), "SUB 2"); // the event has been processed
            gateway.reload(() -> GatewayFixture.config(nextFeed.port(), ""));
            var next = nextFeed.accept();
            assertEquals(next.subscription(), "SUB 2");
            // event 2 has been applied before: ignored
            next.writeLine(GatewayFixture.event(2, false, GatewayFixture.host("e0", first, "Ready")));
            next.writeLine(GatewayFixture.event(3, false, GatewayFixture.host("e0", first, "Terminating")));
            assertTrue(feedConnection.isClosedByGateway());
            assertEquals(gateway.client().execute(GatewayFixture.queryComment("lookup", 2, 5000) + SQL), "2nd||");
            first.script(c -> ok("first\t\t\n"));
            assertEquals(open.readAnswer(), "first||");
        }
    }

    /** Guards against sending on connections to a previous process of an engine: a load sent on one is lost. */
    @Test
    public void doesNotReuseConnectionsOfRestartedEngine() throws Exception {
        try (var engine = new ScriptedEngine(c -> ok("a\tb\tc\n"));
                var feed = new ScriptedFeed();
                var gateway = new GatewayFixture(feed, engine)) {
            var client = gateway.client();
            var feedConnection = feed.accept();
            Set<Integer> used = new HashSet<>();
            for (int i = 1, c = 0; used.add(c); i++) { // until an idle connection is reused
                feedConnection.writeLine("1");
                client.execute(GatewayFixture.queryComment("lookup", i, 5000) + SQL);
                c = engine.next("POST").connection();
            }
            feedConnection.writeLine(GatewayFixture.event(2, false, GatewayFixture.host("e0", engine, "Ready", 1)));
            feedConnection.writeLine("9");
            assertEquals(feed.accept().subscription(), "SUB 2"); // the event has been processed
            client.execute(GatewayFixture.queryComment("lookup", -1, 5000) + SQL);
            assertTrue(used.add(engine.next("POST").connection()));
        }
    }

    /**
     * Guards against sending further requests to a host cut off from the network, whose idle connections stay open
     * without responding.
     */
    @Test
    public void doesNotReuseIdleConnectionsAfterUnansweredAttempt() throws Exception {
        CountDownLatch both = new CountDownLatch(2);
        try (var engine = new ScriptedEngine(c -> {
                    both.countDown();
                    awaitZero(both);
                    return ok("a\tb\tc\n");
                });
                var feed = new ScriptedFeed();
                var gateway = new GatewayFixture(feed, engine)) {
            var one = gateway.client();
            var two = gateway.client();
            one.write(Client.query(GatewayFixture.queryComment("lookup", 1, 5000) + SQL));
            two.write(Client.query(GatewayFixture.queryComment("lookup", 2, 5000) + SQL));
            assertEquals(engine.next("POST").connection() + engine.next("POST").connection(), 1 + 2);
            assertEquals(one.readAnswer() + two.readAnswer(), "a|b|ca|b|c");
            engine.script(c -> c.is("POST") ? NO_RESPONSE : ok("a\tb\tc\n"));
            assertEquals(one.execute(GatewayFixture.queryComment("load", 3, 5000) + SQL), "a|b|c");
            engine.script(c -> c.connection() < 3 ? NO_RESPONSE : ok("a\tb\tc\n"));
            one.write(Client.query(GatewayFixture.queryComment("lookup", 4, 5000) + SQL));
            two.write(Client.query(GatewayFixture.queryComment("lookup", 5, 5000) + SQL));
            engine.next("POST");
            assertTrue(engine.next("POST").connection() >= 3);
            assertTrue(engine.next("POST").connection() >= 3);
        }
    }

    private static void awaitZero(CountDownLatch latch) {
        try {
            latch.await(5, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Guards requests that arrive after the shutdown signal: they are accepted and answered before the process ends.
     */
    @Test
    public void acceptsAndAnswersRequestsDuringShutdownGracePeriod() throws Exception {
        try (var engine = new ScriptedEngine(c -> STILL_RUNNING);
                var feed = new ScriptedFeed();
                var gateway = new GatewayFixture(feed, engine)) {
            var early = gateway.client();
            early.write(Client.query(GatewayFixture.queryComment("lookup", 1, 7000) + SQL));
            engine.next("POST");
            gateway.server.shutDown();
            var late = gateway.client();
            late.write(Client.query(GatewayFixture.queryComment("load", 2, 7000) + SQL));
            engine.next("POST");
            engine.script(c -> c.requestLine().contains("0000000000000001") ? ok("a\tb\tc\n") : STILL_RUNNING);
            assertEquals(early.readAnswer(), "a|b|c");
            assertEquals(late.readAnswer(), "1105 failed: given up"); // before the process can be killed
            gateway.awaitTermination();
        }
    }
}
