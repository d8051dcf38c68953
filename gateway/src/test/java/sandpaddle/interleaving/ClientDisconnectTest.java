package sandpaddle.interleaving;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;
import org.testng.annotations.Test;

/**
 * No attempt is sent for a client that has disconnected or killed its query, at whatever point of a turn that happens.
 * Rows L1 to L12 of docs/design/crossings.md.
 */
public class ClientDisconnectTest {

    /** Leaves an idle connection to the engine, on which an attempt is written without a handshake. */
    private static void openIdleEngineConnection(GatewayFixture gateway) throws IOException {
        ScriptedClient client = gateway.logInClient();
        client.send(ScriptedClient.query("once", 9, 5000));
        gateway.runUntil(() -> gateway.engine.callCount("POST") == 1);
        gateway.engine.respond("POST", ScriptedEngine.ROWS);
        gateway.runUntil(() -> client.answers().equals(List.of("rows")));
        gateway.clock.advance(Duration.ofMillis(100));
    }

    /** L1. Guards against an undetected disconnect: the FIN is behind pipelined bytes that were left unread. */
    @Test
    public void disconnectBehindPipelinedBytesIsDetectedWhileTheQueryWaits() throws Exception {
        try (GatewayFixture gateway = new GatewayFixture()) {
            ScriptedClient client = gateway.logInClient();
            client.send(ScriptedClient.query("again", 1, 5000));
            gateway.runUntil(() -> !gateway.dispatcher.isIdle());
            for (int i = 0; i < 40; i++) {
                client.send(ScriptedClient.query("x".repeat(10_000)));
                gateway.runTurn();
            }
            client.halfCloseAndAwait();
            gateway.settle();
            assertTrue(gateway.dispatcher.isIdle(), "a request of a disconnected client is still active");
            gateway.updateEndpointList("Ready");
            gateway.settle();
            assertEquals(gateway.engine.callCount("POST"), 0);
        }
    }

    /** L2. Guards against an attempt for a request that arrived together with the client's FIN. */
    @Test
    public void requestThatArrivesWithTheFinIsNotSent() throws Exception {
        for (boolean half : new boolean[] {true, false}) {
            try (GatewayFixture gateway = new GatewayFixture()) {
                gateway.updateEndpointList("Ready");
                ScriptedClient client = gateway.logInClient();
                client.sendAndAwait(ScriptedClient.query("once", 1, 5000), 0);
                if (half) {
                    client.halfCloseAndAwait();
                } else {
                    client.disconnectAndAwait();
                }
                gateway.settle();
                assertEquals(gateway.engine.callCount("POST"), 0);
                assertTrue(gateway.dispatcher.isIdle());
            }
        }
    }

    /** L3. Guards a long turn: the client disconnects after it was read and before the attempt is written. */
    @Test
    public void noAttemptAfterDisconnectDuringTheTurn() throws Exception {
        try (GatewayFixture gateway = new GatewayFixture()) {
            gateway.updateEndpointList("Ready");
            openIdleEngineConnection(gateway);
            ScriptedClient client = gateway.logInClient();
            client.sendAndAwait(ScriptedClient.query("once", 1, 5000), 0);
            gateway.runTurn(client::disconnectAndAwait);
            gateway.settle();
            assertEquals(gateway.engine.callCount("POST"), 0);
            assertEquals(gateway.engine.connectionCount(), 1);
            assertTrue(gateway.dispatcher.isIdle());
        }
    }

    /** L4. Guards against an attempt when its connection is established in the turn in which the client disconnects. */
    @Test
    public void noAttemptAfterDisconnectWhileConnecting() throws Exception {
        try (GatewayFixture gateway = new GatewayFixture()) {
            gateway.updateEndpointList("Ready");
            ScriptedClient client = gateway.logInClient();
            client.sendAndAwait(ScriptedClient.query("once", 1, 5000), 0);
            gateway.runTurn(); // starts to connect in this turn; the next one sees the connection established
            client.disconnectAndAwait();
            gateway.settle();
            assertEquals(gateway.engine.connectionCount(), 1);
            assertEquals(gateway.engine.callCount("POST"), 0);
            assertTrue(gateway.dispatcher.isIdle());
        }
    }

    /** L5. The same for a KILL, which arrives on another connection together with its login. */
    @Test
    public void killWhileConnectingPreventsTheAttempt() throws Exception {
        try (GatewayFixture gateway = new GatewayFixture()) {
            gateway.updateEndpointList("Ready");
            ScriptedClient client = gateway.logInClient();
            client.sendAndAwait(ScriptedClient.query("once", 1, 5000), 0);
            gateway.runTurn();
            ScriptedClient killer = gateway.connectClient();
            killer.send(ScriptedClient.concat(
                    ScriptedClient.login(), ScriptedClient.query("KILL QUERY " + client.connectionId())));
            gateway.settle();
            assertEquals(killer.answers(), List.of("ok"));
            assertEquals(client.answers(), List.of("1317"));
            assertEquals(gateway.engine.callCount("POST"), 0);
        }
    }

    /** L10. Guards against the loss of a KILL that is read before the query, which arrived earlier. */
    @Test
    public void killEndsAnEarlierQueryThatIsReadAfterIt() throws Exception {
        try (GatewayFixture gateway = new GatewayFixture()) {
            ScriptedClient client = gateway.logInClient();
            ScriptedClient killer = gateway.connectClient();
            gateway.beforeNextConnection = () -> { // clients were already read in this turn
                client.sendAndAwait(ScriptedClient.query("once", 1, 5000), 0);
                killer.sendAndAwait(
                        ScriptedClient.concat(
                                ScriptedClient.login(), ScriptedClient.query("KILL QUERY " + client.connectionId())),
                        0);
            };
            gateway.settle();
            assertEquals(killer.answers(), List.of("ok"));
            gateway.updateEndpointList("Ready");
            gateway.settle();
            assertEquals(gateway.engine.callCount("POST"), 0);
            assertEquals(client.answers(), List.of("1317"));
        }
    }

    /** L12. Guards against a stack overflow: each KILL reads the next client, which has sent a KILL too. */
    @Test
    public void chainOfKillsIsExecutedOnASmallStack() throws Exception {
        int count = 300;
        try (GatewayFixture gateway = new GatewayFixture(count)) {
            List<ScriptedClient> clients = new ArrayList<>();
            for (int i = 0; i < count; i++) {
                clients.add(gateway.logInClient());
            }
            for (int i = 0; i < count; i++) {
                int next = clients.get((i + 1) % count).connectionId();
                clients.get(i).sendAndAwait(ScriptedClient.query("KILL QUERY " + next), 0);
            }
            AtomicReference<Throwable> failure = new AtomicReference<>();
            Thread loop = new Thread(null, () -> runTurn(gateway, failure), "small stack", 192 * 1024);
            loop.start();
            loop.join();
            assertNull(failure.get());
            gateway.settle();
            for (ScriptedClient client : clients) {
                assertEquals(client.answers(), List.of("ok"));
            }
        }
    }

    private static void runTurn(GatewayFixture gateway, AtomicReference<Throwable> failure) {
        try {
            gateway.runTurn();
        } catch (IOException | StackOverflowError e) {
            failure.set(e);
        }
    }

    /** L11. Guards a long turn: a KILL that arrives during it is handled before the attempt is written. */
    @Test
    public void killDuringALongTurnPreventsTheAttempt() throws Exception {
        for (boolean accepted : new boolean[] {false, true}) {
            try (GatewayFixture gateway = new GatewayFixture()) {
                gateway.updateEndpointList("Ready");
                openIdleEngineConnection(gateway);
                ScriptedClient client = gateway.logInClient();
                ScriptedClient killer = gateway.connectClient();
                if (accepted) { // the session of the KILL was opened in an earlier turn
                    gateway.runUntil(() -> killer.packets().size() == 1);
                }
                client.sendAndAwait(ScriptedClient.query("once", 1, 5000), 0);
                gateway.runTurn(() -> {
                    killer.sendAndAwait(
                            ScriptedClient.concat(
                                    ScriptedClient.login(),
                                    ScriptedClient.query("KILL QUERY " + client.connectionId())),
                            0);
                    gateway.clock.advance(Duration.ofMillis(110));
                });
                gateway.settle();
                assertEquals(killer.answers(), List.of("ok"));
                assertEquals(client.answers(), List.of("1317"));
                assertEquals(gateway.engine.callCount("POST"), 0, "attempt sent more than 0.1 s after the KILL");
            }
        }
    }

    /** L6. Guards the drain rule when the drain is listed in the turn in which the connection is established. */
    @Test
    public void noAttemptOnAnEngineThatDrainsWhileConnecting() throws Exception {
        try (GatewayFixture gateway = new GatewayFixture()) {
            gateway.updateEndpointList("Ready");
            ScriptedClient client = gateway.logInClient();
            client.sendAndAwait(ScriptedClient.query("once", 1, 5000), 0);
            gateway.runTurn();
            gateway.updateEndpointList("Terminating");
            gateway.settle();
            assertEquals(gateway.engine.connectionCount(), 1);
            assertEquals(gateway.engine.callCount("POST"), 0);
            gateway.updateEndpointList("Gone");
        }
    }

    /** L7. Guards a burst of disconnects: all are handled in one turn, whatever else is ready. */
    @Test
    public void burstOfDisconnectsEmptiesTheQueue() throws Exception {
        try (GatewayFixture gateway = new GatewayFixture()) {
            ScriptedClient[] all = new ScriptedClient[GatewayFixture.MAX_SESSIONS];
            for (int i = 0; i < all.length; i++) {
                all[i] = gateway.logInClient();
                all[i].send(ScriptedClient.query("again", 1 + i, 5000));
            }
            gateway.settle();
            for (ScriptedClient client : all) {
                client.disconnectAndAwait();
            }
            gateway.updateEndpointList("Ready");
            gateway.runTurn();
            assertTrue(gateway.dispatcher.isIdle());
            gateway.settle();
            assertEquals(gateway.engine.callCount("POST"), 0);
        }
    }

    /** L8. Commands beyond the pipelining limit are discarded: the session ends after the pending answer. */
    @Test
    public void sessionOverThePipeliningLimitEndsWithAnErrorAfterItsAnswer() throws Exception {
        try (GatewayFixture gateway = new GatewayFixture()) {
            gateway.updateEndpointList("Ready");
            ScriptedClient client = gateway.logInClient();
            client.send(ScriptedClient.query("once", 1, 5000));
            gateway.runUntil(() -> gateway.engine.callCount("POST") == 1);
            for (int i = 0; i < 40; i++) {
                client.send(ScriptedClient.query("x".repeat(10_000)));
                gateway.runTurn();
            }
            gateway.engine.respond("POST", ScriptedEngine.ROWS);
            gateway.runUntil(client::isEnded);
            assertEquals(client.answers(), List.of("rows", "1153"));
            assertTrue(!client.isReset(), "the connection was reset before the answer was read");
        }
    }
}
