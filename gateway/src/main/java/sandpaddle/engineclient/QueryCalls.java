package sandpaddle.engineclient;

import java.time.Duration;
import java.time.Instant;
import sandpaddle.eventloop.EventLoop;

/**
 * Delivers the calls of one query to its engine, one at a time: the POST on a given connection, each poll on the
 * connection of the last response or on another one, since a query is not bound to a connection. Retries to connect
 * until the engine has died or must have dropped the query.
 *
 * <p>Confined to the event loop's thread.
 */
final class QueryCalls {
    /** An engine responds to a poll within 250 ms, and drops a query that is not polled for 2 s. */
    static final Duration RESPONSE_TIMEOUT = Duration.ofMillis(600);

    private static final Duration RECONNECT_INTERVAL = Duration.ofMillis(100);

    /** Receives what the engine responds. */
    interface Listener {
        /** Whether responses are still needed; otherwise no call is started. */
        boolean isActive();

        /**
         * A response arrived. Only called while active.
         *
         * @param response the response
         * @param page the page that was polled; 0 for the end of the query
         * @param newConnection whether the connection was established for this call
         */
        void onResponse(Response response, int page, boolean newConnection);

        /**
         * A call failed. Called also while not active.
         *
         * @param failure what failed
         * @param reason for logs
         * @param maybeSent whether any byte of the call may have been sent
         * @param page the page that was polled; 0 for the end of the query
         */
        void onCallFailed(EngineConnection.Failure failure, String reason, boolean maybeSent, int page);

        /** The engine became unreachable; not called again before it responds. */
        void onUnreachable();

        /** The engine has died or has dropped the query: polling has ended. */
        void onQueryLost(String reason);
    }

    private final EventLoop loop;
    private final ConnectionPool pool;
    private final String traceId;
    private final Listener listener;
    private final EngineReachability reachability = new EngineReachability();
    private EngineConnection calling; // null while no call is in flight
    private EngineConnection reserved; // connection of the last response, for the next call
    private Instant callStartedAt;

    QueryCalls(EventLoop loop, ConnectionPool pool, String traceId, Listener listener) {
        this.loop = loop;
        this.pool = pool;
        this.traceId = traceId;
        this.listener = listener;
    }

    /** Sends the POST. */
    void post(EngineConnection connection, byte[] request) {
        send(connection, request, 0);
    }

    /** When the latest call started. */
    Instant callStartedAt() {
        return callStartedAt;
    }

    /** Abandons the call in flight; returns when the latest call may have reached the engine. */
    Instant stop() {
        if (calling != null) {
            calling.abandon();
            calling = null;
            reachability.callFailed(loop.now());
        }
        release();
        return reachability.lastReachedAt();
    }

    // ---- The connection of the last response.

    /** Releases it to the pool. */
    void release() {
        if (reserved != null) {
            pool.release(reserved);
            reserved = null;
        }
    }

    /** Closes it: a late duplicate on it must not be read as the response to another call. */
    void closeReserved() {
        if (reserved != null) {
            reserved.abandon();
            reserved = null;
        }
    }

    /** Bars other queries from using the reserved connection, since its last response may have been a duplicate. */
    void suspectDuplicateResponse() {
        if (reserved != null) {
            reserved.suspectDuplicateResponse();
        }
    }

    // ---- Polls.

    /** Polls on the connection of the last response, or on one of the pool if that has ended. */
    void poll(int page) {
        EngineConnection last = reserved;
        reserved = null;
        if (last != null && !last.isStale()) {
            sendPoll(last, page);
            return;
        }
        reachability.setReservedConnectionStale(last != null);
        if (last != null) {
            last.abandon();
        }
        if (last != null && page > 0 && last.hasExcessBytes()) {
            listener.onCallFailed(EngineConnection.Failure.MALFORMED, "bytes behind the page before", true, page);
            return;
        }
        pool.acquire(new ConnectionPool.Callback() {
            @Override
            public void onConnection(EngineConnection connection) {
                sendPoll(connection, page);
            }

            @Override
            public void onFailure(ConnectFailure failure, String reason) {
                if (listener.isActive()) {
                    pollOnNewConnection(page);
                }
            }
        });
    }

    /** Polls on a new connection. */
    void pollOnNewConnection(int page) {
        pool.connect(new RetryingPoll(page));
    }

    private final class RetryingPoll implements ConnectionPool.Callback {
        private final int page;

        RetryingPoll(int page) {
            this.page = page;
        }

        @Override
        public void onConnection(EngineConnection connection) {
            sendPoll(connection, page);
        }

        @Override
        public void onFailure(ConnectFailure failure, String reason) {
            if (listener.isActive()) {
                pollLater(page, failure, reason);
            }
        }
    }

    /** Polls after {@link #RECONNECT_INTERVAL}, unless the engine has died or must have dropped the query by now. */
    void pollLater(int page, ConnectFailure failure, String reason) {
        if (reachability.hasDied(failure)) {
            listener.onQueryLost("engine has died: " + reason);
            return;
        }
        if (reachability.hasDroppedQuery(loop.now())) {
            listener.onQueryLost(
                    "not reached for " + reachability.unreachedFor(loop.now()).toMillis() + " ms: " + reason);
            return;
        }
        if (reachability.isNewlyUnreachable(failure)) {
            listener.onUnreachable();
        }
        loop.scheduleAfter(RECONNECT_INTERVAL, () -> {
            if (listener.isActive() && !failure.isEngineFault()) {
                pool.acquire(new RetryingPoll(page));
            } else if (listener.isActive()) {
                pollOnNewConnection(page);
            }
        });
    }

    private void sendPoll(EngineConnection connection, int page) {
        if (listener.isActive()) {
            send(connection, RequestEncoder.poll(pool.host(), traceId, page), page);
        } else {
            pool.release(connection);
        }
    }

    private void send(EngineConnection connection, byte[] request, int page) {
        calling = connection;
        callStartedAt = loop.now();
        reachability.callStarted(callStartedAt);
        connection.call(request, RESPONSE_TIMEOUT, new PendingCall(page, !connection.wasUsed()));
    }

    private final class PendingCall implements EngineConnection.Call {
        private final int page;
        private final boolean newConnection;

        PendingCall(int page, boolean newConnection) {
            this.page = page;
            this.newConnection = newConnection;
        }

        @Override
        public void onResponse(Response response, EngineConnection connection) {
            calling = null;
            reserved = connection;
            reachability.responseReceived();
            if (listener.isActive()) {
                listener.onResponse(response, page, newConnection);
            }
            if (!listener.isActive()) {
                release();
            }
        }

        @Override
        public void onFailure(EngineConnection.Failure failure, String reason, boolean maybeSent) {
            calling = null;
            reachability.callFailed(failure, loop.now());
            listener.onCallFailed(failure, reason, maybeSent, page);
        }
    }

    /** Records a response that refers to the query, not only to the connection. */
    void queryAnswered() {
        reachability.queryAnswered(loop.now());
    }

    /** Counts a broken connection; returns whether there were more in a row than the limit. */
    boolean isBrokenTooOften(EngineConnection.Failure failure) {
        return reachability.isBrokenTooOften(failure);
    }
}
