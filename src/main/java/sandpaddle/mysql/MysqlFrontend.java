package sandpaddle.mysql;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import sandpaddle.net.Acceptor;
import sandpaddle.net.Connection;
import sandpaddle.net.Loop;
import sandpaddle.serve.Frontend;
import sandpaddle.serve.QueryService;

/** Listens for clients of the MySQL protocol and keeps their sessions by connection id. */
public final class MysqlFrontend implements Frontend {
    static final String USER = "app";
    static final String DATABASE = "core";
    private static final int SCRAMBLE = 20;

    private final Loop loop;
    private final QueryService service;
    private final SplittableRandom random;
    private final Map<Integer, Session> sessions = new HashMap<>();
    private final Acceptor acceptor;
    private final int mostSessions;
    private int lastId;

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

    /** Guards the limit on descriptors: engines need theirs. */
    private void accepted(Connection c) {
        if (sessions.size() >= mostSessions) {
            c.owner(new Connection.Owner() {
                @Override
                public void received(ByteBuffer bytes) {
                    // it is told to go, whatever it says
                }

                @Override
                public void closed(Exception cause) {
                    // as it was told
                }
            });
            c.write(Messages.error(0, SqlError.ER_CON_COUNT_ERROR, "Too many connections"));
            c.closeWhenFlushed();
            return;
        }
        Session s = new Session(this, loop, c, ++lastId);
        c.owner(s);
        sessions.put(s.id, s);
        c.write(Messages.greeting(s.id, random.ints(SCRAMBLE, 1, 128)
                .collect(java.io.ByteArrayOutputStream::new, (o, b) -> o.write(b), (a, b) -> { }).toByteArray()));
    }

    void ended(Session s) {
        sessions.remove(s.id);
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

    @Override
    public boolean isIdle() {
        return sessions.values().stream().allMatch(Session::isIdle);
    }
}
