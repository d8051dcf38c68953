package sandpaddle.engineclient;

import java.time.Duration;
import java.time.Instant;
import sandpaddle.eventloop.EventLoop;

/**
 * A DELETE or PUT that cancels or changes a running query, on a connection other than that of its long poll. Repeated
 * until the engine has confirmed that it read the call, or its deadline has passed. That the call was written proves
 * nothing: its connection may be reset at any time before the engine reads it.
 *
 * <p>Confined to the event loop's thread.
 */
final class ControlCall implements ConnectionPool.Callback, EngineConnection.Call {
    private static final Duration MIN_RETRY_INTERVAL = Duration.ofMillis(20);
    private static final Duration MAX_RETRY_INTERVAL = Duration.ofMillis(160);
    private static final Duration UNREACHABLE_RETRY_INTERVAL = Duration.ofMillis(100);

    /**
     * Time between the two confirmations of a cancel whose POST was not acknowledged: that may have been on its way on
     * another connection when the engine read the first DELETE.
     */
    private static final Duration SETTLE_TIME = Duration.ofMillis(50);

    private static final int STATUS_NO_CONTENT = 204;

    private final EventLoop loop;
    private final HttpEngineClient client;
    private final ConnectionPool pool;
    private final byte[] request;
    private final Instant deadline;
    private int missingConfirmations;
    private Runnable callback; // null once it ran
    private EngineConnection calling; // null while no call is in flight
    private boolean onNewConnection;
    private Duration retryInterval = MIN_RETRY_INTERVAL;

    private ControlCall(
            EventLoop loop,
            HttpEngineClient client,
            ConnectionPool pool,
            byte[] request,
            Instant deadline,
            int confirmations,
            Runnable callback) {
        this.loop = loop;
        this.client = client;
        this.pool = pool;
        this.request = request;
        this.deadline = deadline;
        this.missingConfirmations = confirmations;
        this.callback = callback;
    }

    /**
     * Sends a DELETE.
     *
     * @param deadline when the engine has dropped a query that is not polled; that it is unreachable before does not
     *     prove that it has stopped
     * @param acknowledged whether the engine has responded to a call of the query, so that it has read the POST
     * @param callback runs once, now or in a later turn: when the engine has given the query up, or at the deadline
     */
    static void cancel(
            EventLoop loop,
            HttpEngineClient client,
            ConnectionPool pool,
            byte[] request,
            Instant deadline,
            boolean acknowledged,
            Runnable callback) {
        int confirmations = acknowledged ? 1 : 2;
        start(client, pool, new ControlCall(loop, client, pool, request, deadline, confirmations, callback));
    }

    /** Sends a PUT, until it is confirmed or the deadline has passed. */
    static void change(EventLoop loop, HttpEngineClient client, ConnectionPool pool, byte[] request, Instant deadline) {
        start(client, pool, new ControlCall(loop, client, pool, request, deadline, 1, () -> {}));
    }

    private static void start(HttpEngineClient client, ConnectionPool pool, ControlCall call) {
        client.controlCallStarted();
        call.loop.schedule(call.deadline, call::onDeadline);
        pool.acquireReserved(call);
    }

    /** Takes back a call in flight: it must not reach a later attempt of the query at this engine. */
    private void onDeadline() {
        if (calling != null) {
            calling.abandon();
        }
        end();
    }

    private void end() {
        if (callback != null) {
            Runnable task = callback;
            callback = null;
            client.controlCallEnded();
            task.run();
        }
    }

    private void sendAfter(Duration interval) {
        loop.scheduleAfter(interval, () -> {
            if (callback != null) {
                pool.acquireReserved(this);
            }
        });
    }

    /** The interval grows, since an engine may answer each call at once with something that confirms nothing. */
    private void retry() {
        sendAfter(retryInterval);
        Duration next = retryInterval.multipliedBy(2);
        retryInterval = next.compareTo(MAX_RETRY_INTERVAL) < 0 ? next : MAX_RETRY_INTERVAL;
    }

    @Override
    public void onConnection(EngineConnection connection) {
        if (callback == null) {
            pool.release(connection);
            return;
        }
        calling = connection;
        onNewConnection = !connection.wasUsed();
        connection.call(request, QueryCalls.RESPONSE_TIMEOUT, this);
    }

    @Override
    public void onFailure(ConnectFailure failure, String reason) {
        sendAfter(failure == ConnectFailure.NO_CAPACITY ? MIN_RETRY_INTERVAL : UNREACHABLE_RETRY_INTERVAL);
    }

    /**
     * {@inheritDoc} Any response but a decline confirms that the call was read, if nothing else can have caused it: an
     * earlier call on the connection may be answered twice. An engine without a free connection declines calls unread.
     */
    @Override
    public void onResponse(Response response, EngineConnection connection) {
        calling = null;
        boolean declined = ResponseClassification.isDeclined(response);
        boolean confirmed = !declined && (onNewConnection || response.status() == STATUS_NO_CONTENT);
        if (connection != null && confirmed) {
            pool.release(connection);
        } else if (connection != null) {
            connection.abandon();
        }
        if (confirmed) {
            confirmed();
        } else if (declined) {
            sendAfter(UNREACHABLE_RETRY_INTERVAL);
        } else {
            retry();
        }
    }

    private void confirmed() {
        missingConfirmations--;
        if (missingConfirmations == 0) {
            end();
        } else {
            sendAfter(SETTLE_TIME);
        }
    }

    /** {@inheritDoc} A malformed response proves nothing: it may be a decline, or a late one to an earlier call. */
    @Override
    public void onFailure(EngineConnection.Failure failure, String reason, boolean maybeSent) {
        calling = null;
        retry();
    }
}
