package sandpaddle.engineclient;

import java.time.Duration;
import java.time.Instant;

/**
 * Records when a call of one query may have reached its engine last, and tells from it whether the engine's process has
 * died or it has dropped the query for lack of polls. A call that was written may arrive until its connection is reset:
 * TCP sends it again, through a partition too. A pure state machine: the time is an argument.
 */
final class EngineReachability {
    /** An engine drops a query 2 s after its last poll, which it may delay by 250 ms; plus a margin of 50 ms. */
    static final Duration DROPPED_AFTER = Duration.ofMillis(2300);

    /** Limit on consecutive broken connections, without a response between them. */
    private static final int MAX_CONSECUTIVE_BREAKS = 3;

    private Instant lastReachedAt;
    private int consecutiveBreaks;
    private boolean closedByEngine; // how the latest connection ended
    private boolean unreachableReported;

    /** A call starts. The engine counts as reached when the first call starts. */
    void callStarted(Instant now) {
        lastReachedAt = lastReachedAt == null ? now : lastReachedAt;
    }

    /** A response arrived, possibly one that does not refer to the query. */
    void responseReceived() {
        unreachableReported = false;
    }

    /** A response arrived that refers to the query. */
    void queryAnswered(Instant now) {
        consecutiveBreaks = 0;
        lastReachedAt = now;
    }

    /** A call ended without a readable response, and its connection was reset: it may have arrived until now. */
    void callFailed(EngineConnection.Failure failure, Instant now) {
        callFailed(now);
        closedByEngine = failure == EngineConnection.Failure.CONNECTION_CLOSED;
    }

    /** A call was abandoned, and its connection was reset: it may have arrived until now. */
    void callFailed(Instant now) {
        lastReachedAt = now;
    }

    /** The latest time at which a call may have reached the engine; null before the first call. */
    Instant lastReachedAt() {
        return lastReachedAt;
    }

    /** Records, before a call, whether the connection reserved for it has ended meanwhile. */
    void setReservedConnectionStale(boolean stale) {
        closedByEngine = stale;
    }

    /** Counts a broken connection; returns whether there were more in a row than the limit. */
    boolean isBrokenTooOften(EngineConnection.Failure failure) {
        return failure == EngineConnection.Failure.CONNECTION_CLOSED && ++consecutiveBreaks > MAX_CONSECUTIVE_BREAKS;
    }

    /** Whether the process died: refused after a closed connection. Other refusals may be for lack of connections. */
    boolean hasDied(ConnectFailure failure) {
        return failure == ConnectFailure.REFUSED && closedByEngine;
    }

    /** Whether the engine must have dropped the query for lack of polls. */
    boolean hasDroppedQuery(Instant now) {
        return lastReachedAt.plus(DROPPED_AFTER).isBefore(now);
    }

    /** Time since the engine was last reached. */
    Duration unreachedFor(Instant now) {
        return Duration.between(lastReachedAt, now);
    }

    /** Whether to report the engine as unreachable: once until it responds again. */
    boolean isNewlyUnreachable(ConnectFailure failure) {
        boolean first = failure.isEngineFault() && !unreachableReported;
        unreachableReported |= first;
        return first;
    }
}
