package sandpaddle.interleaving;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import sandpaddle.config.InvalidFieldException;

/**
 * Runs one schedule on a gateway of its own: its steps in order, then time without further events of the peers, until
 * the request, the attempt and the shutdown must be over.
 */
final class ScheduleRun implements AutoCloseable {
    /** State of the client and the engine before the first step. */
    enum InitialState {
        /** The client is logged in; no connection to the engine was opened. */
        NO_ENGINE_CONNECTION,
        /** An earlier request has left an idle connection to the engine. */
        IDLE_ENGINE_CONNECTION,
        /** The engine has received the POST of the request. */
        REQUEST_IN_FLIGHT,
        /** The gateway's graceful shutdown has begun. */
        SHUTTING_DOWN
    }

    private static final int SLACK_MS = 50;
    private static final int SHUTDOWN_MS = 3600; // longer than a graceful shutdown takes
    private static final int QUERY_DROPPED_MS = 2600; // longer than an engine keeps a query that is not polled
    private static final int STEP_MS = 200;
    private static final int MAX_TURNS = 2000;

    private final GatewayFixture gateway = new GatewayFixture();
    private final ScriptedPeers peers;
    private boolean deadlinePassed, gracePeriodOver;

    /**
     * Creates a gateway in an initial state.
     *
     * @param route the request class
     * @param initialState state before the first step
     * @param strict whether each step awaits delivery, see {@link ScriptedPeers}
     */
    ScheduleRun(String route, InitialState initialState, boolean strict) throws IOException, InvalidFieldException {
        gateway.updateEndpointList("Ready");
        ScriptedClient client = gateway.connectClient();
        client.send(ScriptedClient.login());
        peers = new ScriptedPeers(gateway, client, route, strict);
        runUntil(() -> client.packets().size() == 2);
        if (initialState == InitialState.IDLE_ENGINE_CONNECTION) {
            client.send(ScriptedClient.query("again", 9, ScriptedPeers.CLIENT_TIMEOUT_MS));
            runUntil(() -> gateway.engine.callCount("POST") == 1);
            gateway.engine.respond("POST", ScriptedEngine.ROWS);
            runUntil(() -> client.answers().size() == 1);
            gateway.clock.advance(Duration.ofMillis(100));
        }
        peers.startRecording();
        if (initialState == InitialState.REQUEST_IN_FLIGHT) {
            peers.sendRequestBytes(peers.requestBytes());
            runUntil(() -> gateway.engine.callCount("POST") == 1);
        } else if (initialState == InitialState.SHUTTING_DOWN) {
            peers.requestShutdown();
            runTurn();
        }
    }

    private interface Condition {
        boolean holds();
    }

    private void runUntil(Condition condition) throws IOException {
        for (int i = 0; !condition.holds(); i++) {
            if (i > MAX_TURNS) {
                throw new AssertionError("initial state not reached within " + MAX_TURNS + " turns");
            }
            runTurn();
        }
    }

    ScriptedPeers peers() {
        return peers;
    }

    List<Observation> observations() {
        return peers.observations();
    }

    /** Runs the steps; the process may stop before the last one. */
    void run(List<ScheduleStep> steps) throws IOException {
        for (ScheduleStep step : steps) {
            if (step.placement() == ScheduleStep.Placement.DURING_TURN && !gateway.stopped) {
                gateway.loop.scheduleAfter(Duration.ZERO, () -> {
                    peers.observe();
                    step.event().run(peers);
                });
            } else {
                step.event().run(peers);
            }
            if (step.placement() != ScheduleStep.Placement.WITH_NEXT) {
                runTurn();
            }
        }
    }

    void finish() throws IOException {
        long endMs = peers.elapsedMs() + (peers.hasSentRequest() ? ScriptedPeers.CLIENT_TIMEOUT_MS + 2 * SLACK_MS : 0);
        while (peers.elapsedMs() < endMs
                && (!peers.isAnswered() || peers.elapsedMs() < endMs - ScriptedPeers.CLIENT_TIMEOUT_MS)) {
            peers.advance(SLACK_MS);
            runTurn();
        }
        endMs = Math.max(
                peers.elapsedMs() + QUERY_DROPPED_MS,
                peers.shutdownStartedAtMs() < 0 ? 0 : peers.shutdownStartedAtMs() + SHUTDOWN_MS);
        while (peers.elapsedMs() < endMs && !gateway.stopped) {
            peers.advance(STEP_MS);
            runTurn();
        }
    }

    private void runTurn() throws IOException {
        boolean running = !gateway.stopped;
        if (running) {
            peers.beforeTurn();
            gateway.loop.runTurn(
                    () -> {
                        gateway.dispatcher.processEvents();
                        peers.beginRequestedShutdown();
                        gateway.shutdown.endOfTurn();
                    },
                    Duration.ZERO);
        }
        peers.observe();
        if (!gracePeriodOver && peers.isGracePeriodOver()) {
            gracePeriodOver = true;
            peers.addObservation(Observation.Kind.GRACE_PERIOD_OVER, "");
        }
        if (!deadlinePassed && peers.remainingMs() <= -SLACK_MS) {
            deadlinePassed = true;
            peers.addObservation(Observation.Kind.DEADLINE_PASSED, "");
        }
        if (running && gateway.stopped) {
            peers.addObservation(Observation.Kind.PROCESS_STOPPED, "");
        }
    }

    @Override
    public void close() throws IOException {
        gateway.closeByReset();
    }
}
