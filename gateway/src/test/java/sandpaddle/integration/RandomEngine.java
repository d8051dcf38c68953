package sandpaddle.integration;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Engine stand-in with random faults: lost responses, reset connections and network partitions, drawn from a seeded
 * generator. It runs in the thread and the virtual time of the test, and counts the runs of each query by its trace
 * id.
 */
final class RandomEngine implements AutoCloseable {
    private static final Duration POLL_HOLD_TIME = Duration.ofMillis(250);
    private static final String DECLINED = "HTTP/1.1 503 -\r\nX-Declined: 1\r\nContent-Length: 0\r\n\r\n";
    private static final String ERROR = "HTTP/1.1 500 -\r\nContent-Length: 0\r\n\r\n";
    private static final String STILL_RUNNING = "HTTP/1.1 202 -\r\nContent-Length: 0\r\n\r\n";
    private static final String NO_CONTENT = "HTTP/1.1 204 -\r\n\r\n";
    private static final String OK = "HTTP/1.1 200 -\r\nResult-Pages: 1\r\nContent-Length: 6\r\n\r\na\tb\tc\n";

    /**
     * Rates of faults, each per 1,000 calls unless stated otherwise.
     *
     * @param connectionTableFull connections, per 1,000, on which every call is declined
     * @param declined runs that are declined without running
     * @param error runs that end in an error
     * @param responseLost responses that are lost by a reset of the connection
     * @param resetBeforeProcessing calls whose connection is reset before they are processed
     * @param processedLate POSTs that are processed up to 4 s later, some of them after a reset of the connection
     * @param partitionsPerMinute network partitions per minute of virtual time
     */
    record FaultRates(
            int connectionTableFull,
            int declined,
            int error,
            int responseLost,
            int resetBeforeProcessing,
            int processedLate,
            int partitionsPerMinute) {}

    private enum Outcome {
        COMPLETES,
        DECLINED,
        ERROR
    }

    private static final class Run {
        private final Outcome outcome;
        private final Instant endsAt;
        private boolean deleted;

        Run(Outcome outcome, Instant endsAt) {
            this.outcome = outcome;
            this.endsAt = endsAt;
        }
    }

    private static final class Connection {
        private final SocketChannel channel;
        private final StringBuilder received = new StringBuilder();
        private final boolean connectionTableFull;
        private String polledId; // id of the query whose poll is open, null if none
        private Instant pollDeadline;

        Connection(SocketChannel channel, boolean connectionTableFull) {
            this.channel = channel;
            this.connectionTableFull = connectionTableFull;
        }
    }

    private record DelayedRequest(Instant at, String id) {}

    private final ServerSocketChannel listener;
    private final SplittableRandom random;
    private final FaultRates faultRates;
    private final Map<String, Integer> runCounts; // by trace id, shared by all engines
    private final Map<String, Run> runsById = new HashMap<>();
    private final List<Connection> connections = new ArrayList<>();
    private final List<DelayedRequest> delayedRequests = new ArrayList<>();
    private Instant now;
    private Instant partitionedUntil = Instant.EPOCH;

    RandomEngine(SplittableRandom random, FaultRates faultRates, Map<String, Integer> runCounts) throws IOException {
        this.random = random;
        this.faultRates = faultRates;
        this.runCounts = runCounts;
        listener = ServerSocketChannel.open();
        listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        listener.configureBlocking(false);
    }

    int port() throws IOException {
        return ((InetSocketAddress) listener.getLocalAddress()).getPort();
    }

    private boolean occurs(int perThousand) {
        return random.nextInt(1000) < perThousand;
    }

    /**
     * Advances to the given time: reads received calls and sends the responses that are due.
     *
     * @param time the new time
     * @param elapsed time since the previous step
     */
    void step(Instant time, Duration elapsed) throws IOException {
        now = time;
        if (random.nextDouble() < faultRates.partitionsPerMinute * elapsed.toMillis() / 60_000.0) {
            partitionedUntil = now.plusMillis(500 + random.nextInt(3000));
        }
        // the engine runs these even if their connection is closed
        for (DelayedRequest request : List.copyOf(delayedRequests)) {
            if (!request.at.isAfter(now)) {
                delayedRequests.remove(request);
                startRun(request.id);
            }
        }
        if (now.isBefore(partitionedUntil)) {
            return;
        }
        for (SocketChannel c = listener.accept(); c != null; c = listener.accept()) {
            c.configureBlocking(false);
            connections.add(new Connection(c, occurs(faultRates.connectionTableFull)));
        }
        for (Connection connection : List.copyOf(connections)) {
            try {
                read(connection);
                if (connection.channel.isOpen() && connection.polledId != null) {
                    answerPollIfDue(connection);
                }
            } catch (IOException e) {
                drop(connection);
            }
        }
    }

    private void drop(Connection connection) throws IOException {
        connections.remove(connection);
        connection.channel.close();
    }

    private void reset(Connection connection) throws IOException {
        connection.channel.setOption(StandardSocketOptions.SO_LINGER, 0);
        drop(connection);
    }

    private void read(Connection connection) throws IOException {
        ByteBuffer bytes = ByteBuffer.allocate(8192);
        int n = connection.channel.read(bytes);
        if (n < 0) {
            drop(connection);
            return;
        }
        connection.received.append(StandardCharsets.ISO_8859_1.decode(bytes.flip()));
        int head = connection.received.indexOf("\r\n\r\n");
        int at = connection.received.indexOf("Content-Length: ");
        int body = head < 0 || at < 0 || at > head
                ? 0
                : Integer.parseInt(connection.received.substring(at + 16, connection.received.indexOf("\r", at)));
        if (head >= 0 && connection.received.length() >= head + 4 + body) {
            String call = connection.received.substring(0, head);
            connection.received.setLength(0);
            handleCall(connection, call);
        }
    }

    private void handleCall(Connection connection, String call) throws IOException {
        if (connection.connectionTableFull) {
            write(connection, DECLINED);
            drop(connection);
        } else if (occurs(faultRates.resetBeforeProcessing)) {
            reset(connection);
        } else if (call.startsWith("POST ")) {
            int at = call.indexOf("X-Trace: ") + 9;
            handlePost(connection, call.substring(at, call.indexOf('\r', at)));
        } else if (call.startsWith("GET /x/")) {
            connection.polledId = call.substring(7, call.indexOf('/', 7));
            connection.pollDeadline = now.plus(POLL_HOLD_TIME);
        } else if (call.startsWith("DELETE /x/")) {
            Run r = runsById.get(call.substring(10, call.indexOf(' ', 10)));
            if (r != null) {
                r.deleted = true;
            }
            write(connection, NO_CONTENT);
        } else {
            write(connection, NO_CONTENT);
        }
    }

    private void handlePost(Connection connection, String id) throws IOException {
        if (occurs(faultRates.processedLate)) {
            delayedRequests.add(new DelayedRequest(now.plusMillis(random.nextInt(4000)), id));
            if (random.nextBoolean()) {
                reset(connection);
            }
            return;
        }
        startRun(id);
        connection.polledId = id;
        connection.pollDeadline = now.plus(POLL_HOLD_TIME);
    }

    private void startRun(String id) {
        Outcome outcome = occurs(faultRates.declined)
                ? Outcome.DECLINED
                : occurs(faultRates.error) ? Outcome.ERROR : Outcome.COMPLETES;
        runsById.put(
                id,
                new Run(
                        outcome,
                        now.plusMillis(outcome == Outcome.COMPLETES ? random.nextInt(900) : random.nextInt(50))));
        if (outcome != Outcome.DECLINED) {
            runCounts.merge(id, 1, Integer::sum);
        }
    }

    private void answerPollIfDue(Connection connection) throws IOException {
        Run r = runsById.get(connection.polledId);
        boolean ended = r == null || r.deleted || !now.isBefore(r.endsAt);
        if (!ended && now.isBefore(connection.pollDeadline)) {
            return;
        }
        connection.polledId = null;
        String response = r == null || r.deleted
                ? ERROR
                : !ended
                        ? STILL_RUNNING
                        : r.outcome == Outcome.COMPLETES ? OK : r.outcome == Outcome.ERROR ? ERROR : DECLINED;
        if (occurs(faultRates.responseLost)) {
            reset(connection);
        } else {
            write(connection, response);
        }
    }

    private static void write(Connection connection, String response) throws IOException {
        connection.channel.write(StandardCharsets.ISO_8859_1.encode(response));
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (Connection connection : connections) {
            connection.channel.close();
        }
    }
}
