package sandpaddle.integration;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static sandpaddle.integration.ScriptedEngine.ok;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Checks which classes are loaded and which ports and threads are opened by the gateway process, started with the JVM
 * flags and options of the {@code run} line in {@code deploy/balancer.toml}.
 */
public class FleetDisabledIntegrationTest {
    private static final Pattern RUN_LINE = Pattern.compile("(?m)^run = \"exec java (.*) -jar \\S+ serve (.*)\"$");
    private static final Pattern LOADED_CLASS =
            Pattern.compile("(?m)^.*?([a-z]\\w*(?:\\.[\\w$]+)+)(?:/0x\\w+)? source: .*$");
    private static final List<String> LIBRARIES = List.of(
            "io.microraft.",
            "org.h2.",
            "org.antlr.",
            "org.dmfs.",
            "org.apache.datasketches.",
            "org.jctools.",
            "com.fasterxml.jackson.dataformat.cbor.");
    private static final String FLEET_PACKAGE = "sandpaddle.fleet.";
    private static final String FLEET_ENABLED = """
            {"fleet": {"enabled": true, "cluster": "c", "listen": "127.0.0.1:0", "founders": ["n0"],
            "agreed": {"members": [{"name": "n0", "hall": "east", "address": "127.0.0.1:7400"}]}}}""";

    private Path folder;

    /** Creates a directory for the class loading log and the operator's file. */
    @BeforeMethod
    public void makeFolder() throws IOException {
        folder = Files.createTempDirectory("fleet-off");
    }

    /** Deletes the directory. */
    @AfterMethod
    public void removeFolder() throws IOException {
        try (Stream<Path> all = Files.list(folder)) {
            for (Path p : all.toList()) {
                Files.delete(p);
            }
        }
        Files.delete(folder);
    }

    /** Returns a part of the {@code run} line: 1 for the JVM flags, 2 for the options of the command. */
    private static List<String> runLinePart(int part) throws IOException {
        Matcher m = RUN_LINE.matcher(Files.readString(Path.of("deploy/balancer.toml")));
        assertTrue(m.find(), "deploy/balancer.toml has no line that matches " + RUN_LINE);
        return List.of(m.group(part).split(" "));
    }

    private interface Inspection {
        void inspect(GatewayProcess process, Set<String> classes, ProcessInspector inspector) throws Exception;
    }

    /**
     * Starts the gateway with the JVM flags of the {@code run} line and other options, lets it serve a query and
     * inspects the running process.
     */
    private void inspectRunning(boolean peersAllowed, List<String> options, Inspection inspection) throws Exception {
        Path loaded = folder.resolve("classes.log");
        List<String> flags = new ArrayList<>(runLinePart(1));
        // the archive belongs to the jar, which is not built yet
        flags.removeIf(f -> f.startsWith("-XX:SharedArchiveFile="));
        flags.add("-Xlog:class+load=info:file=" + loaded);
        try (var engine = new ScriptedEngine(c -> ok("1st\t\t\n"));
                var feed = new ScriptedFeed();
                var process = new GatewayProcess(
                        """
                        {"name":"n0","listen":"127.0.0.1:0","seed":"00000000000000aa",
                        "limits":{"cores":1.0,"memory_mb":144,"sockets":512},"feed":"127.0.0.1:%d",
                        "known":{"events":[%s]},"settings":%s}""".formatted(
                                feed.port(),
                                GatewayFixture.event(1, true, GatewayFixture.host("e", engine, "Ready")),
                                GatewayFixture.SETTINGS.replace("\"peers\":false", "\"peers\":" + peersAllowed)),
                        "",
                        flags,
                        options)) {
            feed.accept();
            try (Client client = Client.connect(process.address())) {
                assertEquals(client.execute(GatewayFixture.queryComment("lookup", 1, 5000) + "SELECT 1"), "1st||");
            }
            Set<String> classes = LOADED_CLASS
                    .matcher(Files.readString(loaded))
                    .results()
                    .map(r -> r.group(1))
                    .collect(Collectors.toSet());
            assertTrue(
                    classes.contains("sandpaddle.dispatch.Dispatcher"),
                    "the class loading log lacks sandpaddle.dispatch.Dispatcher: has its format changed?");
            inspection.inspect(process, classes, new ProcessInspector(process.pid()));
        }
    }

    private List<String> operatorFileOptions() throws IOException {
        Path file = folder.resolve("operator.json");
        Files.writeString(file, FLEET_ENABLED);
        return List.of("--operator", file.toString());
    }

    private static Set<String> inPackages(Set<String> classes, List<String> packages) {
        return classes.stream()
                .filter(c -> packages.stream().anyMatch(c::startsWith))
                .collect(Collectors.toCollection(java.util.TreeSet::new));
    }

    private static void assertNothingOpened(GatewayProcess process, ProcessInspector inspector) throws IOException {
        assertEquals(inspector.listeningPorts(), Set.of(process.address().getPort()));
        Set<String> threads = inspector.threadNames();
        assertFalse(threads.isEmpty());
        assertTrue(threads.stream().noneMatch(t -> t.startsWith("fleet")), threads.toString());
    }

    /**
     * The shipped options leave the fleet off: none of its classes or libraries is loaded, no port or thread opened.
     */
    @Test
    public void loadsNoFleetClassesWithShippedRunLine() throws Exception {
        inspectRunning(false, runLinePart(2), (process, classes, inspector) -> {
            assertEquals(inPackages(classes, LIBRARIES), Set.of());
            assertEquals(inPackages(classes, List.of(FLEET_PACKAGE)), Set.of());
            assertNothingOpened(process, inspector);
        });
    }

    /**
     * The platform's settings take precedence over the operator's file: only the classes that read and hold the
     * fleet's settings are loaded.
     */
    @Test
    public void keepsEnabledFleetOffIfPlatformForbidsPeers() throws Exception {
        inspectRunning(false, operatorFileOptions(), (process, classes, inspector) -> {
            assertTrue(process.hasLogged("fleet: stays off: 'settings.bounds.peers' forbids that gateways talk"));
            assertEquals(inPackages(classes, LIBRARIES), Set.of());
            assertEquals(
                    inPackages(
                            classes,
                            Stream.of(
                                            "node.loop.",
                                            "node.quota.",
                                            "node.lead.",
                                            "node.outage.",
                                            "node.spread.",
                                            "node.wire.",
                                            "node.FleetNode",
                                            "state.",
                                            "view.",
                                            "link.tcp.",
                                            "link.manager.",
                                            "pool.")
                                    .map(FLEET_PACKAGE::concat)
                                    .toList()),
                    Set.of());
            assertNothingOpened(process, inspector);
        });
    }

    /**
     * Positive control for the tests above: with the fleet on, the same checks detect its classes, port and threads.
     */
    @Test
    public void detectsFleetClassesPortAndThreadsIfEnabled() throws Exception {
        inspectRunning(true, operatorFileOptions(), (process, classes, inspector) -> {
            assertTrue(classes.contains(FLEET_PACKAGE + "node.FleetNode"));
            assertFalse(inPackages(classes, LIBRARIES).isEmpty());
            assertEquals(inspector.listeningPorts().size(), 2);
            assertTrue(inspector.threadNames().stream().anyMatch(t -> t.startsWith("fleet")));
        });
    }
}
