package sandpaddle.engineclient;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.time.Duration;
import sandpaddle.eventloop.Connection;
import sandpaddle.eventloop.EventLoop;
import sandpaddle.eventloop.TimerQueue;

/**
 * A connection that is being established for a request, which may complete earlier through another connection. The
 * caller has counted it in the {@link ConnectionLimiter}. Confined to the event loop's thread.
 */
final class PendingConnection implements Connection.Listener {
    /** Lower bound on the connect timeout, long enough for a retransmitted SYN. */
    private static final Duration MIN_TIMEOUT = Duration.ofSeconds(2);

    private final ConnectionPool pool;
    private final ConnectionRequest request;
    private final EngineConnection target;
    private final Connection connection;
    private final TimerQueue.Timer timeout;

    /**
     * Starts to connect.
     *
     * @throws IOException if that fails at once; neither the pool nor the request is notified then
     */
    PendingConnection(EventLoop loop, ConnectionPool pool, ConnectionRequest request) throws IOException {
        this.pool = pool;
        this.request = request;
        target = new EngineConnection(loop, pool);
        connection = Connection.open(loop, EventLoop.HandlerPriority.ENGINE, pool.address(), this);
        Duration requested = pool.connectTimeout();
        timeout = loop.scheduleAfter(requested.compareTo(MIN_TIMEOUT) > 0 ? requested : MIN_TIMEOUT, this::abandon);
    }

    /** Its request is done: keeps connecting for the next call. */
    void requestDone() {
        if (!connection.isConnected()) {
            pool.addSparePending(this);
        }
    }

    void abandon() {
        timeout.cancel();
        connection.close();
        pool.connectEnded(this);
        request.remove(this);
    }

    @Override
    public void onConnected() {
        timeout.cancel();
        target.attach(connection);
        pool.connected(this, target, request);
    }

    @Override
    public void onReceived(ByteBuffer bytes) {
        throw new IllegalStateException("bytes received before the connection was established");
    }

    @Override
    public void onClosed(Exception cause) {
        timeout.cancel();
        pool.connectEnded(this);
        request.connectFailed(this, ConnectFailure.of(cause, ConnectFailure.UNREACHABLE), String.valueOf(cause));
    }
}
