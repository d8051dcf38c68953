package sandpaddle.mysql;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.time.Instant;
import org.tinylog.Logger;
import sandpaddle.eventloop.Connection;
import sandpaddle.eventloop.EventLoop;
import sandpaddle.query.Answer;
import sandpaddle.query.Query;

/**
 * The session of one client connection: login, then one command at a time. Its states are those of the tables in
 * docs/design/crossings.md. Confined to the event loop's thread.
 */
final class Session implements Connection.Listener, CommandFlow.Handler {
    private enum State {
        /** The client has not logged in. */
        LOGIN,
        /** Logged in without an open query. */
        IDLE,
        /** A query is open. */
        BUSY,
        /** A KILL of this client waits to be executed. */
        KILLING,
        /** The last bytes are written or the connection is closed. */
        ENDED
    }

    private static final int FIRST_REPLY_SEQUENCE_ID = 1; // of the first packet that answers a command
    private static final int LOGIN_REPLY_SEQUENCE_ID = 2; // follows the handshake (0) and the login (1)

    final int id;
    private final MysqlFrontend frontend;
    private final EventLoop loop;
    private final Connection connection;
    private final CommandHandler commands;
    private final SessionTimeouts timeouts;
    private final CommandFlow flow;
    private final OpenQuery openQuery;
    private final Instant openedAt;
    private Instant idleSince; // null before the first command
    private String user = "";
    private String note = ""; // on the last result, for SHOW WARNINGS
    private State state = State.LOGIN;

    Session(MysqlFrontend frontend, EventLoop loop, Connection connection, int id) {
        this.frontend = frontend;
        this.loop = loop;
        this.connection = connection;
        this.id = id;
        commands = new CommandHandler(frontend, this);
        timeouts = new SessionTimeouts(loop, connection, this::onTimeout);
        flow = new CommandFlow(loop, connection, timeouts, frontend.inputMemory(), this);
        openQuery = new OpenQuery(frontend.service(), frontend.inputMemory());
        openedAt = loop.now();
    }

    Instant openedAt() {
        return openedAt;
    }

    /** Since when no query is open; null before the first command. */
    Instant idleSince() {
        return idleSince;
    }

    String note() {
        return note;
    }

    /** Whether no query is open, no KILL waits, no input waits to be handled and all answers are sent. */
    boolean isIdle() {
        return state != State.BUSY && state != State.KILLING && connection.unsentBytes() == 0 && flow.isEmpty();
    }

    // ---- Input

    @Override
    public void onReceived(ByteBuffer bytes) {
        flow.onReceived(bytes);
    }

    /** Reads and handles what has arrived from the client by now. */
    void readInput() {
        connection.readAvailable();
    }

    /** Reads and handles what has arrived, as far as the client's share of the turn allows. */
    void readWithinShare() {
        connection.readWithinShare();
    }

    @Override
    public boolean acceptsPackets() {
        return state == State.LOGIN || state == State.IDLE;
    }

    @Override
    public boolean hasEnded() {
        return state == State.ENDED;
    }

    @Override
    public void handle(PacketReader.Packet packet) throws ProtocolException {
        if (state == State.LOGIN) {
            commands.handleLogin(packet);
            return;
        }
        if (packet.sequenceId() != 0 || packet.payload().length == 0) {
            throw new ProtocolException(SqlError.ER_NET_PACKETS_OUT_OF_ORDER, "expected a command");
        }
        timeouts.commandReceived();
        commands.handle(packet);
        if (state == State.IDLE) {
            becomeIdle();
        }
    }

    @Override
    public void onProtocolError(ProtocolException exception) {
        Logger.debug("session {} ends: {}", id, exception.getMessage());
        cancelQuery();
        end(ServerPackets.error(replySequenceId(), exception.error, exception.getMessage()));
    }

    void onLoggedIn(String userName) {
        state = State.IDLE;
        user = userName;
        flow.onLoggedIn();
    }

    private void becomeIdle() {
        idleSince = loop.now();
        frontend.sessions().markIdle(this);
    }

    // ---- Query

    /** Submits a query whose last byte arrived at the given time; the answer follows within this call or later. */
    void submit(Query query, Instant arrivedAt) {
        state = State.BUSY;
        note = "";
        frontend.sessions().markBusy(this);
        openQuery.submit(
                query.withUser(user), Duration.between(arrivedAt, loop.now()), this::readBeforeAttempt, this::onAnswer);
    }

    /**
     * Reads the client's input, which may contain its disconnect. The query of a client that sends faster than it is
     * read is not started: whether the client still waits cannot be known.
     */
    private void readBeforeAttempt() {
        frontend.readCancellations();
        if (!connection.readAvailable() && state == State.BUSY) {
            cancelQuery();
            end(tooMuchPipelined(Connection.MAX_READ_AVAILABLE_BYTES));
        }
    }

    private static byte[] tooMuchPipelined(int limitBytes) {
        return ServerPackets.error(
                FIRST_REPLY_SEQUENCE_ID,
                SqlError.ER_NET_PACKET_TOO_LARGE,
                "more than " + limitBytes + " bytes were sent ahead of an answer");
    }

    private void onAnswer(Answer answer) {
        state = State.IDLE;
        note = answer instanceof Answer.Served served ? served.note() : note;
        send(ServerPackets.answer(answer));
        resume();
    }

    /** After an answer: continues with the next command, or ends the session if pipelined input was discarded. */
    private void resume() {
        if (state == State.ENDED) {
            return;
        }
        if (flow.hasDiscarded()) {
            end(tooMuchPipelined(SessionInput.MAX_PIPELINED_BYTES));
            return;
        }
        becomeIdle();
        flow.handlePackets();
    }

    /** KILL QUERY: cancels the open query with an error to its client; the session continues. */
    void interruptQuery() {
        if (state == State.BUSY) {
            cancelQuery();
            send(ServerPackets.error(
                    FIRST_REPLY_SEQUENCE_ID, SqlError.ER_QUERY_INTERRUPTED, "Query execution was interrupted"));
            resume();
        }
    }

    /** Cancels the open query without an answer, since its client no longer waits. */
    void cancelQuery() {
        if (state == State.BUSY) {
            state = State.IDLE;
            openQuery.cancel();
        }
    }

    // ---- KILL, sent by this client

    /** Accepts no command until {@link #finishKill}. */
    void startKill() {
        state = State.KILLING;
    }

    /** Answers the KILL and continues with the next command, unless the session has ended. */
    void finishKill(byte[] reply) {
        if (state == State.KILLING) {
            state = State.IDLE;
            send(reply);
            resume();
        }
    }

    // ---- Output

    /** Sends bytes, and watches the progress of those that the socket does not take at once. */
    void send(byte[] bytes) {
        connection.write(bytes);
        if (connection.unsentBytes() > 0) {
            timeouts.outputPending();
        }
    }

    @Override
    public void onFlushed() {
        timeouts.outputFlushed();
        if (state != State.ENDED) {
            flow.handlePackets(); // packets that were deferred until the output was sent
        }
    }

    /** The sequence id that the client expects in the first packet of an answer; it rejects any other. */
    private int replySequenceId() {
        return state == State.LOGIN ? LOGIN_REPLY_SEQUENCE_ID : FIRST_REPLY_SEQUENCE_ID;
    }

    // ---- End

    private void onTimeout(String reason) {
        Logger.debug("session {} ends: {}", id, reason);
        end(ServerPackets.error(replySequenceId(), SqlError.ER_NET_READ_INTERRUPTED, reason));
    }

    /** Ends the session without last bytes. */
    void end() {
        end(new byte[0]);
    }

    /** Ends the session with last bytes; further input is ignored. */
    void end(byte[] lastBytes) {
        if (state != State.ENDED) {
            markEnded();
            frontend.close(connection, lastBytes);
        }
    }

    private void markEnded() {
        state = State.ENDED;
        timeouts.cancel();
        flow.close();
        frontend.sessions().remove(this);
    }

    /**
     * Closes the session, if it is idle, to free its file descriptor for another client. Pending input is read first,
     * since a close would lose a request that waits to be read. A client that has not sent a command yet gets an error,
     * since its first request may be on its way; one that has sent commands before resends a request that crosses the
     * close.
     *
     * @return whether the session has ended
     */
    boolean tryEvict() {
        if (isIdle()) {
            readInput();
        }
        if (state != State.ENDED && isIdle()) {
            if (idleSince == null) {
                end(ServerPackets.error(replySequenceId(), SqlError.ER_CON_COUNT_ERROR, "Too many connections"));
            } else {
                markEnded();
                connection.close();
            }
        }
        return state == State.ENDED;
    }

    /**
     * Closes the session if it is idle. Pending input is read first, so that only a request that crosses the close
     * itself has to be resent by the client.
     */
    void closeIdle() {
        readInput();
        if (isIdle()) {
            end();
        }
    }

    @Override
    public void onClosed(Exception cause) {
        cancelQuery();
        if (state != State.ENDED) {
            markEnded();
        }
    }
}
