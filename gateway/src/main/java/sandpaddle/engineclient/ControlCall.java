package sandpaddle.engineclient;

import java.time.Duration;
import java.time.Instant;
import sandpaddle.eventloop.EventLoop;

/**
 * A DELETE or PUT that cancels or changes a running query, on a connection other than that of its long poll. Repeated
 * until it was delivered or its deadline has passed. Its response proves only that it was read.
 *
 * <p>Confined to the event loop's thread.
 */
final class ControlCall implements ConnectionPool.Callback, EngineConnection.Call {
    private static final Duration RETRY_INTERVAL = Duration.ofMillis(20);
    private static final Duration UNREACHABLE_RETRY_INTERVAL = Duration.ofMillis(100);

    /** A reset that discards a written call is received within this time. */
    private static final Duration DELIVERY_CONFIRMATION = Duration.ofMillis(40);

    private final EventLoop loop;
    private final HttpEngineClient client;
    private final ConnectionPool pool;
    private final byte[] request;
    private final Instant startedAt;
    private final Instant deadline;
    private Runnable callback; // null once it ran
    private boolean onNewConnection;
    private int sendCount; // a confirmation counts for the latest send only

    private ControlCall(
            EventLoop loop,
            HttpEngineClient client,
            ConnectionPool pool,
            byte[] request,
            Instant deadline,
            Runnable callback) {
        this.loop = loop;
        this.client = client;
        this.pool = pool;
        this.request = request;
        this.deadline = deadline;
        this.callback = callback;
        startedAt = loop.now();
    }

    /**
     * Sends a call.
     *
     * @param deadline when the engine has dropped a query that is not polled; that it is unreachable before does not
     *     prove that it has stopped
     * @param callback runs once, now or in a later turn: when the call was delivered, or at the deadline
     */
    static void send(
            EventLoop loop,
            HttpEngineClient client,
            ConnectionPool pool,
            byte[] request,
            Instant deadline,
            Runnable callback) {
        client.controlCallStarted();
        pool.acquireReserved(new ControlCall(loop, client, pool, request, deadline, callback));
    }

    private void end() {
        if (callback != null) {
            Runnable task = callback;
            callback = null;
            client.controlCallEnded();
            task.run();
        }
    }

    private void retryAfter(Duration interval) {
        if (!loop.now().plus(interval).isBefore(deadline)) {
            loop.schedule(deadline, this::end);
            return;
        }
        loop.scheduleAfter(interval, () -> {
            if (callback != null) {
                pool.acquireReserved(this);
            }
        });
    }

    @Override
    public void onConnection(EngineConnection connection) {
        sendCount++;
        onNewConnection = connection.isConnectedSince(startedAt);
        connection.call(request, QueryCalls.RESPONSE_TIMEOUT, this);
    }

    @Override
    public void onFailure(ConnectFailure failure, String reason) {
        retryAfter(failure == ConnectFailure.NO_CAPACITY ? RETRY_INTERVAL : UNREACHABLE_RETRY_INTERVAL);
    }

    /** Counts as delivered without a reset for a while, on a new connection: an older one may be half-open. */
    @Override
    public void onWritten() {
        int sent = sendCount;
        loop.scheduleAfter(DELIVERY_CONFIRMATION, () -> {
            if (sent == sendCount && onNewConnection) {
                end();
            }
        });
    }

    /** An engine without a free connection declines the call without reading it. */
    @Override
    public void onResponse(Response response, EngineConnection connection) {
        sendCount++;
        boolean delivered = !ResponseClassification.isDeclined(response);
        if (connection != null && delivered) {
            pool.release(connection);
        } else if (connection != null) {
            connection.abandon();
        }
        if (delivered || callback == null) {
            end();
        } else {
            retryAfter(UNREACHABLE_RETRY_INTERVAL);
        }
    }

    @Override
    public void onFailure(EngineConnection.Failure failure, String reason, boolean maybeSent) {
        sendCount++;
        if (failure != EngineConnection.Failure.MALFORMED && callback != null) {
            retryAfter(RETRY_INTERVAL);
        } else {
            end(); // a malformed response shows that the call was read
        }
    }
}
