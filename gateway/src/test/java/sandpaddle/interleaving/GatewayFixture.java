package sandpaddle.interleaving;

import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import sandpaddle.app.GracefulShutdown;
import sandpaddle.config.EndpointListEvent;
import sandpaddle.config.GatewayConfig;
import sandpaddle.config.InvalidFieldException;
import sandpaddle.config.JsonObject;
import sandpaddle.config.PlatformNames;
import sandpaddle.decision.DefaultDecisionModule;
import sandpaddle.decision.settings.DecisionSettings;
import sandpaddle.dispatch.Dispatcher;
import sandpaddle.engineclient.HttpEngineClient;
import sandpaddle.eventloop.EventLoop;
import sandpaddle.mysql.MysqlFrontend;
import sandpaddle.query.Answer;
import sandpaddle.query.FleetCoordination;
import sandpaddle.query.Query;
import sandpaddle.query.QueryService;

/**
 * A complete gateway with real sockets, a manual clock and scripted peers. The test runs each turn of the event loop,
 * and so determines which events are ready in a turn and what happens within it.
 */
final class GatewayFixture implements AutoCloseable {
    static final String SETTINGS = """
            {"balancers":1,"me":0,"zone":0,"discovery":"automatic","models":["std"],"failure_domains":["east"],
            "classes":[
            {"name":"again","aim_us":1500000,"aim_stretch":1.5,"effect":"safe","hard_limit_us":7500000,"value":1.0},
            {"name":"once","aim_us":4000000,"effect":"unsafe","hard_limit_us":20000000,"value":3.0},
            {"name":"window","aim_us":4000000,"effect":"keyed","key_scope":"all","window_us":400000,
            "hard_limit_us":20000000,"value":3.0},
            {"name":"inorder","aim_us":4000000,"effect":"keyed","key_scope":"all","window_us":400000,"by_arrival":true,
            "hard_limit_us":20000000,"value":3.0}],
            "report":{"fields":["utilization","backlog"],"how":"inline"},
            "bounds":{"cancel":true,"may_probe":false,"peers":false,"retry_after":true,"second_copies":false,
            "max_attempts":5,"most_held":100,"max_retry_after_us":1000000,"conn_idle_us":15000000,
            "connect_timeout_us":250000},
            "rules":{"answer_slack_us":20000,"drain_grace_us":250000,"cold_from":0.3,"cold_us":15000000,
            "tip_multiple":4.0,"fall_us":1000000},
            "specifics":{"class_threads":[1,2,2,2],"size_cores":[8],"grants_count":true,"takes_priority":true}}""";
    static final int MAX_SESSIONS = 4;
    private static final GatewayConfig CONFIG = parseConfig(); // parsed once: thousands of fixtures are created

    final ManualClock clock = new ManualClock();
    final EventLoop loop = new EventLoop(clock);
    final HttpEngineClient engineClient;
    final Dispatcher dispatcher;
    final MysqlFrontend frontend;
    final GracefulShutdown shutdown;
    final ScriptedEngine engine = new ScriptedEngine();
    private final PlatformNames names;
    private final List<ScriptedClient> clients = new ArrayList<>();
    private int listEvents;
    boolean stopped;
    Step beforeNextConnection; // runs once, when the next connection is accepted, before the gateway handles it

    GatewayFixture() throws IOException {
        this(MAX_SESSIONS);
    }

    /** Starts a gateway with another limit on sessions. */
    GatewayFixture(int maxSessions) throws IOException {
        this(maxSessions, Instant.EPOCH);
    }

    /** Starts a gateway whose process was started at a time by the wall clock. */
    GatewayFixture(int maxSessions, Instant startedAt) throws IOException {
        names = CONFIG.names();
        DecisionSettings settings = CONFIG.decisionSettings();
        engineClient = new HttpEngineClient(loop, Duration.ofMillis(250), Duration.ofSeconds(15), 40);
        dispatcher = new Dispatcher(
                loop, new DefaultDecisionModule(settings, 7), settings, names, engineClient, FleetCoordination.NONE, 7);
        frontend = new MysqlFrontend(
                loop,
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                new HookedQueryService(),
                maxSessions,
                7,
                MysqlFrontend.firstConnectionId(startedAt));
        shutdown = new GracefulShutdown(
                loop, dispatcher, engineClient, List.of(frontend), Duration.ofSeconds(20), () -> stopped = true);
    }

    private static GatewayConfig parseConfig() {
        String json = "{\"listen\":\"127.0.0.1:0\",\"feed\":\"127.0.0.1:1\",\"settings\":" + SETTINGS + "}";
        try {
            return GatewayConfig.parse(JsonObject.parse(json.getBytes(StandardCharsets.UTF_8), ""));
        } catch (IOException | InvalidFieldException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Updates the endpoint list: sets the health of the engine to Ready, Terminating or Gone. */
    void updateEndpointList(String health) throws IOException, InvalidFieldException {
        updateEndpointList(health, engine.address());
    }

    /** Updates the endpoint list with an engine at another address. */
    void updateEndpointList(String health, InetSocketAddress address) throws IOException, InvalidFieldException {
        listEvents++;
        String template = """
                {"n":%d,"members":{"seq":%d,"whole":%b,"hosts":[{"host":"e","dial":"127.0.0.1:%d","site":"east",
                "class":"std","block":0,"health":"%s","share":1,"born_ms":0}]}}""";
        String event = template.formatted(listEvents, listEvents, listEvents == 1, address.getPort(), health);
        dispatcher.endpointListReceived(
                EndpointListEvent.parse(JsonObject.parse(event.getBytes(StandardCharsets.UTF_8), ""), names));
    }

    /** Runs one turn, which waits at most 1 ms for events. */
    void runTurn() throws IOException {
        loop.runTurn(
                () -> {
                    dispatcher.processEvents();
                    shutdown.endOfTurn();
                },
                Duration.ofMillis(1));
    }

    /** Runs one turn without waiting for events, then reads at the peers: for long spans and many exchanges. */
    void runTurnWithoutWaiting() throws IOException {
        loop.runTurn(
                () -> {
                    dispatcher.processEvents();
                    shutdown.endOfTurn();
                },
                Duration.ZERO);
        readPeers();
    }

    /** Runs one turn with a step after the ready events were handled and before the dispatcher processes them. */
    void runTurn(Step step) throws IOException {
        loop.scheduleAfter(Duration.ZERO, () -> runStep(step));
        runTurn();
    }

    /** Delegates to the dispatcher; runs {@link #beforeNextConnection} first. */
    private final class HookedQueryService implements QueryService {
        @Override
        public boolean isReady() {
            return dispatcher.isReady();
        }

        @Override
        public Optional<Duration> connectionOpened() {
            Step step = beforeNextConnection;
            beforeNextConnection = null;
            if (step != null) {
                runStep(step);
            }
            return dispatcher.connectionOpened();
        }

        @Override
        public PendingQuery submit(
                Query query, Duration waited, BooleanSupplier connectionCheck, Consumer<Answer> callback) {
            return dispatcher.submit(query, waited, connectionCheck, callback);
        }
    }

    private static void runStep(Step step) {
        try {
            step.run();
        } catch (IOException | InvalidFieldException e) {
            throw new AssertionError(e);
        }
    }

    /** An action of the peers. */
    interface Step {
        void run() throws IOException, InvalidFieldException;
    }

    /** Runs turns and reads at the peers until a condition holds; fails after 5 s. */
    void runUntil(BooleanSupplier condition) throws IOException {
        long deadlineNs = System.nanoTime() + Duration.ofSeconds(5).toNanos();
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < deadlineNs, "condition not met within 5 s");
            runTurn();
            readPeers();
        }
    }

    /** Runs some turns without advancing the clock, enough to handle all consequences of what was sent. */
    void settle() throws IOException {
        for (int i = 0; i < 8; i++) {
            runTurn();
            readPeers();
        }
    }

    /** Advances the clock in steps of 10 ms, each followed by a turn. */
    void advance(Duration span) throws IOException {
        Instant end = clock.instant().plus(span);
        while (clock.instant().isBefore(end)) {
            clock.advance(Duration.ofMillis(10));
            runTurn();
            readPeers();
        }
    }

    void readPeers() throws IOException {
        engine.read();
        for (ScriptedClient client : clients) {
            client.read();
        }
    }

    /** Connects a client, which sends no login. */
    ScriptedClient connectClient() throws IOException {
        ScriptedClient client = new ScriptedClient(frontend.address());
        clients.add(client);
        return client;
    }

    /** Resets a client's connection, so that no socket stays in TIME_WAIT. */
    void resetClient(ScriptedClient client) throws IOException {
        clients.remove(client);
        client.resetConnection();
    }

    /** Connects a client and logs it in. */
    ScriptedClient logInClient() throws IOException {
        ScriptedClient client = connectClient();
        client.send(ScriptedClient.login());
        runUntil(() -> client.packets().size() == 2);
        return client;
    }

    /** Closes all by resets, so that no sockets stay in TIME_WAIT: for many fixtures in a row. */
    void closeByReset() throws IOException {
        for (ScriptedClient client : clients) {
            client.resetConnection();
        }
        engine.resetAllAndStopListening();
        if (!stopped) {
            frontend.stopListening();
        }
        for (int i = 0; i < 3; i++) {
            loop.runTurn(() -> {}, Duration.ZERO);
        }
        loop.stop();
        loop.run(() -> {});
    }

    @Override
    public void close() throws IOException {
        for (ScriptedClient client : clients) {
            client.close();
        }
        frontend.stopListening();
        settle();
        engine.close();
        loop.stop();
        loop.run(() -> {}); // closes the selector
    }
}
