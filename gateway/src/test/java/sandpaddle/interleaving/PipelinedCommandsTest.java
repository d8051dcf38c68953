package sandpaddle.interleaving;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import org.testng.annotations.Test;
import sandpaddle.app.GracefulShutdown;

/** Commands that are sent before the previous one was answered. Rows C1 to C5 of docs/design/crossings.md. */
public class PipelinedCommandsTest {
    private static final byte[] PING = ScriptedClient.packet(0, new byte[] {14});

    private static byte[] repeat(int count, byte[] packet) {
        byte[] all = new byte[count * packet.length];
        for (int i = 0; i < all.length; i++) {
            all[i] = packet[i % packet.length];
        }
        return all;
    }

    /** C1. Guards fairness: a client that sends thousands of commands at once does not delay the others. */
    @Test
    public void manyPipelinedCommandsDoNotDelayOtherClients() throws Exception {
        try (GatewayFixture gateway = new GatewayFixture()) {
            gateway.updateEndpointList("Ready");
            ScriptedClient many = gateway.logInClient();
            ScriptedClient one = gateway.logInClient();
            int count = 3000;
            many.sendAndAwait(repeat(count, PING), 0);
            one.sendAndAwait(PING, 0);
            gateway.runTurn();
            gateway.readPeers();
            assertEquals(one.answers(), List.of("ok"));
            int inOneTurn = many.answers().size();
            assertTrue(
                    inOneTurn > 0 && inOneTurn <= 64,
                    inOneTurn + " commands were handled in one turn; expected 1 to 64");
            gateway.runUntil(() -> many.answers().size() == count);
            assertEquals(many.answers(), Collections.nCopies(count, "ok"));
        }
    }

    /** C5. Guards fairness: one read after the other, each with few commands, made a turn as long as the input. */
    @Test
    public void longCommandsReadByAKillDoNotProlongTheTurn() throws Exception {
        for (int payloadBytes : new int[] {2_000, 60_000}) {
            try (GatewayFixture gateway = new GatewayFixture()) {
                gateway.updateEndpointList("Ready");
                ScriptedClient many = gateway.logInClient();
                ScriptedClient killer = gateway.logInClient();
                byte[] ping = ScriptedClient.packet(0, Arrays.copyOf(new byte[] {14}, payloadBytes));
                int count = 2_400_000 / payloadBytes;
                many.send(repeat(count, ping)); // more than a receive buffer: the rest follows as it is read
                killer.sendAndAwait(ScriptedClient.query("KILL QUERY " + many.connectionId()), 0);
                gateway.runTurn();
                gateway.readPeers();
                assertEquals(killer.answers(), List.of("ok"));
                int most = Math.min(64, 1 + 65_536 / payloadBytes);
                assertTrue(
                        many.answers().size() <= most,
                        many.answers().size() + " commands of " + payloadBytes + " bytes were handled in one turn");
                gateway.runUntil(() -> many.answers().size() == count);
            }
        }
    }

    /** C2. Guards against a late answer to a pipelined request whose timeout was counted from the previous answer. */
    @Test
    public void timeoutOfAPipelinedRequestStartsAtItsOwnLastByte() throws Exception {
        try (GatewayFixture gateway = new GatewayFixture()) {
            gateway.updateEndpointList("Ready");
            ScriptedClient client = gateway.logInClient();
            byte[] second = ScriptedClient.query("again", 2, 1000);
            client.send(ScriptedClient.concat(ScriptedClient.query("once", 1, 800), Arrays.copyOf(second, 40)));
            gateway.advance(Duration.ofMillis(300));
            client.send(Arrays.copyOfRange(second, 40, second.length));
            gateway.advance(Duration.ofMillis(960)); // the first one ends after 800 ms, the second one after 1300 ms
            assertEquals(client.answers().size(), 1);
            assertEquals(
                    gateway.engine.callCount("POST"), 2, "the second request is sent once the first one has ended");
            gateway.advance(Duration.ofMillis(100));
            assertEquals(client.answers().size(), 2, "no answer to the second request by its deadline");
            client.send(
                    ScriptedClient.concat(ScriptedClient.query("once", 3, 800), ScriptedClient.query("once", 4, 500)));
            gateway.advance(Duration.ofMillis(900));
            assertEquals(
                    client.answers().subList(2, 4),
                    List.of("1105", "1203"),
                    "the last request expired before it could be handled");
            gateway.advance(Duration.ofMillis(2500));
            assertEquals(client.answers().size(), 4);
            assertEquals(gateway.engine.callCount("POST"), 3);
        }
    }

    /** C3. Guards pipelined requests at a shutdown: each is answered before the process is killed. */
    @Test
    public void pipelinedRequestsAreAnsweredBeforeTheProcessIsKilled() throws Exception {
        try (GatewayFixture gateway = new GatewayFixture()) {
            gateway.updateEndpointList("Ready");
            ScriptedClient client = gateway.logInClient();
            client.send(ScriptedClient.concat(
                    ScriptedClient.query("once", 1, 15_000),
                    ScriptedClient.concat(
                            ScriptedClient.query("again", 2, 15_000), ScriptedClient.query("once", 3, 15_000))));
            gateway.runUntil(() -> gateway.engine.callCount("POST") == 1);
            gateway.shutdown.begin();
            gateway.advance(Duration.ofMillis(3600));
            assertEquals(client.answers(), List.of("1105", "1203", "1203"));
            assertEquals(gateway.engine.callCount("POST"), 1);
            assertEquals(gateway.shutdown.phase(), GracefulShutdown.ShutdownPhase.TERMINATED);
        }
    }
}
