package sandpaddle.engineclient;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.Test;
import sandpaddle.query.AttemptEnd;

/**
 * Connections that are established late although their engine is healthy. A listener with a full backlog delays one:
 * the first SYN is dropped, and the kernel retransmits it a second later.
 */
public class LateConnectionTest extends AttemptFixture {
    private final List<SocketChannel> fillers = new ArrayList<>();

    /** Replaces the listener by one with a backlog of one, and fills that. */
    private void fillBacklog() throws IOException {
        listening.close();
        listening = ServerSocketChannel.open();
        listening.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 1);
        listening.configureBlocking(false);
        engines.updateEngine("e", (InetSocketAddress) listening.getLocalAddress(), Instant.EPOCH, true, false);
        refillBacklog();
    }

    private void refillBacklog() throws IOException {
        for (int i = 0; i < 2; i++) { // the kernel accepts one more than the backlog
            fillers.add(SocketChannel.open(listening.getLocalAddress()));
        }
    }

    private void acceptFillers() throws IOException {
        for (int i = 0; i < 2; i++) {
            listening.accept().close();
        }
    }

    /** Advances the clock without accepting connections from the backlog. */
    private void advanceWithoutAccepting(Duration span) throws IOException {
        Instant end = clock.instant().plus(span);
        while (clock.instant().isBefore(end)) {
            clock.advance(Duration.ofMillis(10));
            loop.runTurn(() -> {}, Duration.ofMillis(1));
        }
    }

    @AfterMethod
    public void closeFillers() throws IOException {
        for (SocketChannel channel : fillers) {
            channel.close();
        }
        fillers.clear();
    }

    /** Guards against a failed attempt because of one lost SYN. */
    @Test
    public void secondConnectionIsOpenedIfTheFirstIsLate() throws Exception {
        fillBacklog();
        RecordingListener listener = new RecordingListener();
        start(listener);
        advanceWithoutAccepting(Duration.ofMillis(20));
        acceptFillers();
        advance(Duration.ofMillis(100));
        runUntil(() -> postCount() == 1);
        assertEquals(accepted.size(), 1);
        assertEquals(listener.ends, List.of());
        runUntil(() -> accepted.size() == 2); // the first one, which carries no call
        assertEquals(postCount(), 1);
    }

    /** Guards against needless handshakes. */
    @Test
    public void lateConnectionServesTheNextQuery() throws Exception {
        fillBacklog();
        RecordingListener first = new RecordingListener();
        start(first);
        advanceWithoutAccepting(Duration.ofMillis(300));
        assertEquals(first.ends.get(0).getClass(), AttemptEnd.NotConnected.class);
        acceptFillers();
        runUntil(() -> accepted.size() == 2); // both connections that were opened
        RecordingListener trial = new RecordingListener();
        start(trial, true);
        advance(Duration.ofMillis(60));
        runUntil(() -> postCount() == 1);
        assertEquals(accepted.size(), 2);
    }

    /** Guards against the ejection of an engine that responds on another connection. */
    @Test
    public void lateConnectionToALiveEngineIsNoEngineFault() throws Exception {
        fillBacklog();
        acceptFillers();
        RecordingListener running = new RecordingListener();
        start(running);
        runUntil(() -> postCount() == 1);
        refillBacklog();
        RecordingListener second = new RecordingListener();
        start(second);
        advanceWithoutAccepting(Duration.ofMillis(200));
        respond(0, "HTTP/1.1 202 -\r\nContent-Length: 0\r\n\r\n");
        advanceWithoutAccepting(Duration.ofMillis(100));
        assertEquals(second.ends.get(0).getClass(), AttemptEnd.NotStarted.class);
        assertEquals(running.ends, List.of());
    }

    /** A query that waits for a new connection uses one that is released meanwhile. */
    @Test
    public void releasedConnectionServesAWaitingRequest() throws Exception {
        fillBacklog();
        acceptFillers();
        RecordingListener running = new RecordingListener();
        start(running);
        runUntil(() -> postCount() == 1);
        refillBacklog();
        RecordingListener second = new RecordingListener();
        start(second);
        advanceWithoutAccepting(Duration.ofMillis(20));
        respond(0);
        advanceWithoutAccepting(Duration.ofMillis(120));
        acceptFillers();
        runUntil(() -> postCount() == 2);
        assertEquals(running.ends.get(0).getClass(), AttemptEnd.Completed.class);
        assertEquals(accepted.size(), 1);
    }
}
