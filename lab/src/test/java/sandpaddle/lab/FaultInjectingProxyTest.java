package sandpaddle.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import sandpaddle.eventloop.Acceptor;
import sandpaddle.eventloop.Connection;
import sandpaddle.eventloop.EventLoop;

/** Checks each fault of the proxy between two ends, with a clock that advances only when set. */
class FaultInjectingProxyTest {
    private static final int TURNS = 20_000;

    /** Records what an end receives. */
    private static final class RecordingListener implements Connection.Listener {
        private final StringBuilder received = new StringBuilder();
        private boolean closed;

        @Override
        public void onReceived(ByteBuffer bytes) {
            received.append(StandardCharsets.US_ASCII.decode(bytes));
        }

        @Override
        public void onClosed(Exception cause) {
            closed = true;
        }
    }

    private Instant now = Instant.EPOCH;
    private final EventLoop loop;
    private final Acceptor target;
    private final RecordingListener client = new RecordingListener();
    private final RecordingListener server = new RecordingListener();
    private Connection clientConnection;
    private Connection serverConnection;
    private FaultInjectingProxy proxy;

    FaultInjectingProxyTest() throws IOException {
        loop = new EventLoop(() -> now);
        target = new Acceptor(loop, Loopback.at(0), c -> {
            serverConnection = c;
            c.setListener(server);
        });
    }

    private void open(boolean framed) throws IOException {
        proxy = new FaultInjectingProxy(loop, target.address(), new SplittableRandom(7), framed);
        clientConnection = Connection.open(loop, EventLoop.HandlerPriority.CLIENT, proxy.address(), client);
        runUntil(() -> serverConnection != null);
    }

    @AfterEach
    void close() {
        proxy.close();
        target.close();
    }

    private void runUntil(BooleanSupplier reached) throws IOException {
        for (int i = 0; i < TURNS && !reached.getAsBoolean(); i++) {
            loop.runTurn(() -> {}, Duration.ofMillis(1));
        }
        assertTrue(
                reached.getAsBoolean(),
                "received at the client '" + client.received + "', at the server '" + server.received + "'");
    }

    private static byte[] frame(String body) {
        byte[] b = body.getBytes(StandardCharsets.US_ASCII);
        return ByteBuffer.allocate(4 + b.length).putInt(b.length).put(b).array();
    }

    private void send(Connection from, String text) {
        from.write(text.getBytes(StandardCharsets.US_ASCII));
    }

    @Test
    void forwardsBothDirectionsWithoutFaults() throws IOException {
        open(false);
        send(clientConnection, "to");
        send(serverConnection, "fro");
        runUntil(() -> server.received.toString().equals("to")
                && client.received.toString().equals("fro"));
    }

    @Test
    void keepsOtherDirectionWhenOneIsCut() throws IOException {
        open(false);
        proxy.toTarget.cut = true;
        send(clientConnection, "to");
        send(serverConnection, "fro");
        runUntil(() -> client.received.toString().equals("fro"));
        assertEquals("", server.received.toString());
    }

    @Test
    void hidesCloseDuringCutAndResetsOnHeal() throws IOException {
        open(false);
        proxy.toTarget.cut = true;
        proxy.fromTarget.cut = true;
        send(serverConnection, "x");
        serverConnection.close();
        clientConnection.write(new byte[] {1});
        for (int i = 0; i < 50; i++) {
            loop.runTurn(() -> {}, Duration.ofMillis(1));
        }
        assertEquals("", client.received.toString());
        assertEquals(false, client.closed);
        proxy.heal();
        runUntil(() -> client.closed);
    }

    @Test
    void deliversDelayedBytesWhenDue() throws IOException {
        open(false);
        proxy.toTarget.delay = Duration.ofSeconds(2);
        send(clientConnection, "late");
        // received at once: by then the delayed direction has been read too, or is read in the turns below
        send(serverConnection, "mark");
        runUntil(() -> client.received.toString().equals("mark"));
        for (int i = 0; i < 50; i++) {
            loop.runTurn(() -> {}, Duration.ofMillis(1));
        }
        assertEquals("", server.received.toString());
        now = now.plusSeconds(2);
        runUntil(() -> server.received.toString().equals("late"));
    }

    @Test
    void throttlesByBytesPerSecond() throws IOException {
        open(false);
        proxy.toTarget.bytesPerSecond = 10;
        send(clientConnection, "0123456789");
        for (int i = 0; i < 50; i++) {
            loop.runTurn(() -> {}, Duration.ofMillis(1));
        }
        assertEquals("", server.received.toString());
        now = now.plusSeconds(1);
        runUntil(() -> server.received.length() == 10);
    }

    @Test
    void dropsFramesExceptHandshake() throws IOException {
        open(true);
        proxy.toTarget.dropProbability = 1;
        clientConnection.write(frame("hello"));
        clientConnection.write(frame("gone"));
        proxy.fromTarget.dropProbability = 0;
        runUntil(() -> server.received.toString().endsWith("hello"));
        proxy.toTarget.dropProbability = 0;
        clientConnection.write(frame("end"));
        runUntil(() -> server.received.toString().endsWith("end"));
        assertEquals(false, server.received.toString().contains("gone"));
    }

    @Test
    void duplicatesFramesExceptHandshake() throws IOException {
        open(true);
        proxy.toTarget.duplicateProbability = 1;
        clientConnection.write(frame("hello"));
        clientConnection.write(frame("two"));
        String doubled = new String(frame("two"), StandardCharsets.US_ASCII).repeat(2);
        runUntil(() ->
                server.received.toString().equals(new String(frame("hello"), StandardCharsets.US_ASCII) + doubled));
    }

    @Test
    void hidesCloseFromRemainingEndWhenHalfOpen() throws IOException {
        open(false);
        send(clientConnection, "up");
        runUntil(() -> server.received.toString().equals("up"));
        proxy.makeHalfOpen(true);
        runUntil(() -> server.closed);
        send(clientConnection, "into nothing");
        for (int i = 0; i < 50; i++) {
            loop.runTurn(() -> {}, Duration.ofMillis(1));
        }
        assertEquals(false, client.closed);
        assertEquals("up", server.received.toString());
        proxy.heal();
        runUntil(() -> client.closed);
    }
}
