package sandpaddle.interleaving;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;
import sandpaddle.mysql.MysqlFrontend;

/**
 * New connections: each is served or receives an error that the client can read. Rows N1 to N4 of
 * docs/design/crossings.md.
 */
public class NewConnectionTest {
    private static final String TOO_MANY = "1040";

    /** The error code in a packet: the first one on a connection, or one after the greeting. */
    private static String error(ScriptedClient client, int packet) {
        byte[] p = client.packets().get(packet);
        assertEquals(p[0] & 0xFF, 0xFF, "not an error packet");
        return Integer.toString(p[1] & 0xFF | (p[2] & 0xFF) << 8);
    }

    private static void fillSessions(GatewayFixture gateway) throws IOException {
        for (int i = 0; i < GatewayFixture.MAX_SESSIONS; i++) {
            gateway.logInClient().send(ScriptedClient.query("again", 100 + i, 5000));
        }
        gateway.settle();
    }

    /** N1. The error at the session limit is readable even if login and query arrived before the accept. */
    @Test
    public void errorAtTheSessionLimitIsReadByClientsThatHaveSentQueries() throws Exception {
        try (GatewayFixture gateway = new GatewayFixture()) {
            fillSessions(gateway); // each has an open query
            List<ScriptedClient> late = new ArrayList<>();
            for (int i = 0; i < 3 * MysqlFrontend.MAX_LINGERING; i++) {
                ScriptedClient client = gateway.connectClient();
                client.sendAndAwait(
                        ScriptedClient.concat(ScriptedClient.login(), ScriptedClient.query("once", 1 + i, 5000)), 0);
                late.add(client);
            }
            gateway.runUntil(() -> late.stream().allMatch(ScriptedClient::isEnded));
            for (ScriptedClient client : late) {
                assertFalse(client.isReset());
                assertEquals(client.packets().size(), 1);
                assertEquals(error(client, 0), TOO_MANY);
            }
        }
    }

    /** N2. Guards the first request of an evicted client: it is answered by an error, not only by a close. */
    @Test
    public void evictedClientWithoutACommandReceivesAnError() throws Exception {
        try (GatewayFixture gateway = new GatewayFixture()) {
            gateway.updateEndpointList("Ready");
            ScriptedClient silent = gateway.connectClient();
            gateway.runUntil(() -> silent.packets().size() == 1);
            ScriptedClient loggedIn = gateway.logInClient();
            ScriptedClient idle = gateway.logInClient();
            idle.send(ScriptedClient.packet(0, new byte[] {14}));
            ScriptedClient busy = gateway.logInClient();
            busy.send(ScriptedClient.query("once", 1, 5000));
            gateway.runUntil(() ->
                    gateway.engine.callCount("POST") == 1 && idle.answers().size() == 1);
            gateway.clock.advance(Duration.ofMillis(200));
            for (int i = 0; i < 3; i++) {
                ScriptedClient next = gateway.connectClient();
                next.send(ScriptedClient.concat(ScriptedClient.login(), ScriptedClient.query("once", 10 + i, 5000)));
                gateway.runUntil(() -> next.packets().size() == 2);
            }
            gateway.runUntil(() -> silent.isEnded() && loggedIn.isEnded() && idle.isEnded());
            assertEquals(error(silent, 1), TOO_MANY);
            assertEquals(silent.sequenceNumber(1), 2, "not the answer to the login");
            assertEquals(error(loggedIn, 2), TOO_MANY);
            assertEquals(loggedIn.sequenceNumber(2), 1, "not the answer to the first command");
            assertEquals(
                    idle.answers(),
                    List.of("ok"),
                    "a client that has had an answer retries a request that crosses the close");
        }
    }

    /** N3. The error for an incomplete packet has the sequence id of its answer: clients cannot read it otherwise. */
    @Test
    public void timeoutErrorHasTheSequenceIdThatTheClientExpects() throws Exception {
        try (GatewayFixture gateway = new GatewayFixture()) {
            ScriptedClient login = gateway.connectClient();
            login.send(java.util.Arrays.copyOf(ScriptedClient.login(), 20));
            ScriptedClient query = gateway.logInClient();
            query.send(java.util.Arrays.copyOf(ScriptedClient.query("once", 1, 5000), 20));
            gateway.advance(Duration.ofMillis(2100));
            assertTrue(login.isEnded() && query.isEnded());
            assertEquals(login.sequenceNumber(1), 2);
            assertEquals(query.sequenceNumber(2), 1);
        }
    }

    /** N4. Connections that are opened right before the shutdown are served, also those in the accept queue. */
    @Test
    public void connectionsOpenedRightBeforeTheShutdownAreServed() throws Exception {
        try (GatewayFixture gateway = new GatewayFixture()) {
            gateway.updateEndpointList("Ready");
            ScriptedClient accepted = gateway.connectClient();
            gateway.runUntil(() -> accepted.packets().size() == 1);
            ScriptedClient waiting = gateway.connectClient();
            waiting.sendAndAwait(ScriptedClient.login(), 0);
            gateway.shutdown.begin();
            accepted.send(ScriptedClient.concat(ScriptedClient.login(), ScriptedClient.query("once", 1, 5000)));
            gateway.runUntil(() -> gateway.engine.callCount("POST") == 1);
            gateway.engine.respond("POST", ScriptedEngine.ROWS);
            gateway.runUntil(() -> accepted.answers().equals(List.of("rows")));
            gateway.advance(Duration.ofMillis(600));
            waiting.send(ScriptedClient.query("once", 2, 5000));
            gateway.runUntil(() -> gateway.engine.callCount("POST") == 1);
            gateway.engine.respond("POST", ScriptedEngine.ROWS);
            gateway.runUntil(() -> waiting.answers().size() == 1);
            assertEquals(waiting.answers(), List.of("rows"));
        }
    }
}
