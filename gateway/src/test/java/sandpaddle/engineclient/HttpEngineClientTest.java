package sandpaddle.engineclient;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotSame;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;
import sandpaddle.codec.MalformedHttpException;
import sandpaddle.eventloop.EventLoop;
import sandpaddle.query.AttemptEnd;
import sandpaddle.query.AttemptSpec;
import sandpaddle.query.EngineClient;

/** The engine client on real sockets: response decoding, limits, and what a failed connection proves. */
public class HttpEngineClientTest {
    private static ByteBuffer bytes(String text) {
        return ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    @Test
    public void responsesAreDecodedHoweverTheyAreSplit() throws Exception {
        String first = "HTTP/1.1 200 OK\r\nResult-Pages: 3\r\ncontent-length: 4\r\n\r\nab\nc";
        String chunked = "HTTP/1.1 100 -\r\n\r\nHTTP/1.1 202 \nTransfer-Encoding: chunked\n\n"
                + "2;x\r\nde\r\n1\r\nf\r\n0\r\n\r\n";
        ResponseDecoder decoder = new ResponseDecoder();
        List<Response> read = new ArrayList<>();
        for (char c : (first + chunked + "HTTP/1.1 204 -\r\n\r\n").toCharArray()) {
            Response response = decoder.decode(bytes(String.valueOf(c)));
            if (response != null) {
                read.add(response);
            }
        }
        assertEquals(read.stream().map(Response::status).toList(), List.of(200, 202, 204));
        assertEquals(new String(read.get(0).body(), StandardCharsets.UTF_8), "ab\nc");
        assertEquals(read.get(0).number("result-pages", 1), 3);
        assertEquals(new String(read.get(1).body(), StandardCharsets.UTF_8), "def");
    }

    /** Guards the memory limit and the rejection of bytes that are not a response. */
    @Test
    public void malformedOrOversizedResponsesAreRejected() {
        for (String s : List.of(
                "SSH-2.0-x\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n",
                "HTTP/1.1 200 OK\r\n: x\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: +3\r\n\r\n",
                "HTTP/1.1 200 OK\r\n\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n",
                "HTTP/1.1 200 OK\r\nA: " + "x".repeat(ResponseDecoder.MAX_HEAD_BYTES))) {
            assertThrows(MalformedHttpException.class, () -> new ResponseDecoder().decode(bytes(s)));
        }
    }

    private static final class RecordingListener implements EngineClient.AttemptListener {
        private final List<AttemptEnd> ends = new ArrayList<>();
        private int unreachableReports;

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

        AttemptEnd await(EventLoop loop) throws IOException {
            Instant deadline = Instant.now().plusSeconds(5);
            while (ends.isEmpty() && Instant.now().isBefore(deadline)) {
                loop.runTurn(() -> {}, Duration.ofMillis(50));
            }
            assertEquals(ends.size(), 1);
            return ends.get(0);
        }
    }

    private static AttemptSpec spec(EventLoop loop) {
        return new AttemptSpec(
                "00000000000000a1", "load", new byte[] {'x'}, 0, 1, loop.now().plusSeconds(4), true, false);
    }

    /** Guards the drain rule: an engine that starts to drain during the handshake receives no query. */
    @Test
    public void drainWhileConnectingPreventsTheWrite() throws Exception {
        try (ServerSocket engine = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            EventLoop loop = new EventLoop();
            HttpEngineClient engines = new HttpEngineClient(loop, Duration.ofMillis(250), Duration.ofSeconds(15), 10);
            InetSocketAddress at = (InetSocketAddress) engine.getLocalSocketAddress();
            engines.updateEngine("e", at, Instant.EPOCH, true, false);
            RecordingListener listener = new RecordingListener();
            engines.startAttempt("e", spec(loop), listener);
            engines.updateEngine("e", at, Instant.EPOCH, false, false);
            assertEquals(listener.await(loop).getClass(), AttemptEnd.NotStarted.class);
        }
    }

    /** A refused connection proves that nothing was written. */
    @Test
    public void refusedConnectionProvesThatNothingRan() throws Exception {
        InetSocketAddress closedPort;
        try (ServerSocket socket = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            closedPort = (InetSocketAddress) socket.getLocalSocketAddress();
        }
        EventLoop loop = new EventLoop();
        HttpEngineClient engines = new HttpEngineClient(loop, Duration.ofMillis(250), Duration.ofSeconds(15), 10);
        engines.updateEngine("e", closedPort, Instant.EPOCH, true, false);
        RecordingListener listener = new RecordingListener();
        engines.startAttempt("e", spec(loop), listener);
        assertEquals(listener.await(loop).getClass(), AttemptEnd.NotConnected.class);
    }

    /** Guards the limit on file descriptors. */
    @Test
    public void connectionsAreLimitedByDescriptors() throws Exception {
        try (ServerSocket engine = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            EventLoop loop = new EventLoop();
            HttpEngineClient engines = new HttpEngineClient(loop, Duration.ofMillis(250), Duration.ofSeconds(15), 1);
            engines.updateEngine("e", (InetSocketAddress) engine.getLocalSocketAddress(), Instant.EPOCH, true, false);
            RecordingListener first = new RecordingListener();
            RecordingListener second = new RecordingListener();
            engines.startAttempt("e", spec(loop), first);
            engines.startAttempt("e", spec(loop), second);
            assertEquals(second.await(loop).getClass(), AttemptEnd.NotStarted.class);
            assertEquals(first.ends, List.of());
        }
    }

    /** Guards the fleet's connection budget: it is not exceeded, and connections that ended are released. */
    @Test
    public void connectionsAreLimitedByTheBudget() throws Exception {
        int[] counts = new int[2]; // open now, released
        try (ServerSocket engine = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            EventLoop loop = new EventLoop();
            HttpEngineClient engines = new HttpEngineClient(loop, Duration.ofMillis(250), Duration.ofSeconds(15), 10);
            engines.setConnectionBudget(new ConnectionBudget() {
                @Override
                public boolean tryAcquire(String id, boolean control) {
                    boolean allowed = counts[0] < 1;
                    counts[0] += allowed ? 1 : 0;
                    return allowed;
                }

                @Override
                public void release(String id) {
                    counts[0]--;
                    counts[1]++;
                }
            });
            engines.updateEngine("e", (InetSocketAddress) engine.getLocalSocketAddress(), Instant.EPOCH, true, false);
            RecordingListener first = new RecordingListener();
            RecordingListener second = new RecordingListener();
            engines.startAttempt("e", spec(loop), first);
            engines.startAttempt("e", spec(loop), second);
            assertEquals(second.await(loop).getClass(), AttemptEnd.NotStarted.class);
            assertEquals(first.ends, List.of());
            engines.updateEngine("e", null, Instant.EPOCH, false, true);
            engine.accept().close();
            first.await(loop);
            assertEquals(counts, new int[] {0, 1});
        }
    }

    /** Guards against a memory leak, as ids are not reused; a successor at the same address gets its own pool. */
    @Test
    public void removedEngineIsForgotten() throws Exception {
        Instant[] time = {Instant.parse("2026-01-01T00:00:00Z")};
        EventLoop loop = new EventLoop(() -> time[0]);
        HttpEngineClient engines = new HttpEngineClient(loop, Duration.ofMillis(250), Duration.ofSeconds(15), 10);
        InetSocketAddress at = new InetSocketAddress(InetAddress.getLoopbackAddress(), 9);
        for (int i = 0; i < 100; i++) {
            engines.updateEngine("e" + i, at, Instant.EPOCH, true, false);
            assertNotSame(engines.pool("e" + i), i == 0 ? null : engines.pool("e" + (i - 1)));
            engines.updateEngine("e" + i, at, Instant.EPOCH, false, true);
            time[0] = time[0].plusSeconds(4);
            loop.runTurn(() -> {}, Duration.ZERO);
        }
        assertTrue(engines.size() <= 3, engines.size() + " engines are retained; expected at most 3");
    }

    @Test
    public void interimResponseIsSkipped() throws Exception {
        assertNull(new ResponseDecoder().decode(bytes("HTTP/1.1 100 Continue\r\n\r\n")));
    }
}
