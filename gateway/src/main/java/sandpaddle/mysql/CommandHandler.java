package sandpaddle.mysql;

import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.Arrays;

/** Executes the commands of one session: the login, then COM_* commands. All but queries are answered at once. */
final class CommandHandler {
    private static final int COM_QUIT = 1;
    private static final int COM_INIT_DB = 2;
    private static final int COM_QUERY = 3;
    private static final int COM_PROCESS_KILL = 12;
    private static final int COM_PING = 14;
    private static final int COM_RESET_CONNECTION = 31;

    private final MysqlFrontend frontend;
    private final Session session;

    CommandHandler(MysqlFrontend frontend, Session session) {
        this.frontend = frontend;
        this.session = session;
    }

    void handleLogin(PacketReader.Packet packet) throws ProtocolException {
        Login login = Login.parse(packet.payload());
        int sequenceId = packet.sequenceId() + 1;
        if (!login.user().equals(MysqlFrontend.USER) || !login.passwordEmpty()) {
            session.end(ServerPackets.error(
                    sequenceId, SqlError.ER_ACCESS_DENIED_ERROR, "Access denied for user '" + login.user() + "'"));
        } else if (!login.database().isEmpty() && !login.database().equals(MysqlFrontend.DATABASE)) {
            session.end(ServerPackets.error(
                    sequenceId, SqlError.ER_BAD_DB_ERROR, "Unknown database '" + login.database() + "'"));
        } else {
            session.onLoggedIn(login.user());
            session.send(ServerPackets.ok(sequenceId));
        }
    }

    void handle(PacketReader.Packet packet) {
        byte[] payload = packet.payload();
        byte[] argument = Arrays.copyOfRange(payload, 1, payload.length);
        switch (payload[0]) {
            case COM_QUIT -> session.end();
            case COM_PING ->
                session.send(
                        frontend.service().isReady()
                                ? ServerPackets.ok(1)
                                : ServerPackets.error(1, SqlError.ER_UNKNOWN_ERROR, "not ready: no engine list yet"));
            case COM_RESET_CONNECTION -> session.send(ServerPackets.ok(1));
            case COM_INIT_DB -> initDatabase(new String(argument, StandardCharsets.UTF_8));
            case COM_QUERY -> handleQuery(argument, packet.arrivedAt());
            case COM_PROCESS_KILL ->
                frontend.kills().submit(session, new Statement.Kill(false, parseConnectionId(argument)));
            default -> session.send(ServerPackets.error(1, SqlError.ER_UNKNOWN_COM_ERROR, "Unknown command"));
        }
    }

    private void initDatabase(String database) {
        session.send(
                database.equals(MysqlFrontend.DATABASE)
                        ? ServerPackets.ok(1)
                        : ServerPackets.error(1, SqlError.ER_BAD_DB_ERROR, "Unknown database '" + database + "'"));
    }

    /** The connection id in the argument of COM_PROCESS_KILL, little-endian; missing bytes count as zero. */
    private static int parseConnectionId(byte[] argument) {
        return ByteBuffer.wrap(Arrays.copyOf(argument, Integer.BYTES))
                .order(ByteOrder.LITTLE_ENDIAN)
                .getInt();
    }

    private void handleQuery(byte[] text, Instant arrivedAt) {
        Statement statement = Statement.parse(text);
        if (statement instanceof Statement.Kill kill) {
            frontend.kills().submit(session, kill);
        } else if (statement instanceof Statement.SetOption) {
            session.send(ServerPackets.ok(1));
        } else if (statement instanceof Statement.ShowWarnings) {
            session.send(ServerPackets.warnings(session.note()));
        } else if (statement instanceof Statement.Malformed malformed) {
            session.send(ServerPackets.error(1, SqlError.ER_PARSE_ERROR, malformed.reason()));
        } else if (statement instanceof Statement.RunQuery runQuery) {
            session.submit(runQuery.query(), arrivedAt);
        }
    }
}
