package sandpaddle.query;

import java.time.Duration;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/** Accepts queries from the frontends. Confined to the event loop's thread. */
public interface QueryService {
    /** A submitted query. */
    interface PendingQuery {
        /** Reports that the client no longer waits; no answer follows. No effect once the query is answered. */
        void clientDisconnected();
    }

    /** Whether a complete endpoint list is known; until then a frontend should not accept queries. */
    boolean isReady();

    /**
     * Reports a new connection. Called once for each connection, before anything is read from it.
     *
     * @return the Retry-After with which to reject the connection, empty if it is to be served
     */
    default Optional<Duration> connectionOpened() {
        return Optional.empty();
    }

    /** The Retry-After for a client that is rejected for lack of capacity; zero without advice. */
    default Duration retryAfterWhenFull() {
        return Duration.ZERO;
    }

    /** Submits a query that has just arrived, from a client whose disconnect is reported only by the frontend. */
    default PendingQuery submit(Query query, Consumer<Answer> callback) {
        return submit(query, () -> true, callback);
    }

    /** Submits a query that has just arrived. */
    default PendingQuery submit(Query query, BooleanSupplier connectionCheck, Consumer<Answer> callback) {
        return submit(query, Duration.ZERO, connectionCheck, callback);
    }

    /**
     * Submits a query.
     *
     * @param query the query
     * @param waited how much of its timeout has passed since it arrived
     * @param connectionCheck returns, right before an attempt is written, whether the client is still connected; also
     *     reports a disconnect that it detects by {@link PendingQuery#clientDisconnected}
     * @param callback receives the answer once, during this call or in a later turn of the event loop
     */
    PendingQuery submit(Query query, Duration waited, BooleanSupplier connectionCheck, Consumer<Answer> callback);
}
