package sandpaddle.integration;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import sandpaddle.app.Server;
import sandpaddle.config.GatewayConfig;
import sandpaddle.config.InvalidFieldException;
import sandpaddle.config.JsonObject;
import sandpaddle.config.OperatorFile;
import sandpaddle.config.ValidationErrors;

/**
 * Test fixture: a gateway that runs in its own thread, connected to a scripted feed and scripted engines. Closing it
 * closes its clients and stops the gateway.
 */
final class GatewayFixture implements AutoCloseable {
    /** Platform settings of the gateway under test. */
    static final String SETTINGS = """
            {"balancers":1,"me":0,"zone":0,"discovery":"automatic","models":["std"],"failure_domains":["east"],
            "classes":[
            {"name":"lookup","aim_us":1500000,"aim_stretch":1.5,"effect":"safe","hard_limit_us":7500000,"value":1.0},
            {"name":"load","aim_us":4000000,"effect":"unsafe","hard_limit_us":20000000,"value":3.0}],
            "report":{"fields":["utilization","backlog"],"how":"inline"},
            "bounds":{"cancel":true,"may_probe":false,"peers":false,"retry_after":true,"second_copies":false,
            "max_attempts":5,"most_held":100,"max_retry_after_us":1000000,"conn_idle_us":15000000,
            "connect_timeout_us":250000},
            "rules":{"answer_slack_us":20000,"drain_grace_us":250000,"cold_from":0.3,"cold_us":15000000,
            "tip_multiple":4.0,"fall_us":1000000},
            "specifics":{"class_threads":[1,2],"size_cores":[8],"grants_count":true,"takes_priority":true}}""";

    /** Maximum of concurrent client connections: a third of the file descriptors and 24. */
    static final int MAX_CLIENTS = 256 / 3 + 24;

    final Server server;
    private volatile Server.ConfigSource configSource;
    private volatile Server.OperatorSource operatorSource;
    private final List<Client> clients = new ArrayList<>();
    private final CompletableFuture<Void> termination = new CompletableFuture<>();

    /** Starts a gateway whose initial endpoint list holds the given engines as e0, e1 and so on, all ready. */
    GatewayFixture(ScriptedFeed feed, ScriptedEngine... engines) throws IOException, InvalidFieldException {
        this(
                feed,
                event(
                        1,
                        true,
                        IntStream.range(0, engines.length)
                                .mapToObj(i -> host("e" + i, engines[i], "Ready"))
                                .collect(Collectors.joining(","))));
    }

    /** Starts a gateway with an operator's file and one engine, e0. */
    GatewayFixture(ScriptedFeed feed, OperatorFile file, ScriptedEngine engine)
            throws IOException, InvalidFieldException {
        this(feed, event(1, true, host("e0", engine, "Ready")), file);
    }

    /** Starts a gateway with an initial endpoint list event, or none if empty. */
    GatewayFixture(ScriptedFeed feed, String initialEvent) throws IOException, InvalidFieldException {
        this(feed, initialEvent, OperatorFile.NONE);
    }

    private GatewayFixture(ScriptedFeed feed, String initialEvent, OperatorFile file)
            throws IOException, InvalidFieldException {
        configSource = () -> config(feed.port(), initialEvent);
        operatorSource = () -> file;
        server = new Server(() -> configSource.load(), () -> operatorSource.load(), file);
        ScriptedEngine.daemon(() -> {
            try {
                server.run();
                termination.complete(null);
            } catch (IOException | RuntimeException e) {
                termination.completeExceptionally(e);
            }
        });
    }

    /** Replaces the configuration and makes the gateway reload it. */
    void reload(Server.ConfigSource next) {
        configSource = next;
        server.reloadConfig();
    }

    /** Replaces the operator's file and makes the gateway reload it. */
    void reloadOperator(Server.OperatorSource next) {
        operatorSource = next;
        server.reloadConfig();
    }

    /** Parses an operator's file. */
    static OperatorFile operatorFile(String text) throws OperatorFile.InvalidFileException {
        return OperatorFile.parse(text.getBytes(StandardCharsets.UTF_8), new ValidationErrors("operator.json"));
    }

    /** Returns a configuration with the given feed port and initial endpoint list event, which may be empty. */
    static GatewayConfig config(int feedPort, String event) throws InvalidFieldException {
        String json = """
                {"name":"n0","listen":"127.0.0.1:0","seed":"00000000000000aa",
                "limits":{"cores":1.0,"memory_mb":192,"sockets":256},"feed":"127.0.0.1:%d",
                "known":{"events":[%s]},"settings":%s}""".formatted(feedPort, event, SETTINGS);
        try {
            return GatewayConfig.parse(JsonObject.parse(json.getBytes(StandardCharsets.UTF_8), ""));
        } catch (IOException e) {
            throw new InvalidFieldException(e.getMessage());
        }
    }

    /**
     * Returns an endpoint list event.
     *
     * @param number its sequence number
     * @param complete whether the list replaces the previous one; otherwise it updates single engines
     * @param hosts comma-separated results of {@link #host}
     */
    static String event(int number, boolean complete, String hosts) {
        return "{\"n\":%d,\"members\":{\"seq\":%d,\"whole\":%b,\"hosts\":[%s]}}"
                .formatted(number, number, complete, hosts);
    }

    /** Returns an endpoint list entry with start time 0. */
    static String host(String id, ScriptedEngine engine, String health) {
        return host(id, engine, health, 0);
    }

    /** Returns an endpoint list entry of an engine with the given health and start time. */
    static String host(String id, ScriptedEngine engine, String health, long startTimeMs) {
        return """
                {"host":"%s","dial":"127.0.0.1:%d","site":"east","class":"std","block":0,"health":"%s","share":1,
                "born_ms":%d}""".formatted(id, engine.port(), health, startTimeMs).replace("\n", "");
    }

    /** Returns the comment in front of a statement that holds the fields of the query. */
    static String queryComment(String route, int trace, int timeoutMs) {
        return String.format(
                Locale.ROOT, "/* route=%s,trace=%016x,patience=%d,weight=20.0,est_mb=8 */ ", route, trace, timeoutMs);
    }

    InetSocketAddress address() throws IOException {
        return server.address();
    }

    /** Returns a new client that is logged in; the fixture closes it. */
    Client client() throws IOException {
        Client c = Client.connect(address());
        clients.add(c);
        return c;
    }

    /** Returns a new connection that sends nothing. The gateway may reject or evict it. */
    Client openConnection() throws IOException {
        Client c = new Client(address());
        clients.add(c);
        return c;
    }

    /**
     * Executes a query on a new connection that stays open. Returns the error if the gateway rejects the connection
     * before the greeting.
     */
    String executeOnNewConnection(String text) throws IOException {
        Client c = openConnection();
        String first = c.readGreetingOrError();
        if (!first.isEmpty()) {
            return first;
        }
        c.write(Client.login());
        c.readAnswer();
        return c.execute(text);
    }

    /** Waits until the gateway's thread has ended. */
    void awaitTermination() {
        termination.orTimeout(8, TimeUnit.SECONDS).join();
    }

    @Override
    public void close() throws IOException {
        for (Client c : clients) {
            c.close();
        }
        server.abort();
        awaitTermination();
    }
}
