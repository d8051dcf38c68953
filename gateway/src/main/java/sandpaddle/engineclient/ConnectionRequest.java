package sandpaddle.engineclient;

import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import sandpaddle.eventloop.EventLoop;
import sandpaddle.eventloop.TimerQueue;

/**
 * A call's request for a connection. The SYN to a healthy engine may be lost, so a second connection is opened after a
 * delay; the first to be established, or to be released by another call, serves the request. It waits at most for the
 * connect timeout, since the retry budget accounts for a retry only for that long.
 *
 * <p>Confined to the event loop's thread.
 */
final class ConnectionRequest {
    /** The second connection is opened after the connect timeout divided by this; few connects take as long. */
    private static final int SECOND_CONNECT_DIVISOR = 3;

    private final EventLoop loop;
    private final ConnectionPool pool;
    private final ConnectionPool.Callback callback;
    private final boolean reserved;
    private final Instant startedAt;
    private final List<PendingConnection> pending = new ArrayList<>();
    private TimerQueue.Timer secondTimer;
    private TimerQueue.Timer timeout;
    private boolean done;

    /**
     * Creates a request that has not started.
     *
     * @param loop the event loop
     * @param pool the pool of the engine
     * @param callback receives the outcome, once
     * @param reserved whether the request may use the connections reserved for calls that cancel or change a query
     */
    ConnectionRequest(EventLoop loop, ConnectionPool pool, ConnectionPool.Callback callback, boolean reserved) {
        this.loop = loop;
        this.pool = pool;
        this.callback = callback;
        this.reserved = reserved;
        startedAt = loop.now();
    }

    /** Starts to connect; call it once. */
    void start() {
        if (!pool.limiter().hasDescriptor(reserved)) {
            fail(ConnectFailure.NO_CAPACITY, "limit on file descriptors reached");
        } else if (!pool.limiter().tryAcquire(pool, reserved)) {
            fail(ConnectFailure.NO_CAPACITY, "fleet's connection budget exhausted");
        } else if (open()) {
            Duration max = pool.connectTimeout();
            secondTimer = loop.scheduleAfter(max.dividedBy(SECOND_CONNECT_DIVISOR), this::openSecond);
            timeout = loop.scheduleAfter(max, this::timedOut);
        }
    }

    /** Whether the request has its connection or has failed. */
    boolean isDone() {
        return done;
    }

    private boolean open() {
        pool.limiter().opened();
        try {
            pending.add(new PendingConnection(loop, pool, this));
            return true;
        } catch (IOException e) {
            pool.limiter().closed(pool);
            if (pending.isEmpty()) {
                fail(ConnectFailure.of(e, ConnectFailure.NO_CAPACITY), e.toString());
            }
            return false;
        }
    }

    /** Opens at most one more, without closing idle ones, so that a slow engine is not flooded with connections. */
    private void openSecond() {
        if (!pool.isRetired() && pool.limiter().tryAcquireSpare(pool)) {
            open();
        }
    }

    private void timedOut() {
        String reason = "not connected within " + pool.connectTimeout().toMillis() + " ms";
        if (pool.hasReceivedSince(startedAt)) {
            fail(ConnectFailure.LATE, reason);
        } else {
            pool.invalidateIdle(); // they stay open and silent if the host is unreachable
            fail(ConnectFailure.UNREACHABLE, reason);
        }
    }

    /** Forgets a connection that was abandoned. */
    void remove(PendingConnection connection) {
        pending.remove(connection);
    }

    /** One of its connections failed to connect. */
    void connectFailed(PendingConnection connection, ConnectFailure failure, String reason) {
        remove(connection);
        if (!done && (failure == ConnectFailure.REFUSED || pending.isEmpty())) {
            fail(failure, reason);
        }
    }

    /** Hands a connection to the caller. */
    void complete(EngineConnection connection) {
        finish();
        callback.onConnection(connection);
    }

    private void fail(ConnectFailure failure, String reason) {
        finish();
        callback.onFailure(failure, reason);
    }

    private void finish() {
        done = true;
        if (secondTimer != null) {
            secondTimer.cancel();
            timeout.cancel();
        }
        pool.requestDone(this);
        List<PendingConnection> connecting = List.copyOf(pending);
        pending.clear();
        connecting.forEach(PendingConnection::requestDone);
    }
}
