package sandpaddle.engineclient;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.time.Instant;
import sandpaddle.codec.MalformedHttpException;
import sandpaddle.eventloop.Connection;
import sandpaddle.eventloop.EventLoop;
import sandpaddle.eventloop.TimerQueue;

/**
 * An established connection to an engine, which carries one call at a time, each with a timeout.
 *
 * <p>Confined to the event loop's thread.
 */
final class EngineConnection implements Connection.Listener {
    /** Why a call got no response. */
    enum Failure {
        TIMED_OUT,
        CONNECTION_CLOSED,
        MALFORMED
    }

    /** Receives the events of one call: {@link #onWritten} at most once, then one of the others. */
    interface Call {
        /** All bytes of the call were passed to the socket. */
        default void onWritten() {}

        /**
         * The response is complete.
         *
         * @param response the response
         * @param connection the connection, which the callee has to reuse or release; null if it has ended
         */
        void onResponse(Response response, EngineConnection connection);

        /**
         * There is no response.
         *
         * @param failure what failed
         * @param reason for logs
         * @param maybeSent whether any byte of the call may have been sent
         */
        void onFailure(Failure failure, String reason, boolean maybeSent);
    }

    private final EventLoop loop;
    private final ConnectionPool pool;
    private final ResponseDecoder decoder = new ResponseDecoder();
    private Connection connection;
    private Call call;
    private TimerQueue.Timer timeout;
    private boolean ended;
    private boolean used;
    private boolean maybeDuplicateResponse;
    private Response.Excess excess = Response.Excess.NOTHING; // behind the last response
    private Instant connectedAt;

    EngineConnection(EventLoop loop, ConnectionPool pool) {
        this.loop = loop;
        this.pool = pool;
    }

    /** Takes over the established connection. */
    void attach(Connection established) {
        connection = established;
        connectedAt = loop.now();
        established.setListener(this);
    }

    /** Whether the connection was established at {@code from} or later, which proves that the host was reachable. */
    boolean isConnectedSince(Instant from) {
        return !connectedAt.isBefore(from);
    }

    /** Whether the connection has carried a call. */
    boolean wasUsed() {
        return used;
    }

    /**
     * Marks that the last response on this connection may be a duplicate of an earlier one. The response to the last
     * call may then still follow, and must not be read as that of another query.
     */
    void suspectDuplicateResponse() {
        maybeDuplicateResponse = true;
    }

    boolean mayHaveDuplicateResponse() {
        return maybeDuplicateResponse;
    }

    /** Whether the connection has ended, or received bytes outside a call. */
    boolean isStale() {
        return ended || readOutsideCall() != 0;
    }

    /** Whether bytes that may belong to the last response were received, by the latest {@link #isStale} too. */
    boolean hasExcessBytes() {
        return excess == Response.Excess.OTHER_BYTES;
    }

    private int readOutsideCall() {
        return connection.readOnce(bytes -> excess = ResponseDecoder.excess(bytes));
    }

    /** Starts a call. Without a response within {@code maxWait} the call fails and the connection is closed. */
    void call(byte[] request, Duration maxWait, Call next) {
        call = next;
        used = true;
        connection.clearStartedSending();
        timeout = loop.scheduleAfter(
                maxWait, () -> fail(Failure.TIMED_OUT, "no response within " + maxWait.toMillis() + " ms"));
        connection.write(request);
        if (call == next && connection.unsentBytes() == 0) {
            next.onWritten();
        }
    }

    @Override
    public void onFlushed() {
        if (call != null) {
            call.onWritten();
        }
    }

    @Override
    public void onReceived(ByteBuffer bytes) {
        pool.bytesReceived();
        if (call == null) {
            fail(Failure.MALFORMED, "bytes received outside a call");
            return;
        }
        try {
            Response response = decoder.decode(bytes);
            if (response != null) {
                responseReceived(response);
            }
        } catch (MalformedHttpException e) {
            fail(Failure.MALFORMED, "malformed response: " + e.getMessage());
        }
    }

    /** Closes the connection if more bytes follow, or if the response came before the call was written. */
    private void responseReceived(Response response) {
        excess = response.excess();
        if (excess == Response.Excess.NOTHING) {
            readOutsideCall();
        }
        Call answered = endCall();
        boolean closing = excess != Response.Excess.NOTHING || !response.keepAlive() || connection.unsentBytes() > 0;
        if (closing) {
            close();
        }
        answered.onResponse(response.withExcess(excess), closing ? null : this);
    }

    private Call endCall() {
        Call current = call;
        call = null;
        timeout.cancel();
        return current;
    }

    /** The reset of the connection takes back a call that is still on its way: it must not begin after its end. */
    private void fail(Failure failure, String reason) {
        boolean maybeSent = connection.startedSending();
        close();
        if (failure == Failure.TIMED_OUT && call != null) {
            pool.closeIdle(); // the host may be unreachable, through other connections too
        }
        if (call != null) {
            endCall().onFailure(failure, reason, maybeSent);
        }
    }

    /**
     * Closes the connection; a call in flight is taken back as far as it has not arrived, and gets no further event.
     */
    void abandon() {
        close();
        if (call != null) {
            endCall();
        }
    }

    private void close() {
        if (!ended) {
            ended = true;
            if (call != null) {
                connection.reset();
            } else {
                connection.close();
            }
            pool.connectionEnded(this);
        }
    }

    /** Whether the connection has ended and can carry no further call. */
    boolean isEnded() {
        return ended;
    }

    @Override
    public void onClosed(Exception cause) {
        fail(Failure.CONNECTION_CLOSED, cause == null ? "closed by the engine" : cause.toString());
    }
}
