package sandpaddle.interleaving;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Usual clients beside many that send much at once. Rows C6 to C9 of docs/design/crossings.md. */
public class ClientCrowdTest {
    private static final int CLIENTS = 30;
    private static final int STATEMENT_BYTES = 60_000;
    /** A turn has 256 KB for clients beyond their allowance; the statement that reaches this is handled. */
    private static final int MAX_STATEMENTS_IN_A_TURN = 256 * 1024 / STATEMENT_BYTES + 1;

    private static final byte[] PING = ScriptedClient.packet(0, new byte[] {14});

    @DataProvider
    public Object[][] commands() {
        return new Object[][] {
            {"#\n".repeat(STATEMENT_BYTES / 2), "1064"},
            {"/*" + "a=1,".repeat(STATEMENT_BYTES / 4) + "*/SELECT 1", "1064"},
            {"SET " + "x".repeat(STATEMENT_BYTES), "ok"},
        };
    }

    private static int answers(List<ScriptedClient> clients) {
        return clients.stream().mapToInt(client -> client.answers().size()).sum();
    }

    /** Runs turns until all have their answers; returns the largest number of answers that were given in one turn. */
    private static int mostAnswersInATurn(GatewayFixture gateway, List<ScriptedClient> clients, int all)
            throws IOException {
        int most = 0;
        for (int before = 0; before < all; before = answers(clients)) {
            gateway.runTurn();
            gateway.readPeers();
            most = Math.max(most, answers(clients) - before);
        }
        return most;
    }

    /** C6. Guards usual clients: a turn handled all that a crowd had sent, which took longer than they wait. */
    @Test(dataProvider = "commands", timeOut = 60_000)
    public void statementsOfACrowdDoNotDelayAShortCommand(String statement, String answer) throws Exception {
        try (GatewayFixture gateway = new GatewayFixture(CLIENTS + 1)) {
            gateway.updateEndpointList("Ready");
            List<ScriptedClient> crowd = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                crowd.add(gateway.logInClient());
            }
            ScriptedClient usual = gateway.logInClient();
            for (ScriptedClient client : crowd) {
                client.sendAndAwait(ScriptedClient.query(statement), 0);
            }
            usual.sendAndAwait(PING, 0);
            gateway.runTurn();
            gateway.readPeers();
            assertEquals(usual.answers(), List.of("ok"));
            int inFirstTurn = answers(crowd);
            int most = Math.max(inFirstTurn, mostAnswersInATurn(gateway, crowd, CLIENTS));
            assertTrue(most <= MAX_STATEMENTS_IN_A_TURN, most + " statements were handled in one turn");
            for (ScriptedClient client : crowd) {
                assertEquals(client.answers(), List.of(answer));
            }
        }
    }

    /** C7. Guards usual clients: who connects anew for each statement must not always be before them. */
    @Test(timeOut = 60_000)
    public void statementsOnNewConnectionsDoNotDelayAShortCommand() throws Exception {
        try (GatewayFixture gateway = new GatewayFixture(CLIENTS + 1)) {
            gateway.updateEndpointList("Ready");
            ScriptedClient usual = gateway.logInClient();
            byte[] statement = ScriptedClient.query("#\n".repeat(STATEMENT_BYTES / 2));
            List<ScriptedClient> crowd = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                crowd.add(gateway.connectClient());
                crowd.get(i).send(ScriptedClient.concat(ScriptedClient.login(), statement));
            }
            int pings = 0;
            while (answers(crowd) < CLIENTS) {
                int before = answers(crowd);
                usual.sendAndAwait(PING, 0);
                gateway.clock.advance(Duration.ofMillis(20));
                gateway.runTurn();
                gateway.readPeers();
                assertEquals(usual.answers(), Collections.nCopies(++pings, "ok"));
                int handled = answers(crowd) - before;
                assertTrue(handled <= MAX_STATEMENTS_IN_A_TURN, handled + " statements were handled in one turn");
            }
        }
    }

    /** C9. Guards the connections of usual clients: those of who has gone took their place until they were handled. */
    @Test(timeOut = 60_000)
    public void closeOfAClientIsNoticedWhileItsStatementIsDeferred() throws Exception {
        try (GatewayFixture gateway = new GatewayFixture(CLIENTS)) {
            gateway.updateEndpointList("Ready");
            List<ScriptedClient> crowd = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                crowd.add(gateway.logInClient());
            }
            for (ScriptedClient client : crowd) {
                client.sendAndAwait(ScriptedClient.query("#\n".repeat(STATEMENT_BYTES / 4)), 0);
                client.halfCloseAndAwait();
            }
            for (int i = 0; i < 2; i++) {
                gateway.runTurn();
            }
            ScriptedClient usual = gateway.connectClient();
            usual.send(ScriptedClient.concat(ScriptedClient.login(), PING));
            gateway.settle();
            assertEquals(usual.answers(), List.of("ok"));
            assertTrue(answers(crowd) < CLIENTS, "statements of clients that had gone were handled");
        }
    }

    /** C8. Guards against an attempt for a client that has gone: its close may be behind more than is read of it. */
    @Test(timeOut = 60_000)
    public void queryOfAClientThatSendsFasterThanItIsReadIsNotStarted() throws Exception {
        try (GatewayFixture gateway = new GatewayFixture()) {
            gateway.updateEndpointList("Ready");
            ScriptedClient client = gateway.logInClient();
            byte[] behind = new byte[1_000_000];
            client.send(ScriptedClient.concat(ScriptedClient.query("once", 1, 1000), behind));
            client.halfClose();
            gateway.settle();
            assertEquals(client.answers(), List.of("1153"));
            assertEquals(gateway.engine.callCount("POST"), 0);
            gateway.runUntil(client::isEnded);
        }
    }
}
