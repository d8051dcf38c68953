package sandpaddle.engineclient;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import sandpaddle.eventloop.EventLoop;
import sandpaddle.query.AttemptSpec;
import sandpaddle.query.EngineClient;
import sandpaddle.query.HealthCheckResult;

/**
 * Client of engines that speak HTTP/1.1 with long polls. Holds a connection pool for each engine of the endpoint list,
 * and for some seconds for each that was removed.
 *
 * <p>Confined to the event loop's thread. Bounded by the endpoint list and by {@link ConnectionLimiter}.
 */
public final class HttpEngineClient implements EngineClient {
    /** Fraction of the engines' idle timeout after which this side closes an idle connection. */
    private static final double MAX_IDLE_FRACTION = 0.85;

    private static final Duration SWEEP_INTERVAL = Duration.ofSeconds(1);

    /** How long a removed engine is retained, so that an action of the same turn still finds it. */
    private static final Duration REMOVED_RETENTION = Duration.ofSeconds(5);

    private static final class Entry {
        private ConnectionPool pool;
        private Instant startedAt;
        private boolean available;
        private Instant removedAt; // null while it is listed
    }

    private final EventLoop loop;
    private final ConnectionTimeouts timeouts;
    private final ConnectionLimiter limiter;
    private final Map<String, Entry> entries = new HashMap<>();
    private int controlCalls;

    /**
     * Creates a client that knows no engines.
     *
     * @param loop the event loop
     * @param connectTimeout how long a call waits for a connection
     * @param engineIdleTimeout after how long engines close idle connections
     * @param maxConnections limit on connections to all engines
     */
    public HttpEngineClient(EventLoop loop, Duration connectTimeout, Duration engineIdleTimeout, int maxConnections) {
        this.loop = loop;
        Duration maxIdle = Duration.ofMillis((long) (engineIdleTimeout.toMillis() * MAX_IDLE_FRACTION));
        timeouts = new ConnectionTimeouts(connectTimeout, maxIdle);
        limiter = new ConnectionLimiter(
                maxConnections,
                () -> entries.values().stream().map(entry -> entry.pool).iterator());
        sweep();
    }

    /** Sets the budget of connections to each engine; call it before the first connection is opened. */
    public void setConnectionBudget(ConnectionBudget budget) {
        limiter.setBudget(budget);
    }

    /** Closes expired connections and drops removed engines, whose ids are not reused. */
    private void sweep() {
        entries.values().forEach(entry -> entry.pool.closeExpired());
        Instant oldest = loop.now().minus(REMOVED_RETENTION);
        entries.values().removeIf(entry -> entry.removedAt != null && entry.removedAt.isBefore(oldest));
        loop.scheduleAfter(SWEEP_INTERVAL, this::sweep);
    }

    // ---- The endpoint list.

    /**
     * {@inheritDoc} A call written on a connection to an earlier process of the engine would count as having run, so
     * these connections are closed when the start time changes.
     */
    @Override
    public void updateEngine(
            String id, InetSocketAddress address, Instant startedAt, boolean available, boolean removed) {
        if (address == null && !entries.containsKey(id)) {
            return; // no address, and no pool of an earlier one
        }
        Entry entry = entries.computeIfAbsent(id, unknown -> new Entry());
        if (address != null) {
            updatePool(entry, id, address);
        }
        if (!startedAt.equals(entry.startedAt)) {
            entry.pool.invalidateUnused();
        }
        entry.removedAt = null;
        if (removed) {
            remove(entry);
        }
        entry.available = available;
        entry.startedAt = startedAt;
    }

    private void updatePool(Entry entry, String id, InetSocketAddress address) {
        ConnectionPool current = entry.pool;
        if (current != null && !current.isRetired() && current.address().equals(address)) {
            return;
        }
        if (current != null) {
            current.retire();
        }
        entry.pool = new ConnectionPool(loop, limiter, timeouts, id, address);
    }

    private void remove(Entry entry) {
        entry.available = false;
        entry.removedAt = loop.now();
        entry.pool.retire();
    }

    @Override
    public void retainEngines(Set<String> ids) {
        entries.forEach((id, entry) -> {
            if (!ids.contains(id) && entry.removedAt == null) {
                remove(entry);
            }
        });
    }

    @Override
    public boolean isAvailable(String id) {
        Entry entry = entries.get(id);
        return entry != null && entry.available;
    }

    /** Number of engines, including removed ones that are still retained. */
    int size() {
        return entries.size();
    }

    /** The pool of an engine that is listed or was removed in this turn. */
    ConnectionPool pool(String id) {
        return entries.get(id).pool;
    }

    // ---- Calls.

    @Override
    public AttemptHandle startAttempt(String engine, AttemptSpec spec, AttemptListener listener) {
        return new Attempt(loop, this, engine, spec, listener);
    }

    @Override
    public void checkHealth(String engine, Consumer<HealthCheckResult> callback) {
        new HealthCheck(loop, pool(engine), timeouts.connect(), callback).start();
    }

    void controlCallStarted() {
        controlCalls++;
    }

    void controlCallEnded() {
        controlCalls--;
    }

    @Override
    public boolean hasNoPendingCancels() {
        return controlCalls == 0;
    }
}
