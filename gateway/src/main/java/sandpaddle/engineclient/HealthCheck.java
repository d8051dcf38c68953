package sandpaddle.engineclient;

import java.time.Duration;
import java.util.function.Consumer;
import sandpaddle.eventloop.EventLoop;
import sandpaddle.query.HealthCheckResult;

/** One request for an engine's load. Confined to the event loop's thread. */
final class HealthCheck implements ConnectionPool.Callback, EngineConnection.Call {
    private static final int OK = 200;

    private final EventLoop loop;
    private final ConnectionPool pool;
    private final Duration timeout;
    private final Consumer<HealthCheckResult> callback;
    private boolean ended;

    /**
     * Creates a health check that has not started.
     *
     * @param loop the event loop
     * @param pool the pool of the engine
     * @param timeout for the response, from when there is a connection
     * @param callback receives the result, once
     */
    HealthCheck(EventLoop loop, ConnectionPool pool, Duration timeout, Consumer<HealthCheckResult> callback) {
        this.loop = loop;
        this.pool = pool;
        this.timeout = timeout;
        this.callback = callback;
    }

    void start() {
        pool.acquire(this);
    }

    /** Keeps reading a late response after the timeout, so that the connection can be reused. */
    @Override
    public void onConnection(EngineConnection connection) {
        loop.scheduleAfter(timeout, () -> end(HealthCheckResult.Kind.TIMED_OUT, null));
        connection.call(RequestEncoder.getLoad(pool.host()), timeout.plus(timeout), this);
    }

    @Override
    public void onFailure(ConnectFailure failure, String reason) {
        end(failure.isEngineFault() ? HealthCheckResult.Kind.NOT_CONNECTED : HealthCheckResult.Kind.NOT_STARTED, null);
    }

    @Override
    public void onResponse(Response response, EngineConnection connection) {
        if (connection != null) {
            pool.release(connection);
        }
        end(
                response.status() == OK ? HealthCheckResult.Kind.HEALTHY : HealthCheckResult.Kind.UNHEALTHY,
                response.header(QueryPoller.STATS_HEADER));
    }

    @Override
    public void onFailure(EngineConnection.Failure failure, String reason, boolean maybeSent) {
        end(HealthCheckResult.Kind.CONNECTION_LOST, null);
    }

    private void end(HealthCheckResult.Kind kind, String stats) {
        if (!ended) {
            ended = true;
            callback.accept(new HealthCheckResult(kind, stats));
        }
    }
}
