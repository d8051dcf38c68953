package sandpaddle.engineclient;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Iterator;
import sandpaddle.eventloop.Scheduler;

/**
 * The idle connections of a pool, least recently used first. A connection may carry the call of another query once it
 * has been idle for {@link #QUIET_PERIOD}; it is then called quiet. Confined to the event loop's thread.
 */
final class IdleConnections {
    /**
     * How long a connection stays unused after a call. A late duplicate of that call's response that arrives in this
     * time is detected and not read as the response to the next call.
     */
    static final Duration QUIET_PERIOD = Duration.ofMillis(50);

    /** Greatest age at which a connection that was never used still serves as proof that the engine is reachable. */
    private static final Duration PROOF_PERIOD = Duration.ofSeconds(2);

    /**
     * An idle connection.
     *
     * @param connection the connection
     * @param since when the connection became idle
     * @param generation the pool's generation at that time; see {@link #invalidate}
     */
    record Idle(EngineConnection connection, Instant since, int generation) {
        /** When the connection is quiet and may carry the call of another query. */
        Instant quietAt() {
            return since.plus(QUIET_PERIOD);
        }
    }

    private final Scheduler loop;
    private final Duration maxIdle;
    private final ArrayDeque<Idle> idle = new ArrayDeque<>();
    private int generation; // connections of earlier generations must not be used

    IdleConnections(Scheduler loop, Duration maxIdle) {
        this.loop = loop;
        this.maxIdle = maxIdle;
    }

    void add(EngineConnection connection) {
        idle.addLast(new Idle(connection, loop.now(), generation));
    }

    /** Forgets a connection that has ended. */
    void remove(EngineConnection connection) {
        idle.removeIf(entry -> entry.connection == connection);
    }

    /** Whether a connection may be used: it belongs to the current generation and is not stale. */
    boolean isReusable(Idle entry) {
        return entry.generation == generation && !entry.connection.isStale();
    }

    /** Takes the most recently used connection that is quiet and reusable; null if there is none. */
    EngineConnection takeQuiet() {
        closeExpired();
        Instant latest = loop.now().minus(QUIET_PERIOD);
        for (Iterator<Idle> i = idle.descendingIterator(); i.hasNext(); ) {
            Idle entry = i.next();
            if (entry.since.isAfter(latest)) {
                continue;
            }
            i.remove();
            if (isReusable(entry)) {
                return entry.connection;
            }
            // the entry is removed already, so remove(), which the pool calls, does not change the iterated queue
            entry.connection.abandon();
        }
        return null;
    }

    /**
     * Takes the connection whose quiet period ends first; the caller waits until {@link Idle#quietAt}. Null if there is
     * no idle connection, or if connections expire before they are quiet: the engine could then close the connection
     * while a call is written to it.
     */
    Idle takeQuietSoon() {
        return QUIET_PERIOD.compareTo(maxIdle) < 0 ? idle.pollFirst() : null;
    }

    /** Takes a recently established connection that has carried no call; null if there is none. */
    EngineConnection takeJustConnected() {
        Instant earliest = loop.now().minus(PROOF_PERIOD);
        for (Idle entry : idle) {
            EngineConnection connection = entry.connection;
            if (!connection.wasUsed() && connection.isConnectedSince(earliest) && isReusable(entry)) {
                idle.remove(entry);
                return connection;
            }
        }
        return null;
    }

    /** Closes connections that have been idle for the maximum time. */
    void closeExpired() {
        Instant oldest = loop.now().minus(maxIdle);
        for (Iterator<Idle> i = idle.iterator(); i.hasNext(); ) {
            Idle entry = i.next();
            if (!entry.since.isBefore(oldest)) {
                return;
            }
            i.remove();
            entry.connection.abandon();
        }
    }

    /** Closes the connection that has been idle longest; returns whether there was one. */
    boolean closeOldest() {
        Idle oldest = idle.pollFirst();
        if (oldest != null) {
            oldest.connection.abandon();
        }
        return oldest != null;
    }

    void closeAll() {
        while (!idle.isEmpty()) {
            idle.pollLast().connection.abandon();
        }
    }

    /**
     * Closes all idle connections and begins a new generation, so that connections which {@link #takeQuietSoon} has
     * handed out, and whose quiet period has not ended, are not used either.
     */
    void invalidate() {
        generation++;
        closeAll();
    }
}
