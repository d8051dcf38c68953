package sandpaddle.mysql;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import sandpaddle.eventloop.Acceptor;
import sandpaddle.eventloop.Connection;
import sandpaddle.eventloop.EventLoop;
import sandpaddle.eventloop.LingeringClose;
import sandpaddle.query.Frontend;
import sandpaddle.query.QueryService;

/** Accepts clients of the MySQL protocol and owns their sessions. Confined to the event loop's thread. */
public final class MysqlFrontend implements Frontend {
    static final String USER = "app";
    static final String DATABASE = "core";
    /** Maximum number of connections in a lingering close beyond the limit on sessions. */
    public static final int MAX_LINGERING = 24;

    private static final int SCRAMBLE_BYTES = 20;
    /** KILL takes an id of at most nine digits; half of them are left for the connections of one process. */
    private static final int FIRST_CONNECTION_IDS = 500_000_000;
    /**
     * Time within a turn after which cancellations are read again before an attempt is written. Far below 100 ms: that
     * long after a cancellation no attempt may start for the client.
     */
    private static final Duration LONG_TURN = Duration.ofMillis(20);

    private final EventLoop loop;
    private final QueryService service;
    private final SplittableRandom random;
    private final SessionRegistry sessions = new SessionRegistry();
    private final InputMemory inputMemory = InputMemory.ofHeap();
    private final KillCommands kills = new KillCommands(sessions);
    private final Set<LingeringClose> lingeringCloses = new LinkedHashSet<>();
    private final Acceptor acceptor;
    private final int maxSessions;
    private int lastConnectionId;
    private Instant cancellationsReadAt = Instant.MIN; // time at which cancellations were last read within a turn

    /**
     * Starts to listen.
     *
     * @param loop the event loop that all calls are made on
     * @param address the address to listen on; port 0 selects a free port
     * @param service receives the queries
     * @param maxSessions limit on open sessions
     * @param seed seed of the random scrambles
     * @param firstConnectionId id of the first connection, see {@link #firstConnectionId}
     * @throws IOException if the address cannot be bound
     */
    public MysqlFrontend(
            EventLoop loop,
            InetSocketAddress address,
            QueryService service,
            int maxSessions,
            long seed,
            int firstConnectionId)
            throws IOException {
        this.loop = loop;
        this.service = service;
        this.maxSessions = maxSessions;
        random = new SplittableRandom(seed);
        lastConnectionId = firstConnectionId - 1;
        acceptor = new Acceptor(loop, address, this::onAccepted);
    }

    /**
     * The id of the first connection of a process, from its start time: it advances by one each millisecond, so that
     * it is ahead of the ids of an earlier process at the address, unless that has taken over 1,000 connections a
     * second (the scheme of TCP's initial sequence numbers, RFC 9293, section 3.4.1). A KILL meant for a connection
     * of that process then names no connection of this one.
     */
    public static int firstConnectionId(Instant startedAt) {
        return 1 + (int) Math.floorMod(startedAt.toEpochMilli(), (long) FIRST_CONNECTION_IDS);
    }

    @Override
    public InetSocketAddress address() throws IOException {
        return acceptor.address();
    }

    QueryService service() {
        return service;
    }

    SessionRegistry sessions() {
        return sessions;
    }

    /** The memory that statements of all clients may take. */
    InputMemory inputMemory() {
        return inputMemory;
    }

    KillCommands kills() {
        return kills;
    }

    /**
     * Opens a session. At the limit on sessions, which keeps file descriptors for engine connections, an idle session
     * is closed in its place; if there is none, the connection is rejected with an error.
     */
    private void onAccepted(Connection connection) {
        Optional<Duration> retryAfter = service.connectionOpened();
        if (retryAfter.isPresent()) {
            close(connection, tooManyConnections(retryAfter.get()));
            return;
        }
        if (sessions.size() >= maxSessions && !sessions.evictIdleSession(loop.now())) {
            close(connection, tooManyConnections(service.retryAfterWhenFull()));
            return;
        }
        Session session = new Session(this, loop, connection, ++lastConnectionId);
        connection.setListener(session);
        sessions.add(session);
        connection.write(ServerPackets.handshake(session.id, scramble()));
        connection.readWithinShare(); // a login, a KILL or even a query may have arrived already
    }

    /** Random bytes without zeros, since the field is terminated by a zero. */
    private byte[] scramble() {
        byte[] scramble = new byte[SCRAMBLE_BYTES];
        for (int i = 0; i < SCRAMBLE_BYTES; i++) {
            scramble[i] = (byte) random.nextInt(1, Byte.MAX_VALUE + 1);
        }
        return scramble;
    }

    private static byte[] tooManyConnections(Duration retryAfter) {
        return ServerPackets.error(
                0,
                SqlError.ER_CON_COUNT_ERROR,
                "Too many connections" + (retryAfter.isZero() ? "" : ", pause=" + retryAfter.toMillis()));
    }

    /**
     * Reads pending KILL commands before an attempt is written late in a long turn. KILL arrives on a connection of its
     * own; one that arrived since the turn began would otherwise be read only after the attempt.
     */
    void readCancellations() {
        Instant now = loop.currentTime();
        Instant lastReadAt = cancellationsReadAt.isAfter(loop.now()) ? cancellationsReadAt : loop.now();
        if (Duration.between(lastReadAt, now).compareTo(LONG_TURN) >= 0) {
            cancellationsReadAt = now;
            acceptor.acceptWaiting();
            sessions.sessionsWithoutCommand().forEach(Session::readWithinShare);
        }
    }

    /**
     * Closes a connection once the client has read its last bytes. If too many connections linger, the oldest of them
     * is closed at once, which bounds the file descriptors in use.
     */
    void close(Connection connection, byte[] lastBytes) {
        if (!lingeringCloses.isEmpty() && sessions.size() + lingeringCloses.size() >= maxSessions + MAX_LINGERING) {
            lingeringCloses.iterator().next().close();
        }
        LingeringClose[] started = new LingeringClose[1];
        started[0] = LingeringClose.start(loop, connection, lastBytes, () -> lingeringCloses.remove(started[0]));
        if (connection.isConnected()) {
            lingeringCloses.add(started[0]);
        }
    }

    @Override
    public void stopListening() {
        acceptor.close();
        closeIdle();
    }

    @Override
    public void closeIdle() {
        sessions.all().stream().filter(Session::isIdle).forEach(Session::closeIdle);
    }

    /** Includes lingering connections: the exit of the process would reset them before their last bytes are read. */
    @Override
    public boolean isIdle() {
        return lingeringCloses.isEmpty() && sessions.all().stream().allMatch(Session::isIdle);
    }
}
