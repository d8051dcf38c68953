package sandpaddle.mysql;

import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.Arrays;

/** What a client may say: its login, then commands. Each is answered at once, but a query. */
final class Commands {
    private static final int COM_QUIT = 1;
    private static final int COM_INIT_DB = 2;
    private static final int COM_QUERY = 3;
    private static final int COM_PROCESS_KILL = 12;
    private static final int COM_PING = 14;
    private static final int COM_RESET_CONNECTION = 31;

    private final MysqlFrontend frontend;
    private final Session session;

    Commands(MysqlFrontend frontend, Session session) {
        this.frontend = frontend;
        this.session = session;
    }

    void logIn(PacketReader.Packet p) throws ProtocolException {
        Login login = Login.parse(p.payload());
        int seq = p.seq() + 1;
        if (!login.user().equals(MysqlFrontend.USER) || !login.passwordEmpty()) {
            session.end(Messages.error(seq, SqlError.ER_ACCESS_DENIED_ERROR,
                    "Access denied for user '" + login.user() + "'"));
        } else if (!login.database().isEmpty() && !login.database().equals(MysqlFrontend.DATABASE)) {
            session.end(Messages.error(seq, SqlError.ER_BAD_DB_ERROR, "Unknown database '" + login.database() + "'"));
        } else {
            session.loggedIn(login.user());
            session.send(Messages.ok(seq));
        }
    }

    void command(PacketReader.Packet p) {
        String rest = new String(p.payload(), 1, p.payload().length - 1, StandardCharsets.UTF_8);
        switch (p.payload()[0]) {
            case COM_QUIT -> session.end(new byte[0]);
            case COM_PING -> session.send(frontend.service().isReady() ? Messages.ok(1)
                    : Messages.error(1, SqlError.ER_UNKNOWN_ERROR, "not ready: no engine list yet"));
            case COM_RESET_CONNECTION -> session.send(Messages.ok(1));
            case COM_INIT_DB -> session.send(rest.equals(MysqlFrontend.DATABASE) ? Messages.ok(1)
                    : Messages.error(1, SqlError.ER_BAD_DB_ERROR, "Unknown database '" + rest + "'"));
            case COM_QUERY -> query(Arrays.copyOfRange(p.payload(), 1, p.payload().length), p.arrivedAt());
            case COM_PROCESS_KILL -> {
                byte[] b = Arrays.copyOf(p.payload(), 5);
                kill(new Statement.Kill(false,
                        b[1] & 0xFF | (b[2] & 0xFF) << 8 | (b[3] & 0xFF) << 16 | (b[4] & 0xFF) << 24));
            }
            default -> session.send(Messages.error(1, SqlError.ER_UNKNOWN_COM_ERROR, "Unknown command"));
        }
    }

    private void query(byte[] text, Instant arrivedAt) {
        Statement statement = Statement.parse(text);
        if (statement instanceof Statement.Kill k) {
            kill(k);
        } else if (statement instanceof Statement.Nothing) {
            session.send(Messages.ok(1));
        } else if (statement instanceof Statement.Warnings) {
            session.send(Messages.warnings(session.note()));
        } else if (statement instanceof Statement.Unusable u) {
            session.send(Messages.error(1, SqlError.ER_PARSE_ERROR, u.why()));
        } else if (statement instanceof Statement.Ask ask) {
            session.ask(ask.query(), arrivedAt);
        }
    }

    private void kill(Statement.Kill kill) {
        Session other = frontend.session(kill.connectionId());
        if (other == null) {
            session.send(Messages.error(1, SqlError.ER_NO_SUCH_THREAD, "Unknown thread id: " + kill.connectionId()));
            return;
        }
        other.hear(); // the query that is to be killed may have come before, and not have been read
        if (kill.queryOnly()) {
            other.interrupt();
            session.send(Messages.ok(1));
        } else {
            session.send(Messages.ok(1));
            other.leave();
            other.end(new byte[0]);
        }
    }
}
