package sandpaddle.interleaving;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import org.testng.annotations.Test;
import sandpaddle.app.GracefulShutdown;

/** Graceful shutdown together with events at each of its transitions. Rows E1 to E8 of docs/design/crossings.md. */
public class GracefulShutdownTest {
    private static final Duration GRACE_PERIOD = Duration.ofMillis(700);

    /** E1. Guards an answer that was written and is unread: the process must not exit before the client has read it. */
    @Test
    public void processStopsOnlyAfterClientsHaveReadTheirAnswers() throws Exception {
        try (GatewayFixture gateway = new GatewayFixture()) {
            gateway.updateEndpointList("Ready");
            ScriptedClient client = gateway.logInClient();
            client.send(ScriptedClient.query("once", 1, 5000));
            gateway.runUntil(() -> gateway.engine.callCount("POST") == 1);
            gateway.shutdown.begin();
            gateway.advance(GRACE_PERIOD); // the POST is not answered for 600 ms: polled on another connection
            gateway.runUntil(() -> gateway.engine.callCount("GET") == 1);
            gateway.engine.respond("GET", ScriptedEngine.ROWS);
            for (int i = 0; gateway.shutdown.phase() == GracefulShutdown.ShutdownPhase.CLOSING && i < 20; i++) {
                gateway.runTurn(); // the client does not read
            }
            assertFalse(gateway.stopped, "stopped before the client has read its answer");
            gateway.readPeers();
            assertEquals(client.answers(), List.of("rows"));
            gateway.runUntil(client::isEnded);
            client.close();
            gateway.runUntil(() -> gateway.stopped);
        }
    }

    /** E2. Guards a request that arrives on an idle connection in the turn in which that would be closed. */
    @Test
    public void requestThatArrivesAsItsIdleConnectionIsClosedIsServed() throws Exception {
        try (GatewayFixture gateway = new GatewayFixture()) {
            gateway.updateEndpointList("Ready");
            ScriptedClient client = gateway.logInClient();
            gateway.shutdown.begin();
            gateway.advance(GRACE_PERIOD.minusMillis(20));
            gateway.clock.advance(Duration.ofMillis(30)); // the grace period ends in the next turn
            gateway.runTurn(() -> client.sendAndAwait(ScriptedClient.query("once", 1, 5000), 0));
            gateway.runUntil(() -> gateway.engine.callCount("POST") == 1);
            gateway.engine.respond("POST", ScriptedEngine.ROWS);
            gateway.runUntil(() -> client.isEnded());
            assertEquals(client.answers(), List.of("rows"));
        }
    }

    /** E3. Guards connections in the kernel's accept queue when the gateway stops listening. */
    @Test
    public void connectionInTheAcceptQueueIsServed() throws Exception {
        try (GatewayFixture gateway = new GatewayFixture()) {
            gateway.updateEndpointList("Ready");
            gateway.shutdown.begin();
            gateway.advance(GRACE_PERIOD.minusMillis(20));
            gateway.clock.advance(Duration.ofMillis(30));
            ScriptedClient[] late = new ScriptedClient[1];
            gateway.runTurn(() -> {
                late[0] = gateway.connectClient();
                late[0].send(ScriptedClient.concat(ScriptedClient.login(), ScriptedClient.query("once", 1, 5000)));
            });
            gateway.runUntil(() -> gateway.engine.callCount("POST") == 1);
            gateway.engine.respond("POST", ScriptedEngine.ROWS);
            gateway.runUntil(late[0]::isEnded);
            assertEquals(late[0].answers(), List.of("rows"));
            assertFalse(late[0].isReset());
        }
    }

    /** E4. Guards a request that is partly read at the end of the grace period: its rest is awaited with a timeout. */
    @Test
    public void partlyReadRequestIsAwaitedWithinThePacketTimeout() throws Exception {
        try (GatewayFixture gateway = new GatewayFixture()) {
            gateway.updateEndpointList("Ready");
            ScriptedClient client = gateway.logInClient();
            ScriptedClient stalled = gateway.logInClient();
            byte[] query = ScriptedClient.query("once", 1, 5000);
            gateway.shutdown.begin();
            gateway.advance(GRACE_PERIOD.minusMillis(20));
            client.send(java.util.Arrays.copyOf(query, 30));
            stalled.send(java.util.Arrays.copyOf(query, 30));
            gateway.advance(Duration.ofMillis(40));
            assertEquals(gateway.shutdown.phase(), GracefulShutdown.ShutdownPhase.CLOSING);
            client.send(java.util.Arrays.copyOfRange(query, 30, query.length));
            gateway.runUntil(() -> gateway.engine.callCount("POST") == 1);
            gateway.engine.respond("POST", ScriptedEngine.ROWS);
            gateway.runUntil(client::isEnded);
            assertEquals(client.answers(), List.of("rows"));
            gateway.advance(Duration.ofMillis(1500));
            assertTrue(stalled.isEnded());
            client.close();
            stalled.close();
            gateway.runUntil(() -> gateway.stopped);
        }
    }

    /** E5. A request that is read after the grace period is not sent, and the connection is not reset. */
    @Test
    public void requestAfterTheGracePeriodIsNotSent() throws Exception {
        try (GatewayFixture gateway = new GatewayFixture()) {
            gateway.updateEndpointList("Ready");
            ScriptedClient client = gateway.logInClient();
            gateway.shutdown.begin();
            gateway.advance(GRACE_PERIOD.plusMillis(10));
            client.send(ScriptedClient.query("once", 1, 5000));
            gateway.runUntil(client::isEnded);
            gateway.settle();
            assertEquals(gateway.engine.callCount("POST"), 0);
            assertFalse(client.isReset());
            assertFalse(gateway.stopped);
            client.close();
            gateway.runUntil(() -> gateway.stopped);
        }
    }

    /** E6. Requests without a response of an engine get exactly one final answer before the process is killed. */
    @Test
    public void openRequestsAreAnsweredOnceBeforeTheProcessIsKilled() throws Exception {
        try (GatewayFixture gateway = new GatewayFixture()) {
            gateway.updateEndpointList("Ready");
            ScriptedClient client = gateway.logInClient();
            client.send(ScriptedClient.query("once", 1, 15_000));
            gateway.runUntil(() -> gateway.engine.callCount("POST") == 1);
            gateway.shutdown.begin();
            gateway.shutdown.begin(); // a second signal has no effect
            gateway.advance(Duration.ofMillis(3600));
            assertEquals(client.answers(), List.of("1105"));
            gateway.settle();
            assertEquals(client.answers(), List.of("1105"));
            assertTrue(gateway.stopped);
        }
    }

    /** E7. Before the first endpoint list no request can be served: clients are rejected, and the process stops. */
    @Test
    public void processStopsBeforeTheFirstEndpointList() throws Exception {
        try (GatewayFixture gateway = new GatewayFixture()) {
            ScriptedClient client = gateway.logInClient();
            gateway.shutdown.begin();
            gateway.advance(GRACE_PERIOD.plusMillis(10));
            gateway.runUntil(client::isEnded);
            client.close();
            gateway.runUntil(() -> gateway.stopped);
        }
    }

    /** E8. At the limit of sessions an idle one is closed for a new client, but not one with an unread request. */
    @Test
    public void sessionWithAnUnreadRequestIsNotEvicted() throws Exception {
        try (GatewayFixture gateway = new GatewayFixture()) {
            gateway.updateEndpointList("Ready");
            ScriptedClient[] all = new ScriptedClient[GatewayFixture.MAX_SESSIONS];
            for (int i = 0; i < all.length; i++) {
                all[i] = gateway.logInClient();
                all[i].send(ScriptedClient.packet(0, new byte[] {14}));
                ScriptedClient client = all[i];
                gateway.runUntil(() -> client.answers().size() == 1);
                gateway.clock.advance(Duration.ofMillis(5));
            }
            gateway.clock.advance(Duration.ofMillis(200));
            gateway.beforeNextConnection = () -> all[0].sendAndAwait(ScriptedClient.query("once", 1, 5000), 0);
            ScriptedClient next = gateway.connectClient();
            gateway.runUntil(() ->
                    gateway.engine.callCount("POST") == 1 && next.packets().size() == 1);
            assertFalse(all[0].isEnded());
            assertTrue(all[1].isEnded(), "the session that is idle longest, without a request, is evicted");
        }
    }
}
