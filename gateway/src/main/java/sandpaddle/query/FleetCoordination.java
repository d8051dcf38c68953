package sandpaddle.query;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import sandpaddle.decision.event.AttemptResult;
import sandpaddle.decision.event.EngineListReceived;
import sandpaddle.decision.event.Event;

/**
 * The state that gateways share for serving requests: quotas, verdicts on engines and stored answers. Confined to the
 * event loop's thread. No call blocks: each reads an immutable view and writes counters without a lock. {@link #NONE}
 * is for gateways that share nothing.
 */
public interface FleetCoordination {
    /** For gateways that share nothing: every attempt is allowed, and there are no events. */
    FleetCoordination NONE = new FleetCoordination() {};

    /** Returns the quotas and verdicts that changed since the last call, as events for the decision module. */
    default List<Event> pollEvents() {
        return List.of();
    }

    /**
     * Counts an accepted query.
     *
     * @return its tenant's index in the decision module, -1 if tenants are not distinguished
     */
    default int requestReceived(int classIndex, Query query) {
        return -1;
    }

    /** Counts requests that wait without an attempt in flight; {@code delta} is 1 for a new one, -1 if one ended. */
    default void queuedRequestsChanged(int classIndex, String tenant, int delta) {}

    /**
     * Acquires quota for an attempt that is about to be written. Leases are checked against the monotonic clock.
     *
     * @return whether the quotas suffice; if not, the attempt is not counted
     */
    default boolean tryStartAttempt(Query query, int classIndex, String engine) {
        return true;
    }

    /** Records that an attempt which {@link #tryStartAttempt} counted has ended. */
    default void attemptEnded(EndedAttempt end) {}

    /**
     * The end of an attempt.
     *
     * @param classIndex position of its request class in the settings
     * @param query the query that it ran
     * @param engine id of the engine
     * @param result how it ended
     * @param elapsed time since its start
     * @param rows its result, null if it has none
     * @param stopped whether the engine has certainly stopped it; if not, the engine is still being told to stop
     */
    record EndedAttempt(
            int classIndex,
            Query query,
            String engine,
            AttemptResult result,
            Duration elapsed,
            ResultSet rows,
            boolean stopped) {}

    /** Records that a health check has ended. */
    default void healthCheckEnded(String engine, AttemptResult result) {}

    /** Records a change of the endpoint list; the decision module receives the same event. */
    default void engineListReceived(EngineListReceived list) {}

    /**
     * Looks for an answer without an engine while the zone is isolated: a stored result, or a rejection until the
     * uplink is restored.
     *
     * @param callback receives the answer in a later turn, empty if the query needs an engine
     * @return whether a lookup was started; if not, {@code callback} is not called and the query needs an engine
     */
    default boolean tryAnswerWithoutEngine(int classIndex, Query query, Consumer<Optional<Answer>> callback) {
        return false;
    }

    /** Reports whether a retry storm is active; nothing is prefetched during one. */
    default void retryStormChanged(boolean active) {}

    /** An attempt in flight, by the id of its request. */
    record InFlightAttempt(String id, int classIndex, String tenant, String engine) {}

    /** Whether a quota has lapsed or shrunk, so that {@link #attemptsOverQuota} should be called. */
    default boolean hasAttemptsOverQuota() {
        return false;
    }

    /** Returns the ids of the attempts to cancel, whose quota has lapsed. They may be retried. */
    default List<String> attemptsOverQuota(List<InFlightAttempt> inFlight) {
        return List.of();
    }
}
