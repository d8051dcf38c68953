package sandpaddle.mysql;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import sandpaddle.net.Acceptor;
import sandpaddle.net.Connection;
import sandpaddle.net.LingeringClose;
import sandpaddle.net.Loop;
import sandpaddle.query.Frontend;
import sandpaddle.query.QueryService;

/** Listens for clients of the MySQL protocol and keeps their sessions by connection id. */
public final class MysqlFrontend implements Frontend {
    static final String USER = "app";
    static final String DATABASE = "core";
    private static final int SCRAMBLE = 20;
    /** Connections that linger before they close, beside the sessions. */
    public static final int MOST_LEAVING = 24;
    private static final Duration SILENT_LEAST = Duration.ofMillis(100);
    private static final Duration REST_LEAST = Duration.ofMillis(10); // a request that crosses the close is sent again

    private static final Duration LONG_TURN = Duration.ofMillis(20); // of the 100 ms after which a cancel must be heard

    private final Loop loop;
    private final QueryService service;
    private final SplittableRandom random;
    private final Map<Integer, Session> sessions = new HashMap<>();
    private final Set<Session> opening = new LinkedHashSet<>(); // that never asked, by age
    private final Set<Session> resting = new LinkedHashSet<>(); // with no open query, by when it ended
    private final Set<LingeringClose> closing = new LinkedHashSet<>();
    private final Acceptor acceptor;
    private final int mostSessions;
    private int lastId;
    private Instant lastHeardAt = Instant.MIN; // between two turns

    public MysqlFrontend(Loop loop, InetSocketAddress address, QueryService service, int mostSessions,
            long seed) throws IOException {
        this.loop = loop;
        this.service = service;
        this.mostSessions = mostSessions;
        random = new SplittableRandom(seed);
        acceptor = new Acceptor(loop, address, this::accepted);
    }

    @Override
    public InetSocketAddress address() throws IOException {
        return acceptor.address();
    }

    QueryService service() {
        return service;
    }

    Session session(int id) {
        return sessions.get(id);
    }

    /** Guards the limit on descriptors, which engines need too: at the limit one is taken and told to go. */
    private void accepted(Connection c) {
        Optional<Duration> away = service.turnsAwayConnection();
        if (away.isPresent()) {
            close(c, tooMany(away.get()));
            return;
        }
        if (sessions.size() >= mostSessions && !makeRoom()) {
            close(c, tooMany(service.pauseWithoutRoom()));
            return;
        }
        Session s = new Session(this, loop, c, ++lastId);
        c.owner(s);
        sessions.put(s.id, s);
        opening.add(s);
        c.write(Messages.greeting(s.id, random.ints(SCRAMBLE, 1, 128)
                .collect(java.io.ByteArrayOutputStream::new, (o, b) -> o.write(b), (a, b) -> { }).toByteArray()));
        c.look(); // a login, a KILL, even a query may have come with it
    }

    private static byte[] tooMany(Duration pause) {
        return Messages.error(0, SqlError.ER_CON_COUNT_ERROR,
                "Too many connections" + (pause.isZero() ? "" : ", pause=" + pause.toMillis()));
    }

    /**
     * Guards clients that ask against those that only hold their connection: the one that has been silent
     * longest since it was opened goes first, then the one that has rested longest. Never one with a request.
     */
    private boolean makeRoom() {
        Instant silentSince = loop.now().minus(SILENT_LEAST);
        Instant restingSince = loop.now().minus(REST_LEAST);
        return List.copyOf(opening).stream().takeWhile(s -> s.openedAt().isBefore(silentSince))
                .anyMatch(Session::makesRoom)
                || List.copyOf(resting).stream().takeWhile(s -> s.restingSince().isBefore(restingSince))
                        .anyMatch(Session::makesRoom);
    }

    /**
     * Hears KILL, which comes on a connection of its own, before an attempt is written late in a long turn: one that
     * came since the turn began would be heard after it.
     */
    void hearCancellations() {
        Instant current = loop.current();
        Instant heardAt = lastHeardAt.isAfter(loop.now()) ? lastHeardAt : loop.now();
        if (Duration.between(heardAt, current).compareTo(LONG_TURN) >= 0) {
            lastHeardAt = current;
            acceptor.acceptWaiting();
            List.copyOf(opening).forEach(Session::hear);
        }
    }

    /** A session has an open query. */
    void asks(Session s) {
        opening.remove(s);
        resting.remove(s);
    }

    /** A session has asked, and has no open query. */
    void rests(Session s) {
        asks(s);
        resting.add(s);
    }

    void ended(Session s) {
        asks(s);
        sessions.remove(s.id);
    }

    /**
     * Closes a connection once its last bytes have been read. Guards the descriptors against many that linger: then the
     * oldest of them is closed at once.
     */
    void close(Connection c, byte[] lastBytes) {
        if (!closing.isEmpty() && sessions.size() + closing.size() >= mostSessions + MOST_LEAVING) {
            closing.iterator().next().close();
        }
        LingeringClose[] lingering = new LingeringClose[1];
        lingering[0] = LingeringClose.start(loop, c, lastBytes, () -> closing.remove(lingering[0]));
        if (c.isUp()) {
            closing.add(lingering[0]);
        }
    }

    @Override
    public void stopListening() {
        acceptor.close();
        closeIdle();
    }

    @Override
    public void closeIdle() {
        for (Session s : List.copyOf(sessions.values())) {
            if (s.isIdle()) {
                s.closeIdle();
            }
        }
    }

    /** Those that linger count too: the end of the process would reset them over what they have not read. */
    @Override
    public boolean isIdle() {
        return closing.isEmpty() && sessions.values().stream().allMatch(Session::isIdle);
    }
}
