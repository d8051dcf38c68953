package sandpaddle.mysql;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The sessions by connection id; those without an open query also in the order in which they are evicted. */
final class SessionRegistry {
    /** Minimum age at which a session that has not received a command may be evicted. */
    private static final Duration MIN_AGE_WITHOUT_COMMAND = Duration.ofMillis(100);
    /** Minimum time since the last answer after which a session may be evicted; clients resend a crossing request. */
    private static final Duration MIN_IDLE_TIME = Duration.ofMillis(10);

    private final Map<Integer, Session> byId = new HashMap<>();
    private final Set<Session> sessionsWithoutCommand = new LinkedHashSet<>(); // oldest first
    private final Set<Session> idle = new LinkedHashSet<>(); // longest idle first

    /** Adds a session that was just opened. */
    void add(Session session) {
        byId.put(session.id, session);
        sessionsWithoutCommand.add(session);
    }

    /** The session with this connection id; null if there is none. */
    Session get(int id) {
        return byId.get(id);
    }

    int size() {
        return byId.size();
    }

    List<Session> all() {
        return List.copyOf(byId.values());
    }

    /** The sessions that have not received a command yet, oldest first. */
    List<Session> sessionsWithoutCommand() {
        return List.copyOf(sessionsWithoutCommand);
    }

    /** Removes a session from the candidates for eviction, since it has an open query. */
    void markBusy(Session session) {
        sessionsWithoutCommand.remove(session);
        idle.remove(session);
    }

    /** Makes a session that has received a command and has no open query the last candidate for eviction. */
    void markIdle(Session session) {
        markBusy(session);
        idle.add(session);
    }

    void remove(Session session) {
        markBusy(session);
        byId.remove(session.id);
    }

    /**
     * Evicts one session, so that clients that only hold connections do not lock out active ones: first the oldest one
     * without a command, then the one that has been idle longest. Sessions with a request are never evicted.
     *
     * @return whether a session was evicted
     */
    boolean evictIdleSession(Instant now) {
        Instant openedBefore = now.minus(MIN_AGE_WITHOUT_COMMAND);
        Instant idleBefore = now.minus(MIN_IDLE_TIME);
        return sessionsWithoutCommand().stream()
                        .takeWhile(session -> session.openedAt().isBefore(openedBefore))
                        .anyMatch(Session::tryEvict)
                || List.copyOf(idle).stream()
                        .takeWhile(session -> session.idleSince().isBefore(idleBefore))
                        .anyMatch(Session::tryEvict);
    }
}
