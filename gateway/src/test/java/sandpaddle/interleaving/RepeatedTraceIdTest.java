package sandpaddle.interleaving;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** A client leaves, and its trace id comes again. Rows L13 and L14 of docs/design/crossings.md. */
public class RepeatedTraceIdTest {
    private static final int TIMEOUT_MS = 7000;
    private static final String INVALID = "1064";

    private interface Departure {
        void leave(GatewayFixture gateway, ScriptedClient client) throws Exception;
    }

    @DataProvider
    public Object[][] departures() {
        Departure close = (gateway, client) -> client.disconnect();
        Departure kill = (gateway, client) ->
                gateway.logInClient().send(ScriptedClient.query("KILL QUERY " + client.connectionId()));
        return new Object[][] {{"again", close}, {"again", kill}, {"once", close}, {"once", kill}};
    }

    /** Sends the query with id 1 and runs it at the engine; then its client leaves, and the DELETE is not answered. */
    private static void leave(GatewayFixture gateway, String route, Departure departure) throws Exception {
        gateway.updateEndpointList("Ready");
        ScriptedClient client = gateway.logInClient();
        client.send(ScriptedClient.query(route, 1, TIMEOUT_MS));
        gateway.runUntil(() -> gateway.engine.callCount("POST") == 1);
        gateway.engine.respond("POST", ScriptedEngine.IN_PROGRESS);
        gateway.settle();
        departure.leave(gateway, client);
        gateway.settle();
        gateway.advance(Duration.ofMillis(60)); // until the connection of the response may carry another call
        gateway.runUntil(() -> gateway.engine.callCount("DELETE") == 1);
    }

    /** L13. Guards against two attempts at once: the engine may run the first one until it has confirmed its DELETE. */
    @Test(dataProvider = "departures")
    public void idIsNotSentAgainBeforeItsAttemptIsProvenOver(String route, Departure departure) throws Exception {
        try (GatewayFixture gateway = new GatewayFixture()) {
            leave(gateway, route, departure);
            int posts = gateway.engine.callCount("POST");
            ScriptedClient next = gateway.logInClient();
            next.send(ScriptedClient.query(route, 1, TIMEOUT_MS));
            gateway.settle();
            assertEquals(next.answers(), List.of(INVALID));
            assertEquals(gateway.engine.callCount("POST"), posts);
        }
    }

    /**
     * L14. Guards a load against a second run; a query that may be repeated runs again once the first attempt is over.
     */
    @Test(dataProvider = "departures")
    public void idOfALoadThatMayHaveRunIsNotSentAgain(String route, Departure departure) throws Exception {
        try (GatewayFixture gateway = new GatewayFixture()) {
            leave(gateway, route, departure);
            gateway.engine.respond("DELETE", ScriptedEngine.NO_CONTENT);
            gateway.settle();
            gateway.advance(Duration.ofMillis(100));
            ScriptedClient next = gateway.logInClient();
            int posts = gateway.engine.callCount("POST");
            next.send(ScriptedClient.query(route, 1, TIMEOUT_MS));
            gateway.settle();
            boolean isLoad = route.equals("once");
            assertEquals(next.answers(), isLoad ? List.of(INVALID) : List.of());
            assertEquals(gateway.engine.callCount("POST") - posts, isLoad ? 0 : 1);
        }
    }
}
