package sandpaddle.interleaving;

import java.util.function.Predicate;

/** The events of a schedule, each with its precondition and whether it can occur during a turn. */
enum Event {
    REQUEST_START(true, p -> !p.hasDisconnected() && p.sentBytes() == 0, p -> p.sendRequestBytes(30)),
    REQUEST_REMAINDER(
            true,
            p -> !p.hasDisconnected() && p.sentBytes() < p.requestBytes(),
            p -> p.sendRequestBytes(p.requestBytes() - p.sentBytes())),
    CLIENT_HALF_CLOSES(
            true, p -> p.sentBytes() > 0 && !p.hasDisconnected(), p -> p.disconnect(ScriptedClient::halfClose)),
    CLIENT_CLOSES(true, p -> p.sentBytes() > 0 && !p.hasDisconnected(), p -> p.disconnect(ScriptedClient::disconnect)),
    CLIENT_RESETS(
            true, p -> p.sentBytes() > 0 && !p.hasDisconnected(), p -> p.disconnect(ScriptedClient::resetConnection)),
    KILL_QUERY(
            false,
            p -> p.hasSentRequest() && !p.hasDisconnected() && !p.hasKilledQuery() && p.acceptsConnections(),
            ScriptedPeers::killQuery),
    TIME_STEP(false, p -> p.sentBytes() > 0, p -> p.advance(ScriptedPeers.TIME_STEP_MS)),
    CLIENT_TIMEOUT(false, p -> p.remainingMs() > 0, p -> p.advance(p.remainingMs() + 1)),
    SHUTDOWN(true, p -> !p.isShutdownRequested(), ScriptedPeers::requestShutdown),
    GRACE_PERIOD(
            false,
            p -> p.isShutdownRequested() && p.acceptsConnections(),
            p -> p.advance(ScriptedPeers.GRACE_PERIOD_MS)),
    ENGINE_DRAINS(true, p -> p.engineHealth().equals("Ready"), p -> p.updateEndpointList("Terminating")),
    ENGINE_REMOVED(true, p -> !p.engineHealth().equals("Gone"), p -> p.updateEndpointList("Gone")),
    ROWS(false, ScriptedPeers::hasOpenCall, p -> p.respond("ROWS", ScriptedEngine.ROWS)),
    IN_PROGRESS(false, ScriptedPeers::hasOpenCall, p -> p.respond("IN_PROGRESS", ScriptedEngine.IN_PROGRESS)),
    ERROR(false, ScriptedPeers::hasOpenCall, p -> p.respond("ERROR", ScriptedEngine.FAILED)),
    DECLINED(false, ScriptedPeers::hasOpenCall, p -> p.respond("DECLINED", ScriptedEngine.DECLINED)),
    DUPLICATE_RESPONSE(false, ScriptedPeers::hasResponded, ScriptedPeers::duplicateResponse),
    ENGINE_CLOSES(false, ScriptedPeers::isEngineConnected, p -> p.closeEngineConnection(false)),
    ENGINE_RESETS(false, ScriptedPeers::isEngineConnected, p -> p.closeEngineConnection(true)),
    THREE_ENGINE_RESETS(false, p -> !p.hasPendingResets(), p -> p.resetNextCalls(3)),
    DELETES_LOST(false, p -> !p.hasPendingDeleteLosses(), p -> p.loseNextDeletes(2));

    private interface Action {
        void run(ScriptedPeers peers) throws Exception;
    }

    private final boolean duringTurn;
    private final Predicate<ScriptedPeers> precondition;
    private final Action action;

    Event(boolean duringTurn, Predicate<ScriptedPeers> precondition, Action action) {
        this.duringTurn = duringTurn;
        this.precondition = precondition;
        this.action = action;
    }

    /** Whether the gateway could notice it during a turn, after the ready events were handled. */
    boolean canOccurDuringTurn() {
        return duringTurn;
    }

    boolean isEnabled(ScriptedPeers peers) {
        return precondition.test(peers);
    }

    void run(ScriptedPeers peers) {
        try {
            action.run(peers);
        } catch (Exception e) {
            throw new AssertionError(this + " failed", e);
        }
    }
}
