package sandpaddle.interleaving;

import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import sandpaddle.config.InvalidFieldException;

/**
 * The scripted peers of a gateway in one run: a client, an engine, the endpoint list and the operator, with the record
 * of their actions and observations. In strict mode each step waits until the kernel has delivered everything that was
 * written, so that a late packet is not taken for a violation; without it a run is much faster.
 */
final class ScriptedPeers {
    static final int CLIENT_TIMEOUT_MS = 1000;
    static final int TIME_STEP_MS = 260; // one step is within the deduplication window, two exceed it
    static final int GRACE_PERIOD_MS = 700;
    private static final int PACKET_TIMEOUT_MS = 1500; // the gateway's timeout for the rest of a packet
    private static final int FIRST_REQUEST_TIMEOUT_MS =
            2000; // the gateway's timeout for a client's first request, from the connect
    private static final String TRACE_ID = "%016x".formatted(1);

    private final GatewayFixture gateway;
    private final ScriptedClient client;
    private final boolean strict;
    private final byte[] request;
    private final int gatewayPort;
    private final List<Observation> observations = new ArrayList<>();
    private Instant startedAt;
    private int handledCalls, earlierAnswers, answers, sentBytes, lastCallIndex = -1, lastConnection;
    private boolean disconnected, queryKilled, shutdownRequested, lastCallAnswered;
    private String lastResponse; // to the last call, null before
    private long requestStartedAtMs, shutdownStartedAtMs = -1;
    private long requestCompleteAtMs = -1; // at the first turn that can read it: the gateway knows no earlier time
    private String engineHealth = "Ready";
    private int callsToReset, deletesToLose;

    ScriptedPeers(GatewayFixture gateway, ScriptedClient client, String route, boolean strict) throws IOException {
        this.gateway = gateway;
        this.client = client;
        this.strict = strict;
        request = ScriptedClient.query(route, 1, CLIENT_TIMEOUT_MS);
        gatewayPort = gateway.frontend.address().getPort();
        startedAt = gateway.clock.instant();
    }

    /** Starts the record: earlier observations are discarded. */
    void startRecording() {
        earlierAnswers += answers;
        answers = 0;
        observations.clear();
        startedAt = gateway.clock.instant();
    }

    boolean isAnswered() {
        return answers > 0;
    }

    List<Observation> observations() {
        return observations;
    }

    void addObservation(Observation.Kind kind, String detail) {
        observations.add(new Observation(kind, elapsedMs(), detail));
    }

    long elapsedMs() {
        return Duration.between(startedAt, gateway.clock.instant()).toMillis();
    }

    /** When the shutdown began; -1 if it has not. */
    long shutdownStartedAtMs() {
        return shutdownStartedAtMs;
    }

    boolean isGracePeriodOver() {
        return shutdownStartedAtMs >= 0 && elapsedMs() >= shutdownStartedAtMs + GRACE_PERIOD_MS;
    }

    void beforeTurn() throws IOException {
        awaitDelivery();
        requestCompleteAtMs = requestCompleteAtMs < 0 && hasSentRequest() ? elapsedMs() : requestCompleteAtMs;
    }

    /** Begins a requested shutdown: a signal is handled at the end of the turn that it wakes or arrives in. */
    void beginRequestedShutdown() {
        if (shutdownRequested && shutdownStartedAtMs < 0) {
            shutdownStartedAtMs = elapsedMs();
            gateway.shutdown.begin();
        }
    }

    private void awaitDelivery() throws IOException {
        if (strict) {
            TcpSocketTable.awaitQuiet(gatewayPort, gateway.engine.address().getPort());
        }
    }

    /** Records what the peers have received; the engine responds at once to calls that cancel or change a query. */
    void observe() {
        try {
            awaitDelivery();
            gateway.engine.read();
            for (; handledCalls < gateway.engine.receivedCalls().size(); handledCalls++) {
                handleCall(gateway.engine.receivedCalls().get(handledCalls));
            }
            if (!disconnected) {
                client.read();
                List<String> received = client.answers();
                while (earlierAnswers + answers < received.size()) {
                    addObservation(Observation.Kind.CLIENT_ANSWER, received.get(earlierAnswers + answers++));
                }
            }
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    private void handleCall(ScriptedEngine.Call call) throws IOException {
        boolean isQueryCall = List.of("POST", "GET").contains(call.method());
        if (call.method().equals("DELETE") && deletesToLose > 0) { // lost with its connection
            deletesToLose--;
            gateway.engine.closeConnection(call.connection(), true);
            return;
        }
        if (!isQueryCall) {
            gateway.engine.write(call.connection(), ScriptedEngine.NO_CONTENT);
        }
        if (!call.trace().equals(TRACE_ID) || call.method().equals("PUT")) {
            return;
        }
        addObservation(Observation.Kind.valueOf(call.method()), "");
        if (isQueryCall) {
            lastCallIndex = observations.size() - 1;
            lastCallAnswered = false;
            lastResponse = null;
            lastConnection = call.connection();
            if (callsToReset > 0) {
                callsToReset--;
                gateway.engine.closeConnection(lastConnection, true);
            }
        }
    }

    /** Resets the connections of the next {@code count} calls, starting with the open call if there is one. */
    void resetNextCalls(int count) throws IOException {
        callsToReset = count;
        if (hasOpenCall()) {
            callsToReset--;
            closeEngineConnection(true);
        }
    }

    boolean hasPendingResets() {
        return callsToReset > 0;
    }

    /** Resets the connections of the next {@code count} DELETEs instead of responding. */
    void loseNextDeletes(int count) {
        deletesToLose = count;
    }

    boolean hasPendingDeleteLosses() {
        return deletesToLose > 0;
    }

    boolean hasSentRequest() {
        return sentBytes == request.length;
    }

    int sentBytes() {
        return sentBytes;
    }

    int requestBytes() {
        return request.length;
    }

    void sendRequestBytes(int count) throws IOException {
        if (sentBytes == 0) {
            requestStartedAtMs = elapsedMs();
            addObservation(Observation.Kind.REQUEST_STARTED, "");
        }
        client.send(Arrays.copyOfRange(request, sentBytes, sentBytes + count));
        sentBytes += count;
        if (sentBytes == request.length) {
            addObservation(
                    Observation.Kind.REQUEST_COMPLETE,
                    elapsedMs() >= Math.min(requestStartedAtMs + PACKET_TIMEOUT_MS, FIRST_REQUEST_TIMEOUT_MS)
                                    || gateway.stopped
                            ? "late"
                            : "");
        }
    }

    /** A way in which the client disconnects. */
    interface Disconnect {
        void run(ScriptedClient client) throws IOException;
    }

    void disconnect(Disconnect how) throws IOException {
        int port = client.port();
        how.run(client);
        disconnected = true;
        if (strict && !client.isOpen() && !gateway.stopped) {
            TcpSocketTable.awaitDisconnected(gatewayPort, port);
        }
        addObservation(Observation.Kind.CLIENT_DISCONNECTED, "");
    }

    boolean hasDisconnected() {
        return disconnected;
    }

    /** Cancels the query by KILL QUERY on another connection, written together with its login. */
    void killQuery() throws IOException {
        ScriptedClient killer = gateway.connectClient();
        killer.send(ScriptedClient.concat(
                ScriptedClient.login(), ScriptedClient.query("KILL QUERY " + client.connectionId())));
        queryKilled = true;
        addObservation(Observation.Kind.QUERY_KILLED, "");
    }

    boolean hasKilledQuery() {
        return queryKilled;
    }

    /** Whether the gateway accepts new connections. */
    boolean acceptsConnections() {
        return !gateway.stopped && (shutdownStartedAtMs < 0 || elapsedMs() < shutdownStartedAtMs + GRACE_PERIOD_MS);
    }

    void advance(long ms) {
        gateway.clock.advance(Duration.ofMillis(ms));
    }

    /** Time left until the client's timeout; 0 before the request is complete. */
    long remainingMs() {
        return requestCompleteAtMs < 0 ? 0 : requestCompleteAtMs + CLIENT_TIMEOUT_MS - elapsedMs();
    }

    boolean isShutdownRequested() {
        return shutdownRequested;
    }

    void requestShutdown() {
        shutdownRequested = true;
        addObservation(Observation.Kind.SHUTDOWN_REQUESTED, "");
    }

    String engineHealth() {
        return engineHealth;
    }

    void updateEndpointList(String next) throws IOException, InvalidFieldException {
        engineHealth = next;
        addObservation(Observation.Kind.ENGINE_UNAVAILABLE, next);
        gateway.updateEndpointList(next);
    }

    boolean hasOpenCall() {
        return !lastCallAnswered && isEngineConnected();
    }

    boolean hasResponded() {
        return lastResponse != null && isEngineConnected();
    }

    boolean isEngineConnected() {
        return lastCallIndex >= 0 && gateway.engine.isOpen(lastConnection);
    }

    void respond(String name, String bytes) throws IOException {
        lastCallAnswered = true;
        lastResponse = bytes;
        observations.add(new Observation(Observation.Kind.ENGINE_RESPONSE, elapsedMs(), name, lastCallIndex));
        gateway.engine.write(lastConnection, bytes);
    }

    void duplicateResponse() throws IOException {
        gateway.engine.write(lastConnection, lastResponse);
    }

    void closeEngineConnection(boolean reset) throws IOException {
        gateway.engine.closeConnection(lastConnection, reset);
    }
}
