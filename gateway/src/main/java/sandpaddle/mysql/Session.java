package sandpaddle.mysql;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.time.Instant;
import org.tinylog.Logger;
import sandpaddle.net.Connection;
import sandpaddle.net.Loop;
import sandpaddle.query.Answer;
import sandpaddle.query.Query;
import sandpaddle.query.QueryService;

/**
 * One client's connection: login, then one command at a time. Its states mirror the tables of docs/design/crossings.md.
 */
final class Session implements Connection.Owner {
    /** LOGIN: nobody is known yet. RESTING: no query is open. BUSY: one is. ENDED: its last words are said. */
    private enum State { LOGIN, RESTING, BUSY, ENDED }

    /** What a client may send ahead while its query is open: one statement of the largest size. */
    static final int AHEAD_MOST = PacketReader.MOST_BYTES + PacketReader.HEADER;
    /** What is thrown away of a client that sent more ahead than that, before it counts as gone. */
    private static final long THROWN_MOST = 8L * 1024 * 1024;
    /** Answers that a client has not read, before its next command comes to wait. */
    private static final int UNREAD_MOST = 128 * 1024;
    /** Commands of one session in a turn: one that sends many at once does not keep the others waiting. */
    private static final int MOST_COMMANDS = 64;
    private static final int FIRST_REPLY = 1; // the number of the packet that answers a command
    private static final int LOGIN_REPLY = 2; // after the greeting and the login

    private final MysqlFrontend frontend;
    private final Loop loop;
    private final Connection connection;
    private final PacketReader packets = new PacketReader();
    private final Commands commands;
    private final SessionClocks clocks;
    final int id;
    private final Instant openedAt;
    private Instant restingSince;
    private String user = "";
    private String note = ""; // on the last result
    private State state = State.LOGIN;
    private boolean handling;
    private boolean yielded; // to the other sessions, until the next turn
    private long thrownAway; // of what came ahead of an answer; where any was, the session ends with that answer
    private int open; // the number of the open query, so that a late answer finds nobody
    private QueryService.Ticket ticket;

    Session(MysqlFrontend frontend, Loop loop, Connection connection, int id) {
        this.frontend = frontend;
        this.loop = loop;
        this.connection = connection;
        this.id = id;
        commands = new Commands(frontend, this);
        clocks = new SessionClocks(loop, connection, this::late);
        openedAt = loop.now();
    }

    /** Nothing is open, half said or unsent. */
    boolean isIdle() {
        return state != State.BUSY && connection.unsent() == 0 && packets.buffered() == 0;
    }

    Instant openedAt() {
        return openedAt;
    }

    /** Since when it has no open query. */
    Instant restingSince() {
        return restingSince;
    }

    String note() {
        return note;
    }

    void loggedIn(String who) {
        state = State.RESTING;
        user = who;
        packets.loggedIn();
    }

    private void late(String why) {
        Logger.debug("session {} ends: {}", id, why);
        end(Messages.error(replyNumber(), SqlError.ER_NET_READ_INTERRUPTED, why));
    }

    /** The number of the packet that a client expects next, where none of an answer was sent: others are unreadable. */
    private int replyNumber() {
        return state == State.LOGIN ? LOGIN_REPLY : FIRST_REPLY;
    }

    /**
     * While a query is open all is read, so that the end of a client that no longer waits is seen behind whatever it
     * sent ahead; what is more than a client may send ahead is thrown away.
     */
    @Override
    public void received(ByteBuffer bytes) {
        if (state == State.BUSY && (thrownAway > 0 || packets.buffered() + bytes.remaining() > AHEAD_MOST)) {
            thrownAway += bytes.remaining();
            if (thrownAway > THROWN_MOST) {
                connection.broken(null);
            }
        } else {
            packets.feed(bytes, loop.readableSince());
            handle();
        }
    }

    /** Hears what has come from the client by now; whether its query of a number is open still. */
    private boolean waits(int number) {
        frontend.hearCancellations();
        connection.look();
        return state == State.BUSY && open == number;
    }

    /** Hears what has come from the client by now. */
    void hear() {
        connection.look();
    }

    /** Handles what is buffered, up to a query; its answer goes on with the rest. */
    private void handle() {
        if (handling) {
            return; // an answer given within submit: the loop below goes on
        }
        handling = true;
        try {
            PacketReader.Packet p = next();
            for (int handled = 1; p != null; handled++) {
                clocks.whole();
                packet(p);
                if (handled == MOST_COMMANDS && packets.buffered() > 0) {
                    yieldTurn();
                }
                p = next();
            }
        } catch (ProtocolException e) {
            Logger.debug("session {} ends: {}", id, e.getMessage());
            leave();
            end(Messages.error(replyNumber(), e.error, e.getMessage()));
        } finally {
            handling = false;
        }
        if (state != State.ENDED) {
            boolean paused = yielded || isUnread();
            connection.reading(state == State.BUSY || !paused || packets.buffered() == 0);
            clocks.partial(state != State.BUSY && !paused && packets.buffered() > 0);
        }
    }

    private void yieldTurn() {
        yielded = true;
        loop.nextTurn(() -> {
            yielded = false;
            if (state != State.ENDED) {
                handle();
            }
        });
    }

    private PacketReader.Packet next() throws ProtocolException {
        boolean waits = state == State.BUSY || state == State.ENDED || yielded || isUnread() || thrownAway > 0;
        return waits ? null : packets.next();
    }

    /** Guards memory against a client that asks on and on and reads nothing. */
    private boolean isUnread() {
        return connection.unsent() > UNREAD_MOST;
    }

    private void packet(PacketReader.Packet p) throws ProtocolException {
        if (state == State.LOGIN) {
            commands.logIn(p);
            return;
        }
        if (p.seq() != 0 || p.payload().length == 0) {
            throw new ProtocolException(SqlError.ER_NET_PACKETS_OUT_OF_ORDER, "expected a command");
        }
        clocks.asked();
        commands.command(p);
        if (state == State.RESTING) {
            rest();
        }
    }

    private void rest() {
        restingSince = loop.now();
        frontend.rests(this);
    }

    /** Opens its query, whose last byte came at a time; the answer comes in this call or later. */
    void ask(Query query, Instant arrivedAt) {
        state = State.BUSY;
        note = "";
        frontend.asks(this);
        int number = ++open;
        QueryService.Ticket t = frontend.service().submit(query.by(user),
                Duration.between(arrivedAt, loop.now()), () -> waits(number), a -> answer(number, a));
        ticket = state == State.BUSY && number == open ? t : null;
    }

    /** Guards against a second answer to one query: only the number that is open is heard, and only once. */
    private void answer(int number, Answer answer) {
        if (state != State.BUSY || number != open) {
            return;
        }
        state = State.RESTING;
        ticket = null;
        note = answer instanceof Answer.Served s ? s.note() : note;
        send(Messages.answer(answer));
        goOn();
    }

    /** After an answer: the next command, unless what was sent ahead of the answer was too much to keep. */
    private void goOn() {
        if (state != State.ENDED && thrownAway > 0) {
            end(Messages.error(1, SqlError.ER_NET_PACKET_TOO_LARGE,
                    "more than " + AHEAD_MOST + " bytes were sent ahead of an answer"));
        } else if (state != State.ENDED) {
            if (state == State.RESTING) {
                rest();
            }
            handle();
        }
    }

    /** The client no longer waits, but its session lives. */
    void interrupt() {
        if (state == State.BUSY) {
            leave();
            send(Messages.error(1, SqlError.ER_QUERY_INTERRUPTED, "Query execution was interrupted"));
            goOn();
        }
    }

    /** Nobody waits for the open query any more. */
    void leave() {
        QueryService.Ticket t = ticket;
        state = state == State.BUSY ? State.RESTING : state;
        ticket = null;
        open++;
        if (t != null) {
            t.leave();
        }
    }

    void send(byte[] bytes) {
        connection.write(bytes);
        if (connection.unsent() > 0) {
            clocks.unread();
        }
    }

    @Override
    public void flushed() {
        clocks.read();
        if (state != State.ENDED) {
            handle(); // what came to wait for it
        }
    }

    /** The last words of a session; what else its client sent is not looked at. */
    void end(byte[] words) {
        if (state != State.ENDED) {
            over();
            frontend.close(connection, words);
        }
    }

    private void over() {
        state = State.ENDED;
        clocks.end();
        frontend.ended(this);
    }

    /**
     * Its descriptor is needed for another client; whether it gave it. Not one that has asked for something by now: a
     * close over a request that waits to be read would lose it. One that never asked is told, for its first request may
     * be on its way; one that has asked before sends a request that crosses the close again.
     */
    boolean makesRoom() {
        connection.look();
        if (state != State.ENDED && isIdle()) {
            if (restingSince == null) {
                end(Messages.error(replyNumber(), SqlError.ER_CON_COUNT_ERROR, "Too many connections"));
            } else {
                over();
                connection.close();
            }
        }
        return state == State.ENDED;
    }

    /**
     * Closes a session with nothing open. What has come by now is heard first: only a request that crosses the close
     * itself is sent again by its client.
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
        if (state != State.ENDED) {
            over();
        }
    }
}
