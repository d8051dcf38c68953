package sandpaddle.mysql;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.Arrays;
import java.util.function.BooleanSupplier;
import org.tinylog.Logger;
import sandpaddle.net.Connection;
import sandpaddle.net.Loop;
import sandpaddle.net.Timers;
import sandpaddle.query.Answer;
import sandpaddle.query.QueryService;

/** One client's connection: login, then one command at a time. */
final class Session implements Connection.Owner {
    private static final int COM_QUIT = 1;
    private static final int COM_INIT_DB = 2;
    private static final int COM_QUERY = 3;
    private static final int COM_PROCESS_KILL = 12;
    private static final int COM_PING = 14;
    private static final int COM_RESET_CONNECTION = 31;
    /** A client that does not read its answer for so long holds memory for nothing. */
    private static final Duration STALLED = Duration.ofSeconds(30);

    /** From its opening, a client has so long to log in and ask; who has asked once may then rest for good. */
    private static final Duration FIRST_COMMAND = Duration.ofMillis(2000);
    /** From its first byte, a packet has so long to come whole. */
    private static final Duration WHOLE_PACKET = Duration.ofMillis(1500);
    /** What a client may send ahead while its query is open: one statement of the largest size. */
    static final int AHEAD_MOST = PacketReader.MOST_BYTES + PacketReader.HEADER;
    /** What is thrown away of a client that sent more ahead than that, before it counts as gone. */
    private static final long THROWN_MOST = 8L * 1024 * 1024;
    /** Answers that a client has not read, before its next command comes to wait. */
    private static final int UNREAD_MOST = 128 * 1024;

    private final MysqlFrontend frontend;
    private final Loop loop;
    private final Connection connection;
    private final PacketReader packets = new PacketReader();
    final int id;
    private final Instant openedAt;
    private Instant restingSince;
    private String user = "";
    private String note = ""; // on the last result
    private boolean loggedIn, asked, handling, ended;
    private long thrownAway; // of what came ahead of an answer; where any was, the session ends with that answer
    private int open; // the number of the open query, so that a late answer finds nobody
    private QueryService.Ticket ticket;
    private boolean busy;
    private final Timers.Timer firstDue;
    private Timers.Timer packetDue, stall;

    Session(MysqlFrontend frontend, Loop loop, Connection connection, int id) {
        this.frontend = frontend;
        this.loop = loop;
        this.connection = connection;
        this.id = id;
        openedAt = loop.now();
        firstDue = loop.after(FIRST_COMMAND, () -> late(() -> !asked, "no command came"));
    }

    /** Nothing is open, half said or unsent. */
    boolean isIdle() {
        return !busy && connection.unsent() == 0 && packets.buffered() == 0;
    }

    Instant openedAt() {
        return openedAt;
    }

    /** Since when it has no open query. */
    Instant restingSince() {
        return restingSince;
    }

    /**
     * Guards descriptors and memory against clients that say nothing, or never end what they began to say. What came
     * while this turn went on is heard first.
     */
    private void late(BooleanSupplier still, String why) {
        connection.look();
        if (!ended && still.getAsBoolean()) {
            Logger.debug("session {} ends: {}", id, why);
            end(Messages.error(loggedIn ? 0 : 2, SqlError.ER_NET_READ_INTERRUPTED, why));
        }
    }

    /**
     * While a query is open all is read, so that the end of a client that no longer waits is seen behind whatever it sent
     * ahead; what is more than a client may send ahead is thrown away.
     */
    @Override
    public void received(ByteBuffer bytes) {
        if (busy && (thrownAway > 0 || packets.buffered() + bytes.remaining() > AHEAD_MOST)) {
            thrownAway += bytes.remaining();
            if (thrownAway > THROWN_MOST) {
                connection.broken(null);
            }
        } else {
            packets.feed(bytes);
            handle();
        }
    }

    /** Hears what has come from the client by now; whether its query of a number is open still. */
    private boolean waits(int number) {
        connection.look();
        return busy && open == number;
    }

    /** Handles what is buffered, up to a query; its answer goes on with the rest. */
    private void handle() {
        if (handling) {
            return; // an answer given within submit: the loop below goes on
        }
        handling = true;
        try {
            for (PacketReader.Packet p = next(); p != null; p = next()) {
                whole();
                packet(p);
            }
        } catch (ProtocolException e) {
            Logger.debug("session {} ends: {}", id, e.getMessage());
            leave();
            end(Messages.error(1, e.error, e.getMessage()));
        } finally {
            handling = false;
        }
        if (!ended) {
            connection.reading(busy || !isUnread() || packets.buffered() == 0);
            awaitRest();
        }
    }

    /** A packet is whole: the next one has a time of its own. */
    private void whole() {
        if (packetDue != null) {
            packetDue.cancel();
            packetDue = null;
        }
    }

    private void awaitRest() {
        boolean partial = !busy && !isUnread() && packets.buffered() > 0;
        if (partial && packetDue == null) {
            packetDue = loop.after(WHOLE_PACKET, this::unfinished);
        } else if (!partial) {
            whole();
        }
    }

    private void unfinished() {
        Timers.Timer mine = packetDue;
        late(() -> packetDue == mine, "the packet was never finished");
    }

    private PacketReader.Packet next() throws ProtocolException {
        return busy || ended || isUnread() || thrownAway > 0 ? null : packets.next();
    }

    /** Guards memory against a client that asks on and on and reads nothing. */
    private boolean isUnread() {
        return connection.unsent() > UNREAD_MOST;
    }

    /** The last words of a session; what else its client sent is not looked at. */
    private void end(byte[] words) {
        if (!ended) {
            over();
            frontend.leaving(connection, words);
        }
    }

    private void over() {
        ended = true;
        calm();
        firstDue.cancel();
        whole();
        frontend.ended(this);
    }

    /**
     * Its descriptor is needed for another client; whether it gave it. Not one that has asked for something by now: a close
     * over a request that waits to be read would lose it.
     */
    boolean makesRoom() {
        connection.look();
        if (!ended && isIdle()) {
            over();
            connection.close();
        }
        return ended;
    }

    private void packet(PacketReader.Packet p) throws ProtocolException {
        if (!loggedIn) {
            logIn(p);
            return;
        }
        if (p.seq() != 0 || p.payload().length == 0) {
            throw new ProtocolException(SqlError.ER_NET_PACKETS_OUT_OF_ORDER, "expected a command");
        }
        if (!asked) {
            asked = true;
            firstDue.cancel();
        }
        command(p);
        if (!busy && !ended) {
            rest();
        }
    }

    private void rest() {
        restingSince = loop.now();
        frontend.rests(this);
    }

    private void command(PacketReader.Packet p) {
        String rest = new String(p.payload(), 1, p.payload().length - 1, StandardCharsets.UTF_8);
        switch (p.payload()[0]) {
            case COM_QUIT -> end(new byte[0]);
            case COM_PING -> send(frontend.service().isReady() ? Messages.ok(1)
                    : Messages.error(1, SqlError.ER_UNKNOWN_ERROR, "not ready: no engine list yet"));
            case COM_RESET_CONNECTION -> send(Messages.ok(1));
            case COM_INIT_DB -> send(rest.equals(MysqlFrontend.DATABASE) ? Messages.ok(1)
                    : Messages.error(1, SqlError.ER_BAD_DB_ERROR, "Unknown database '" + rest + "'"));
            case COM_QUERY -> query(Arrays.copyOfRange(p.payload(), 1, p.payload().length));
            case COM_PROCESS_KILL -> {
                byte[] b = Arrays.copyOf(p.payload(), 5);
                kill(new Statement.Kill(false,
                        b[1] & 0xFF | (b[2] & 0xFF) << 8 | (b[3] & 0xFF) << 16 | (b[4] & 0xFF) << 24));
            }
            default -> send(Messages.error(1, SqlError.ER_UNKNOWN_COM_ERROR, "Unknown command"));
        }
    }

    private void logIn(PacketReader.Packet p) throws ProtocolException {
        Login login = Login.parse(p.payload());
        int seq = p.seq() + 1;
        if (!login.user().equals(MysqlFrontend.USER) || !login.passwordEmpty()) {
            end(Messages.error(seq, SqlError.ER_ACCESS_DENIED_ERROR, "Access denied for user '" + login.user() + "'"));
        } else if (!login.database().isEmpty() && !login.database().equals(MysqlFrontend.DATABASE)) {
            end(Messages.error(seq, SqlError.ER_BAD_DB_ERROR, "Unknown database '" + login.database() + "'"));
        } else {
            loggedIn = true;
            user = login.user();
            packets.loggedIn();
            send(Messages.ok(seq));
        }
    }

    private void query(byte[] text) {
        Statement statement = Statement.parse(text);
        if (statement instanceof Statement.Kill k) {
            kill(k);
        } else if (statement instanceof Statement.Nothing) {
            send(Messages.ok(1));
        } else if (statement instanceof Statement.Warnings) {
            send(Messages.warnings(note));
        } else if (statement instanceof Statement.Unusable u) {
            send(Messages.error(1, SqlError.ER_PARSE_ERROR, u.why()));
        } else if (statement instanceof Statement.Ask ask) {
            busy = true;
            note = "";
            frontend.asks(this);
            int number = ++open;
            QueryService.Ticket t = frontend.service().submit(ask.query().by(user), () -> waits(number),
                    a -> answer(number, a));
            ticket = busy && number == open ? t : null;
        }
    }

    /** Guards against a second answer to one query: only the number that is open is heard, and only once. */
    private void answer(int number, Answer answer) {
        if (!busy || number != open) {
            return;
        }
        busy = false;
        ticket = null;
        if (answer instanceof Answer.Served s) {
            note = s.note();
            send(Messages.resultSet(1, s.rows(), note.isEmpty() ? 0 : 1));
        } else if (answer instanceof Answer.Refused r) {
            send(Messages.error(1, SqlError.ER_TOO_MANY_USER_CONNECTIONS,
                    r.pause().isZero() ? "refused" : "refused, pause=" + r.pause().toMillis()));
        } else if (answer instanceof Answer.Failed f) {
            send(Messages.error(1, SqlError.ER_UNKNOWN_ERROR, "failed: " + f.why()));
        } else if (answer instanceof Answer.Invalid i) {
            send(Messages.error(1, SqlError.ER_PARSE_ERROR, i.why()));
        }
        goOn();
    }

    /** After an answer: the next command, unless what was sent ahead of the answer was too much to keep. */
    private void goOn() {
        if (!ended && thrownAway > 0) {
            end(Messages.error(1, SqlError.ER_NET_PACKET_TOO_LARGE,
                    "more than " + AHEAD_MOST + " bytes were sent ahead of an answer"));
        } else if (!ended) {
            rest();
            handle();
        }
    }

    private void kill(Statement.Kill kill) {
        Session other = frontend.session(kill.connectionId());
        if (other == null) {
            send(Messages.error(1, SqlError.ER_NO_SUCH_THREAD, "Unknown thread id: " + kill.connectionId()));
            return;
        }
        if (kill.queryOnly()) {
            other.interrupt();
            send(Messages.ok(1));
        } else {
            send(Messages.ok(1));
            other.leave();
            other.end(new byte[0]);
        }
    }

    /** The client no longer waits, but its session lives. */
    private void interrupt() {
        if (busy) {
            leave();
            send(Messages.error(1, SqlError.ER_QUERY_INTERRUPTED, "Query execution was interrupted"));
            goOn();
        }
    }

    private void leave() {
        QueryService.Ticket t = ticket;
        busy = false;
        ticket = null;
        open++;
        if (t != null) {
            t.leave();
        }
    }

    private void send(byte[] bytes) {
        connection.write(bytes);
        if (connection.unsent() > 0 && stall == null) {
            watch();
        }
    }

    /** A slow client is waited for as long as it reads at all. */
    private void watch() {
        long before = connection.unsent();
        stall = loop.after(STALLED, () -> {
            if (connection.unsent() >= before) {
                connection.broken(null);
            } else {
                watch();
            }
        });
    }

    @Override
    public void flushed() {
        calm();
        if (!ended) {
            handle(); // what came to wait for it
        }
    }

    private void calm() {
        if (stall != null) {
            stall.cancel();
            stall = null;
        }
    }

    /**
     * Closes a session with nothing open. What has come by now is heard first: only a request that crosses the close itself
     * is sent again by its client.
     */
    void closeIdle() {
        connection.look();
        if (isIdle()) {
            end(new byte[0]);
        }
    }

    @Override
    public void closed(Exception cause) {
        leave();
        if (!ended) {
            over();
        }
    }
}
