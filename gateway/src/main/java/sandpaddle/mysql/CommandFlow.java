package sandpaddle.mysql;

import java.nio.ByteBuffer;
import sandpaddle.eventloop.Connection;
import sandpaddle.eventloop.EventLoop;
import sandpaddle.eventloop.InputScheduler;

/**
 * Flow control of a client's input: passes packets to the session one by one while the session accepts them. While a
 * query is open the connection is always read, so that a disconnect is detected behind pipelined input. Otherwise
 * reading stops for a client that does not read its answers, and at {@link SessionInput#MAX_PIPELINED_BYTES} for one
 * that has used up its share of this turn.
 */
final class CommandFlow {
    /** Handles the packets of one client. */
    interface Handler {
        /** Whether this handler accepts a packet now; false while a query is open. */
        boolean acceptsPackets();

        /** Whether the session has ended, so that no packet is accepted any more. */
        boolean hasEnded();

        /** Handles one complete packet. */
        void handle(PacketReader.Packet packet) throws ProtocolException;

        /** The input violates the protocol; no further packet can be read. */
        void onProtocolError(ProtocolException exception);
    }

    /** Unsent answer bytes above which the next command of the client is deferred. */
    private static final int MAX_UNSENT_BYTES = 128 * 1024;

    private final EventLoop loop;
    private final Connection connection;
    private final SessionTimeouts timeouts;
    private final Handler handler;
    private final SessionInput input;
    private final TurnBudget budget;
    private final InputScheduler.Account account;
    private boolean handling;
    private boolean yielded; // no further packets in this turn

    CommandFlow(EventLoop loop, Connection connection, SessionTimeouts timeouts, InputMemory memory, Handler handler) {
        this.loop = loop;
        this.connection = connection;
        this.timeouts = timeouts;
        this.handler = handler;
        input = new SessionInput(memory);
        budget = new TurnBudget(loop);
        account = connection.inputAccount();
    }

    /** Raises the limit on the packet size after the login. */
    void onLoggedIn() {
        input.onLoggedIn();
    }

    /** Whether all input was handled; false while there may be more in the socket than this turn handles. */
    boolean isEmpty() {
        return input.isEmpty() && !yielded;
    }

    /** Whether input was discarded, so that no further packet can be read. */
    boolean hasDiscarded() {
        return input.hasDiscarded();
    }

    /**
     * Buffers input and handles the packets that it completes. Input that is read while a packet is handled is only
     * buffered, and reading stops at {@link SessionInput#MAX_PIPELINED_BYTES}: the rest stays in the socket.
     */
    void onReceived(ByteBuffer bytes) {
        if (!handler.acceptsPackets()) {
            if (!input.appendPipelined(bytes, connection.readableSince())) {
                connection.onFailure(null);
            }
            return;
        }
        if (!input.append(bytes, connection.readableSince())) {
            handler.onProtocolError(new ProtocolException(
                    SqlError.ER_TOO_MANY_USER_CONNECTIONS, "no memory for a long statement at the moment"));
            return;
        }
        if (!handling) {
            handlePackets();
        } else if (input.isFull()) {
            connection.setReading(false); // until handlePackets() decides again
        }
    }

    /** Drops all input of a session that has ended. */
    void close() {
        input.close();
    }

    /** Handles buffered packets up to the next query. Must be called again once that query is answered. */
    void handlePackets() {
        if (handling) {
            return; // reentrant call, by an answer given within handle(): the loop below continues
        }
        handling = true;
        try {
            PacketReader.Packet packet = next();
            while (packet != null) {
                timeouts.packetCompleted();
                handler.handle(packet);
                account.charge(InputScheduler.COMMAND_COST + packet.payload().length);
                if (budget.spend(packet.payload().length)) {
                    yieldTurn();
                }
                packet = next();
            }
        } catch (ProtocolException e) {
            handler.onProtocolError(e);
        } finally {
            handling = false;
        }
        if (!handler.hasEnded()) {
            updateReading();
        }
    }

    /** The next packet that is complete and may be handled in this turn; null if there is none. */
    private PacketReader.Packet next() throws ProtocolException {
        if (!handler.acceptsPackets() || isPaused()) {
            return null;
        }
        int payloadBytes = input.nextPayloadBytes();
        if (payloadBytes >= 0 && !account.mayHandle(InputScheduler.COMMAND_COST + payloadBytes)) {
            yieldTurn();
            return null;
        }
        return input.next();
    }

    /** Keeps turns short for the other clients, and bounds the memory for answers that the client does not read. */
    private boolean isPaused() {
        return yielded || connection.unsentBytes() > MAX_UNSENT_BYTES;
    }

    private void updateReading() {
        boolean accepts = handler.acceptsPackets();
        connection.setReading(!accepts || !isPaused() || input.isEmpty() || mayReadAhead());
        if (accepts && !isPaused() && !input.isEmpty()) {
            timeouts.packetStarted();
        } else {
            timeouts.packetCompleted();
        }
    }

    /** Whether input is read while its handling is deferred, so that a close behind it is noticed. */
    private boolean mayReadAhead() {
        return yielded && !input.isFull() && connection.unsentBytes() <= MAX_UNSENT_BYTES;
    }

    private void yieldTurn() {
        yielded = true;
        loop.deferInput(account, () -> {
            yielded = false;
            if (!handler.hasEnded()) {
                handlePackets();
            }
        });
    }
}
