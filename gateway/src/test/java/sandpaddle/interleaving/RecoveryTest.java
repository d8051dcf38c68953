package sandpaddle.interleaving;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Bounds the time from the recovery of the only engine until the gateway serves requests again. */
public class RecoveryTest {
    private static final Duration CLIENT_BACKOFF = Duration.ofMillis(500);
    private static final int CLIENT_TIMEOUT_MS = 2000;

    /** 20 s with little traffic, as in docs/operators/rare-moments.md, Back in service, and the connect timeout. */
    private static final Duration MAX_RECOVERY =
            Duration.ofSeconds(20).plusMillis(250).plus(CLIENT_BACKOFF);

    @DataProvider
    public Object[][] classes() {
        return new Object[][] {{"again"}, {"once"}, {"window"}};
    }

    private int lastTrace;

    /**
     * Sends one request and runs turns until its answer; returns whether it was served.
     *
     * @param answers whether the engine answers, at once, or not at all
     */
    private boolean isServed(GatewayFixture gateway, ScriptedClient client, String route, boolean answers)
            throws IOException {
        int before = client.answers().size();
        client.send(ScriptedClient.query(route, ++lastTrace, CLIENT_TIMEOUT_MS));
        while (client.answers().size() == before) {
            int calls = gateway.engine.receivedCalls().size();
            gateway.clock.advance(Duration.ofMillis(10));
            gateway.runTurn();
            gateway.readPeers();
            for (ScriptedEngine.Call call : gateway.engine
                    .receivedCalls()
                    .subList(calls, gateway.engine.receivedCalls().size())) {
                if (answers) {
                    gateway.engine.write(
                            call.connection(),
                            call.method().equals("DELETE") ? ScriptedEngine.NO_CONTENT : ScriptedEngine.ROWS);
                }
            }
        }
        return client.answers().get(before).equals("rows");
    }

    /** Time until a request is served, for a client that retries after a backoff. */
    private Duration untilServed(GatewayFixture gateway, ScriptedClient client, String route) throws IOException {
        Instant recoveredAt = gateway.clock.instant();
        while (!isServed(gateway, client, route, true)) {
            assertTrue(
                    Duration.between(recoveredAt, gateway.clock.instant()).compareTo(MAX_RECOVERY) <= 0,
                    "no request was served within " + MAX_RECOVERY);
            gateway.advance(CLIENT_BACKOFF);
        }
        return Duration.between(recoveredAt, gateway.clock.instant());
    }

    /** The only engine does not respond, then recovers: the next request is served. */
    @Test(dataProvider = "classes")
    public void engineThatDidNotRespondIsUsedAgain(String route) throws Exception {
        try (GatewayFixture gateway = new GatewayFixture()) {
            gateway.updateEndpointList("Ready");
            ScriptedClient client = gateway.logInClient();
            for (int i = 0; i < 4; i++) {
                assertFalse(isServed(gateway, client, route, false));
            }
            assertTrue(untilServed(gateway, client, route).compareTo(CLIENT_BACKOFF) < 0);
        }
    }

    /** The only engine refuses connections, then accepts them: it is tried again in time, by each request class. */
    @Test(dataProvider = "classes")
    public void engineThatRefusedConnectionsIsUsedAgain(String route) throws Exception {
        try (GatewayFixture gateway = new GatewayFixture()) {
            gateway.updateEndpointList("Ready");
            ScriptedClient client = gateway.logInClient();
            gateway.engine.crash();
            for (int i = 0; i < 4; i++) {
                assertFalse(isServed(gateway, client, route, false));
            }
            gateway.engine.restart();
            untilServed(gateway, client, route);
        }
    }
}
