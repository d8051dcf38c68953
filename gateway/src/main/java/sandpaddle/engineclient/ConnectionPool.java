package sandpaddle.engineclient;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import sandpaddle.eventloop.EventLoop;

/**
 * The connections to one engine, identified by its id: another engine at the same address has a pool of its own. Idle
 * connections are closed before the engine closes them, so that no call is written on a connection that is about to
 * end.
 *
 * <p>Confined to the event loop's thread. Bounded by {@link ConnectionLimiter}.
 */
final class ConnectionPool {
    /** Receives the outcome of a request: one of the methods is called, once, possibly before the request returns. */
    interface Callback {
        /** A connection is available; the callee sends a call on it or releases it. */
        void onConnection(EngineConnection connection);

        /** There is no connection; {@code reason} is for logs. */
        void onFailure(ConnectFailure failure, String reason);
    }

    /** Limit on pending connections whose request is done. */
    private static final int MAX_SPARE_PENDING = 2;

    private final EventLoop loop;
    private final ConnectionLimiter limiter;
    private final ConnectionTimeouts timeouts;
    private final String id;
    private final InetSocketAddress address;
    private final IdleConnections idle;
    private final ArrayDeque<ConnectionRequest> waiting = new ArrayDeque<>(); // oldest first
    private final ArrayDeque<PendingConnection> sparePending = new ArrayDeque<>(); // their requests are done
    private Instant lastReceivedAt = Instant.MIN;
    private boolean retired;

    ConnectionPool(
            EventLoop loop,
            ConnectionLimiter limiter,
            ConnectionTimeouts timeouts,
            String id,
            InetSocketAddress address) {
        this.loop = loop;
        this.limiter = limiter;
        this.timeouts = timeouts;
        this.id = id;
        this.address = address;
        idle = new IdleConnections(loop, timeouts.maxIdle());
    }

    String id() {
        return id;
    }

    InetSocketAddress address() {
        return address;
    }

    /** Value of the Host header. */
    String host() {
        return address.getHostString() + ":" + address.getPort();
    }

    ConnectionLimiter limiter() {
        return limiter;
    }

    Duration connectTimeout() {
        return timeouts.connect();
    }

    boolean isRetired() {
        return retired;
    }

    // ---- Acquiring.

    /** Requests a connection that has been quiet since its last call, or a new one. */
    void acquire(Callback callback) {
        acquire(callback, false);
    }

    /** Like {@link #acquire(Callback)}, for a call that cancels or changes a query: may use reserved connections. */
    void acquireReserved(Callback callback) {
        acquire(callback, true);
    }

    /**
     * Waits for a connection that was just used rather than opening one: the wait is at most {@link
     * IdleConnections#QUIET_PERIOD}, which costs less than a handshake costs the engine. With many gateways this is the
     * common case: each has few queries on an engine and sends the next to an engine on which one has just ended.
     */
    private void acquire(Callback callback, boolean reserved) {
        EngineConnection quiet = idle.takeQuiet();
        if (quiet != null) {
            callback.onConnection(quiet);
            return;
        }
        IdleConnections.Idle next = idle.takeQuietSoon();
        if (next != null) {
            loop.schedule(next.quietAt(), () -> acquireQuiet(next, callback, reserved));
        } else {
            connectOrReuse(callback, reserved);
        }
    }

    private void acquireQuiet(IdleConnections.Idle taken, Callback callback, boolean reserved) {
        if (idle.isReusable(taken)) {
            callback.onConnection(taken.connection());
        } else {
            taken.connection().abandon();
            connectOrReuse(callback, reserved);
        }
    }

    /** Connects; a connection released meanwhile serves the request as well, since the new one may be late. */
    private void connectOrReuse(Callback callback, boolean reserved) {
        ConnectionRequest request = new ConnectionRequest(loop, this, callback, reserved);
        request.start();
        if (!request.isDone()) {
            waiting.addLast(request);
        }
    }

    /** Requests a new connection even if an idle one is available. */
    void connect(Callback callback) {
        new ConnectionRequest(loop, this, callback, false).start();
    }

    /**
     * Requests a connection for a trial, which has to prove that the engine is reachable. An idle connection is not
     * used: its host may be unreachable and would receive the call once the network recovers. Idle connections are
     * closed first, since those of many gateways would fill the engine's connection table. A connection that was
     * established recently and has carried no call is used without another handshake.
     */
    void acquireForTrial(Callback callback) {
        EngineConnection justConnected = idle.takeJustConnected();
        idle.invalidate();
        if (justConnected == null) {
            connect(callback);
        } else {
            callback.onConnection(justConnected);
        }
    }

    /** A request has its connection, or has failed. */
    void requestDone(ConnectionRequest request) {
        waiting.remove(request);
    }

    // ---- Connections that are being established.

    /** Keeps a pending connection whose request is done, for the next call. */
    void addSparePending(PendingConnection pending) {
        sparePending.addLast(pending);
        if (sparePending.size() > MAX_SPARE_PENDING) {
            sparePending.peekFirst().abandon();
        }
    }

    /** Hands over an established connection; if its own request is done, the longest waiting one receives it. */
    void connected(PendingConnection pending, EngineConnection connection, ConnectionRequest request) {
        sparePending.remove(pending);
        bytesReceived();
        ConnectionRequest receiver = request.isDone() ? waiting.peekFirst() : request;
        if (receiver == null || request.isDone() && retired) {
            release(connection);
        } else {
            receiver.complete(connection);
        }
    }

    /** A pending connection has failed or was abandoned. */
    void connectEnded(PendingConnection pending) {
        sparePending.remove(pending);
        limiter.closed(this);
    }

    // ---- Established connections.

    /** Records a sign of life of the engine: bytes were received or a connection was established. */
    void bytesReceived() {
        lastReceivedAt = loop.now();
    }

    /** Whether the engine gave a sign of life at {@code from} or later. */
    boolean hasReceivedSince(Instant from) {
        return !lastReceivedAt.isBefore(from);
    }

    /** Takes a connection back after its call. */
    void release(EngineConnection connection) {
        if (retired || connection.isEnded() || connection.mayHaveDuplicateResponse()) {
            connection.abandon();
            return;
        }
        idle.add(connection);
        if (!waiting.isEmpty()) {
            loop.scheduleAfter(IdleConnections.QUIET_PERIOD, this::serveWaiting);
        }
    }

    private void serveWaiting() {
        EngineConnection quiet = waiting.isEmpty() ? null : idle.takeQuiet();
        while (quiet != null) {
            waiting.peekFirst().complete(quiet);
            quiet = waiting.isEmpty() ? null : idle.takeQuiet();
        }
    }

    /** An established connection has ended. */
    void connectionEnded(EngineConnection connection) {
        idle.remove(connection);
        limiter.closed(this);
    }

    // ---- Closing.

    /** Closes connections that have been idle for the maximum time. */
    void closeExpired() {
        idle.closeExpired();
    }

    void closeIdle() {
        idle.closeAll();
    }

    /** Closes the idle connections, and those awaiting their quiet period: their host may be unreachable. */
    void invalidateIdle() {
        idle.invalidate();
    }

    /** Closes the connections to an earlier process of the engine, which was restarted. */
    void invalidateUnused() {
        idle.invalidate();
        abandonSparePending();
    }

    /** Closes all connections that neither carry a call nor serve a waiting request. */
    void closeUnused() {
        idle.closeAll();
        abandonSparePending();
    }

    private void abandonSparePending() {
        while (!sparePending.isEmpty()) {
            sparePending.peekFirst().abandon();
        }
    }

    /** Closes a spare pending connection, else the one that has been idle longest; returns whether there was one. */
    boolean closeOldest() {
        if (!sparePending.isEmpty()) {
            sparePending.peekFirst().abandon();
            return true;
        }
        return idle.closeOldest();
    }

    /** Retires the pool of a removed engine: calls in flight may complete, then their connections are closed. */
    void retire() {
        retired = true;
        invalidateUnused();
    }
}
