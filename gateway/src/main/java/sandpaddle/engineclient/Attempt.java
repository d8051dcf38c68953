package sandpaddle.engineclient;

import java.time.Instant;
import sandpaddle.eventloop.EventLoop;
import sandpaddle.eventloop.TimerQueue;
import sandpaddle.query.AttemptEnd;
import sandpaddle.query.AttemptSpec;
import sandpaddle.query.EngineClient;

/**
 * State machine of one attempt: CONNECTING until it has a connection, IN_FLIGHT while {@link QueryPoller} polls for its
 * end, CANCELLING while its engine is told to stop by a DELETE, ENDED. The listener is notified of the end once.
 *
 * <p>Confined to the event loop's thread.
 */
final class Attempt implements EngineClient.AttemptHandle, QueryPoller.Owner, ConnectionPool.Callback {
    private enum Phase {
        CONNECTING,
        IN_FLIGHT,
        CANCELLING,
        ENDED
    }

    private final EventLoop loop;
    private final HttpEngineClient client;
    private final String engine;
    private final ConnectionPool pool;
    private final AttemptSpec spec;
    private final EngineClient.AttemptListener listener;
    private final QueryPoller poller;
    private final TimerQueue.Timer timeout;
    private Phase phase = Phase.CONNECTING;

    /** Starts the attempt; the listener may be notified within the constructor. */
    Attempt(
            EventLoop loop,
            HttpEngineClient client,
            String engine,
            AttemptSpec spec,
            EngineClient.AttemptListener listener) {
        this.loop = loop;
        this.client = client;
        this.engine = engine;
        this.spec = spec;
        this.listener = listener;
        pool = client.pool(engine);
        poller = new QueryPoller(loop, pool, engine, spec, listener, this);
        timeout = loop.schedule(spec.deadline(), () -> cancel(new AttemptEnd.TimedOut(), false));
        if (spec.isTrial()) {
            pool.acquireForTrial(this);
        } else {
            pool.acquire(this);
        }
    }

    // ---- CONNECTING.

    /** Writes the query, unless that was ruled out while the connection was established. */
    @Override
    public void onConnection(EngineConnection connection) {
        String obstacle = phase == Phase.CONNECTING ? obstacle() : null;
        if (phase != Phase.CONNECTING) { // isClientWaiting() may have cancelled the attempt
            pool.release(connection);
        } else if (obstacle != null) {
            pool.release(connection);
            end(new AttemptEnd.NotStarted(obstacle));
        } else {
            phase = Phase.IN_FLIGHT;
            poller.start(connection);
        }
    }

    /** Returns why the query must not be written; null if it may be written. */
    private String obstacle() {
        if (!spec.isClientWaiting().getAsBoolean()) {
            return "client disconnected";
        }
        if (!client.isAvailable(engine)) {
            return "engine is draining";
        }
        return loop.now().isBefore(spec.writeDeadline()) ? null : "write deadline passed";
    }

    @Override
    public void onFailure(ConnectFailure failure, String reason) {
        if (phase == Phase.CONNECTING) {
            end(failure.isEngineFault() ? new AttemptEnd.NotConnected(reason) : new AttemptEnd.NotStarted(reason));
        }
    }

    // ---- IN_FLIGHT.

    @Override
    public boolean isInFlight() {
        return phase == Phase.IN_FLIGHT;
    }

    @Override
    public void setPriority(int priority) {
        if (phase == Phase.IN_FLIGHT) {
            byte[] request = RequestEncoder.setPriority(pool.host(), spec.traceId(), priority);
            ControlCall.change(loop, client, pool, request, loop.now().plus(EngineReachability.DROPPED_AFTER));
        }
    }

    // ---- CANCELLING.

    @Override
    public void cancel(boolean requestOver) {
        cancel(new AttemptEnd.Cancelled(), requestOver);
    }

    @Override
    public void endAfterCancel(AttemptEnd end) {
        cancel(end, false);
    }

    /**
     * Tells the engine to stop. The end is reported once the engine has confirmed the DELETE or must have dropped the
     * query, since a request has at most one attempt in flight; it is reported immediately if no retry follows.
     */
    private void cancel(AttemptEnd end, boolean requestOver) {
        if (phase == Phase.CONNECTING) {
            end(new AttemptEnd.NotStarted("cancelled while connecting"));
            return;
        }
        if (phase != Phase.IN_FLIGHT) {
            return;
        }
        phase = Phase.CANCELLING;
        timeout.cancel();
        boolean isReportedNow = requestOver || spec.isFinal() && end instanceof AttemptEnd.TimedOut;
        Instant lastReachedAt = poller.stop();
        ControlCall.cancel(
                loop,
                client,
                pool,
                RequestEncoder.cancel(pool.host(), spec.traceId()),
                lastReachedAt.plus(EngineReachability.DROPPED_AFTER),
                poller.isKnownToEngine(),
                isReportedNow ? listener.whenStopped() : () -> end(end));
        if (isReportedNow) {
            report(end);
        }
    }

    // ---- ENDED.

    @Override
    public void end(AttemptEnd end) {
        if (phase != Phase.ENDED) {
            report(end);
            listener.whenStopped().run();
        }
    }

    private void report(AttemptEnd end) {
        phase = Phase.ENDED;
        timeout.cancel();
        poller.release();
        listener.onEnd(end);
    }
}
