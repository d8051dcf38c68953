package sandpaddle.interleaving;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import org.testng.annotations.Test;

/** Retries at the end of the deduplication window and at the deadline. Rows R1 and R2 of docs/design/crossings.md. */
public class RetryWindowTest {

    /** R1. Guards against a retry that was decided in the window and whose connection is established after it. */
    @Test
    public void retryIsNotSentAfterItsDeduplicationWindow() throws Exception {
        for (int delayMs : new int[] {50, 240}) {
            try (GatewayFixture gateway = new GatewayFixture()) {
                gateway.updateEndpointList("Ready");
                ScriptedClient client = gateway.logInClient();
                client.send(ScriptedClient.query("window", 1, 9000));
                gateway.runUntil(() -> gateway.engine.callCount("POST") == 1);
                gateway.clock.advance(Duration.ofMillis(250)); // the window is 400 ms
                gateway.engine.respond("POST", ScriptedEngine.FAILED);
                gateway.settle(); // the retry is decided and waits for a connection
                gateway.clock.advance(Duration.ofMillis(delayMs));
                gateway.settle();
                assertEquals(gateway.engine.callCount("POST"), delayMs < 150 ? 1 : 0, "after " + delayMs + " ms");
            }
        }
    }

    /** R2. Guards against wasted work: the connection is established in the turn in which the deadline passes. */
    @Test
    public void attemptIsNotSentAfterTheDeadline() throws Exception {
        try (GatewayFixture gateway = new GatewayFixture()) {
            gateway.updateEndpointList("Ready");
            ScriptedClient client = gateway.logInClient();
            client.sendAndAwait(ScriptedClient.query("once", 1, 600), 0);
            gateway.clock.advance(Duration.ofMillis(1)); // connects in the next turn, which succeeds at once
            gateway.runTurn();
            gateway.clock.advance(Duration.ofMillis(601));
            gateway.settle();
            assertEquals(gateway.engine.connectionCount(), 1);
            assertEquals(gateway.engine.callCount("POST"), 0);
            assertEquals(client.answers().size(), 1);
        }
    }
}
