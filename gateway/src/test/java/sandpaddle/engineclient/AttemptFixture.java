package sandpaddle.engineclient;

import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketException;
import java.nio.ByteBuffer;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import sandpaddle.eventloop.EventLoop;
import sandpaddle.interleaving.ManualClock;
import sandpaddle.query.AttemptEnd;
import sandpaddle.query.AttemptSpec;
import sandpaddle.query.EngineClient;

/** Runs attempts on a scripted engine: the test writes its bytes. The sockets are real, the clock is manual. */
abstract class AttemptFixture {
    static final String OK = "HTTP/1.1 200 -\r\nResult-Pages: 1\r\nContent-Length: 6\r\n\r\na\tb\tc\n";
    static final String DECLINED = "HTTP/1.1 503 -\r\nX-Declined: 1\r\nContent-Length: 0\r\n\r\n";
    static final String DELETED = "HTTP/1.1 204 -\r\n\r\n";

    static final class RecordingListener implements EngineClient.AttemptListener {
        final List<AttemptEnd> ends = new ArrayList<>();
        int unreachableReports;

        @Override
        public void onProgress(String topic, double value) {}

        @Override
        public void onUnreachable() {
            unreachableReports++;
        }

        @Override
        public void onEnd(AttemptEnd end) {
            ends.add(end);
        }
    }

    final ManualClock clock = new ManualClock();
    final List<SocketChannel> accepted = new ArrayList<>();
    final StringBuilder received = new StringBuilder();
    ServerSocketChannel listening;
    EventLoop loop;
    HttpEngineClient engines;
    int nextTraceId;

    @BeforeMethod
    public void listen() throws IOException {
        accepted.clear();
        received.setLength(0);
        listening = ServerSocketChannel.open();
        listening.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        listening.configureBlocking(false);
        loop = new EventLoop(clock);
        engines = new HttpEngineClient(loop, Duration.ofMillis(250), Duration.ofSeconds(15), 20);
        engines.updateEngine("e", (InetSocketAddress) listening.getLocalAddress(), Instant.EPOCH, true, false);
    }

    @AfterMethod
    public void close() throws IOException {
        listening.close();
        for (SocketChannel channel : accepted) {
            channel.close();
        }
    }

    static boolean hasEnded(SocketChannel channel) {
        try {
            return channel.read(ByteBuffer.allocate(16)) < 0;
        } catch (IOException e) {
            return true;
        }
    }

    /** Runs turns until a condition holds; fails after 5 s. */
    void runUntil(BooleanSupplier condition) throws IOException {
        long deadlineNs = System.nanoTime() + Duration.ofSeconds(5).toNanos();
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < deadlineNs, "condition not met within 5 s");
            runTurn();
        }
    }

    void runTurn() throws IOException {
        loop.runTurn(() -> {}, Duration.ofMillis(1));
        SocketChannel next = listening.isOpen() ? listening.accept() : null;
        if (next != null) {
            next.configureBlocking(false);
            accepted.add(next);
        }
        for (SocketChannel channel : accepted) {
            read(channel);
        }
    }

    /** Reads what has arrived; closes a connection that the gateway has reset. */
    private void read(SocketChannel channel) throws IOException {
        ByteBuffer bytes = ByteBuffer.allocate(4096);
        try {
            if (channel.isOpen() && channel.read(bytes) > 0) {
                received.append(StandardCharsets.ISO_8859_1.decode(bytes.flip()));
            }
        } catch (SocketException e) {
            channel.close();
        }
    }

    /** Advances the clock in steps of 10 ms, each followed by two turns that handle socket events. */
    void advance(Duration span) throws IOException {
        Instant end = clock.instant().plus(span);
        while (clock.instant().isBefore(end)) {
            clock.advance(Duration.ofMillis(10));
            runTurn();
            runTurn();
        }
    }

    EngineClient.AttemptHandle start(RecordingListener listener) {
        return start(listener, false);
    }

    EngineClient.AttemptHandle start(RecordingListener listener, boolean trial) {
        String trace = "00000000000000%02d".formatted(nextTraceId++);
        return engines.startAttempt(
                "e",
                new AttemptSpec(
                        trace, "load", new byte[] {'x'}, 0, 1, clock.instant().plusSeconds(9), true, trial),
                listener);
    }

    int postCount() {
        return callCount("POST ");
    }

    void respond(int connection) throws IOException {
        respond(connection, OK);
    }

    void respond(int connection, String bytes) throws IOException {
        accepted.get(connection).write(StandardCharsets.ISO_8859_1.encode(bytes));
    }

    /** Number of calls that start with a prefix, received on all connections. */
    int callCount(String prefix) {
        return received.toString().split(prefix, -1).length - 1;
    }
}
