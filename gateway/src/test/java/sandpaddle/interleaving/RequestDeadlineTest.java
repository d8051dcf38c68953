package sandpaddle.interleaving;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import sandpaddle.config.InvalidFieldException;

/**
 * A request has exactly one answer by its deadline, in whatever state it is then; measured by the client's clock only.
 * Rows T1 to T3 of docs/design/crossings.md.
 */
public class RequestDeadlineTest {
    private static final int CLIENT_TIMEOUT_MS = 1500;
    private static final int SLACK_MS = 20; // one step of the test, and the dispatcher's grace after the deadline
    private static final int STEP_MS = 10;
    private static final int AFTER_DEADLINE_MS = 3000; // longer than an engine keeps a query that is not polled
    private static final String TWO_PAGES = "HTTP/1.1 200 -\r\nResult-Pages: 2\r\nContent-Length: 6\r\n\r\na\tb\tc\n";
    private static final List<String> ROUTES = List.of("again", "once", "window", "inorder");

    /** Brings a request that was just sent into a state in which it remains. */
    interface Setup {
        void run(GatewayFixture gateway, ScriptedClient client) throws IOException, InvalidFieldException;
    }

    private static void awaitPost(GatewayFixture gateway) throws IOException {
        gateway.runUntil(() -> gateway.engine.callCount("POST") == 1);
    }

    private static void awaitPoll(GatewayFixture gateway) throws IOException {
        awaitPost(gateway);
        gateway.engine.respond("POST", ScriptedEngine.IN_PROGRESS);
        gateway.advance(Duration.ofMillis(60));
        gateway.runUntil(() -> gateway.engine.callCount("GET") == 1);
    }

    private static void awaitAndRespond(GatewayFixture gateway, String call, String bytes) throws IOException {
        gateway.runUntil(() -> gateway.engine.callCount(call) > 0);
        gateway.engine.respond(call, bytes);
    }

    @DataProvider
    public Object[][] states() {
        return new Object[][] {
            {"before the first endpoint list", false, setup((gateway, client) -> {})},
            {"sent, without a response", true, setup((gateway, client) -> awaitPost(gateway))},
            {"polled, without a response", true, setup((gateway, client) -> awaitPoll(gateway))},
            {"second page missing", true, setup((gateway, client) -> awaitAndRespond(gateway, "POST", TWO_PAGES))},
            {
                "incomplete response",
                true,
                setup((gateway, client) -> awaitAndRespond(gateway, "POST", ScriptedEngine.ROWS.substring(0, 40)))
            },
            {
                "declined and retried",
                true,
                setup((gateway, client) -> awaitAndRespond(gateway, "POST", ScriptedEngine.DECLINED))
            },
            {"failed", true, setup((gateway, client) -> awaitAndRespond(gateway, "POST", ScriptedEngine.FAILED))},
            {
                "connection reset four times, DELETE without a response",
                true,
                setup((gateway, client) -> {
                    awaitPost(gateway);
                    for (int i = 0; i < 4; i++) {
                        int open = gateway.engine.connectionCount() - 1;
                        gateway.engine.closeConnection(open, true);
                        int calls = gateway.engine.receivedCalls().size();
                        gateway.runUntil(() -> gateway.engine.receivedCalls().size() > calls);
                    }
                    assertEquals(gateway.engine.callCount("DELETE"), 1);
                })
            },
            {
                "sent, engine draining",
                true,
                setup((gateway, client) -> {
                    awaitPost(gateway);
                    gateway.updateEndpointList("Terminating");
                })
            },
            {
                "sent, engine removed",
                true,
                setup((gateway, client) -> {
                    awaitPost(gateway);
                    gateway.updateEndpointList("Gone");
                })
            },
        };
    }

    private static Setup setup(Setup setup) {
        return setup;
    }

    /** Runs turns past the deadline and checks that there is one answer by the deadline and no second one. */
    private static void assertOneAnswerInTime(
            GatewayFixture gateway, ScriptedClient client, long sentAtMs, String where) throws IOException {
        runTurnsUntil(gateway, sentAtMs + CLIENT_TIMEOUT_MS + SLACK_MS);
        assertEquals(client.answers().size(), 1, where + ": answers by the deadline");
        runTurnsUntil(gateway, gateway.clock.millis() + AFTER_DEADLINE_MS);
        assertEquals(client.answers().size(), 1, where + ": answers in all");
    }

    private static void runTurnsUntil(GatewayFixture gateway, long ms) throws IOException {
        while (gateway.clock.millis() < ms) {
            gateway.clock.advance(Duration.ofMillis(STEP_MS));
            gateway.runTurnWithoutWaiting();
        }
    }

    /** T1. Each state in which a request can remain, for each request class. */
    @Test(dataProvider = "states")
    public void requestInAnyStateIsAnsweredByItsDeadline(String where, boolean listed, Setup setup) throws Exception {
        for (String route : ROUTES) {
            try (GatewayFixture gateway = new GatewayFixture()) {
                if (listed) {
                    gateway.updateEndpointList("Ready");
                }
                ScriptedClient client = gateway.logInClient();
                byte[] query = ScriptedClient.query(route, 1, CLIENT_TIMEOUT_MS);
                client.send(java.util.Arrays.copyOf(query, 50));
                gateway.advance(Duration.ofMillis(500)); // partly sent: the timeout starts at the last byte
                long sentAtMs = gateway.clock.millis();
                client.send(java.util.Arrays.copyOfRange(query, 50, query.length));
                gateway.runTurn();
                setup.run(gateway, client);
                assertOneAnswerInTime(gateway, client, sentAtMs, route + ", " + where);
            }
        }
    }

    /** T1. The same while the connection to the engine is not established, as the listener's backlog is full. */
    @Test
    public void requestIsAnsweredByItsDeadlineWhileConnecting() throws Exception {
        for (String route : ROUTES) {
            try (GatewayFixture gateway = new GatewayFixture();
                    ServerSocket engineWithFullBacklog = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
                List<Socket> fillers = new ArrayList<>();
                for (int i = 0; i < 2; i++) {
                    fillers.add(
                            new Socket(engineWithFullBacklog.getInetAddress(), engineWithFullBacklog.getLocalPort()));
                }
                gateway.updateEndpointList("Ready", (InetSocketAddress) engineWithFullBacklog.getLocalSocketAddress());
                ScriptedClient client = gateway.logInClient();
                long sentAtMs = gateway.clock.millis();
                client.send(ScriptedClient.query(route, 1, CLIENT_TIMEOUT_MS));
                assertOneAnswerInTime(gateway, client, sentAtMs, route + ", connecting");
                for (Socket s : fillers) {
                    s.close();
                }
            }
        }
    }

    /** T2. The same while it waits for a running request with the same ordering key. */
    @Test
    public void requestWaitingForItsOrderingKeyIsAnsweredByItsDeadline() throws Exception {
        try (GatewayFixture gateway = new GatewayFixture()) {
            gateway.updateEndpointList("Ready");
            ScriptedClient first = gateway.logInClient();
            ScriptedClient second = gateway.logInClient();
            String fields = "/* route=inorder,entity=e1,nonce=n%d,trace=%016x,patience=%d */ SELECT 1";
            first.send(ScriptedClient.query(fields.formatted(1, 1, 9000)));
            awaitPost(gateway);
            long sentAtMs = gateway.clock.millis();
            second.send(ScriptedClient.query(fields.formatted(2, 2, CLIENT_TIMEOUT_MS)));
            assertOneAnswerInTime(gateway, second, sentAtMs, "waiting for its ordering key");
            assertEquals(
                    gateway.engine.receivedCalls().stream()
                            .filter(call -> call.method().equals("POST"))
                            .count(),
                    1);
        }
    }

    /** T1. Guards against an early answer: the timeout starts at the last byte, however slowly the others arrived. */
    @Test
    public void timeoutOfASlowlySentRequestStartsAtItsLastByte() throws Exception {
        try (GatewayFixture gateway = new GatewayFixture()) {
            gateway.updateEndpointList("Ready");
            ScriptedClient client = gateway.logInClient();
            for (byte b : ScriptedClient.query("once", 1, CLIENT_TIMEOUT_MS)) {
                client.send(new byte[] {b});
                gateway.advance(Duration.ofMillis(10));
            }
            awaitPost(gateway);
            gateway.engine.respond("POST", ScriptedEngine.IN_PROGRESS);
            long until = gateway.clock.millis() + CLIENT_TIMEOUT_MS - 60;
            while (gateway.clock.millis() < until) {
                gateway.clock.advance(Duration.ofMillis(STEP_MS));
                gateway.runTurnWithoutWaiting();
                if (gateway.engine.callCount("GET") > 0 && gateway.clock.millis() < until - 200) {
                    gateway.engine.respond("GET", ScriptedEngine.IN_PROGRESS); // delayed by 250 ms
                }
            }
            gateway.engine.respond("GET", ScriptedEngine.ROWS);
            gateway.runUntil(() -> client.answers().size() == 1);
            assertEquals(client.answers(), List.of("rows"));
        }
    }

    /** T3. Guards a request that arrives during a long turn: its timeout starts on arrival, not when it is read. */
    @Test
    public void requestThatArrivesDuringALongTurnIsAnsweredByItsDeadline() throws Exception {
        try (GatewayFixture gateway = new GatewayFixture()) {
            gateway.updateEndpointList("Ready");
            ScriptedClient client = gateway.logInClient();
            long[] sentAtMs = new long[1];
            gateway.runTurn(() -> {
                sentAtMs[0] = gateway.clock.millis();
                client.sendAndAwait(ScriptedClient.query("once", 1, CLIENT_TIMEOUT_MS), 0);
                gateway.clock.advance(Duration.ofMillis(90)); // the turn takes this long
            });
            assertOneAnswerInTime(gateway, client, sentAtMs[0], "during a long turn");
            assertTrue(gateway.engine.receivedCalls().stream()
                    .anyMatch(call -> call.method().equals("POST")));
        }
    }
}
