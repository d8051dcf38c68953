package sandpaddle.story;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static sandpaddle.story.ScriptedEngine.ok;

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

/** The program with the flags and the operator's file of its line {@code run}: what it loads, opens and starts. */
public class FleetOffStories {
    private static final Pattern RUN = Pattern.compile("(?m)^run = \"exec java (.*) -jar \\S+ serve (.*)\"$");
    private static final Pattern LOADED = Pattern.compile("(?m)^.*?([a-z]\\w*(?:\\.[\\w$]+)+)(?:/0x\\w+)? source: .*$");
    private static final List<String> LIBRARIES = List.of(
            "io.microraft.",
            "org.h2.",
            "org.antlr.",
            "org.dmfs.",
            "org.apache.datasketches.",
            "org.jctools.",
            "com.fasterxml.jackson.dataformat.cbor.");
    private static final String FLEET = "sandpaddle.fleet.";
    private static final String SECTION = """
            {"fleet": {"enabled": true, "cluster": "c", "listen": "127.0.0.1:0", "founders": ["n0"],
            "agreed": {"members": [{"name": "n0", "hall": "east", "address": "127.0.0.1:7400"}]}}}""";

    private Path folder;

    @BeforeMethod
    public void makeFolder() throws IOException {
        folder = Files.createTempDirectory("fleet-off");
    }

    @AfterMethod
    public void removeFolder() throws IOException {
        try (Stream<Path> all = Files.list(folder)) {
            for (Path p : all.toList()) {
                Files.delete(p);
            }
        }
        Files.delete(folder);
    }

    /** Of the line {@code run}: flags of the JVM (1), or options of the command (2). */
    private static List<String> run(int part) throws IOException {
        Matcher m = RUN.matcher(Files.readString(Path.of("deploy/balancer.toml")));
        assertTrue(m.find(), "no line 'run' of the known form");
        return List.of(m.group(part).split(" "));
    }

    private interface Look {
        void at(Program program, Set<String> classes, Footprint footprint) throws Exception;
    }

    /** Starts the line with other options, has it serve a query, and looks at it. */
    private void serve(boolean peers, List<String> options, Look look) throws Exception {
        Path loaded = folder.resolve("classes.log");
        List<String> flags = new ArrayList<>(run(1));
        flags.removeIf(f -> f.startsWith("-XX:SharedArchiveFile=")); // it is of the jar, which is not built yet
        flags.add("-Xlog:class+load=info:file=" + loaded);
        try (var engine = new ScriptedEngine(c -> ok("1st\t\t\n"));
                var feed = new ScriptedFeed();
                var program = new Program(
                        """
                        {"name":"n0","listen":"127.0.0.1:0","seed":"00000000000000aa",
                        "limits":{"cores":1.0,"memory_mb":144,"sockets":512},"feed":"127.0.0.1:%d",
                        "known":{"events":[%s]},"settings":%s}""".formatted(
                                        feed.port(),
                                        Stage.event(1, true, Stage.host("e", engine, "Ready")),
                                        Stage.SETTINGS.replace("\"peers\":false", "\"peers\":" + peers)),
                        "",
                        flags,
                        options)) {
            feed.accept();
            try (Client client = Client.ready(program.address())) {
                assertEquals(client.ask(Stage.fields("lookup", 1, 5000) + "SELECT 1"), "1st||");
            }
            Set<String> classes = LOADED.matcher(Files.readString(loaded))
                    .results()
                    .map(r -> r.group(1))
                    .collect(Collectors.toSet());
            assertTrue(classes.contains("sandpaddle.dispatch.Dispatcher"), "the log of classes was not understood");
            look.at(program, classes, new Footprint(program.pid()));
        }
    }

    private List<String> file() throws IOException {
        Path file = folder.resolve("operator.json");
        Files.writeString(file, SECTION);
        return List.of("--operator", file.toString());
    }

    private static Set<String> under(Set<String> classes, List<String> packages) {
        return classes.stream()
                .filter(c -> packages.stream().anyMatch(c::startsWith))
                .collect(Collectors.toCollection(java.util.TreeSet::new));
    }

    private static void assertNothingOpened(Program program, Footprint footprint) throws IOException {
        assertEquals(footprint.ports(), Set.of(program.address().getPort()));
        Set<String> threads = footprint.threads();
        assertFalse(threads.isEmpty());
        assertTrue(threads.stream().noneMatch(t -> t.startsWith("fleet")), threads.toString());
    }

    @Test
    public void theShippedLineLoadsNothingOfTheFleet() throws Exception {
        serve(false, run(2), (program, classes, footprint) -> {
            assertEquals(under(classes, LIBRARIES), Set.of());
            assertEquals(under(classes, List.of(FLEET)), Set.of());
            assertNothingOpened(program, footprint);
        });
    }

    /** The platform's word goes before the operator's: what only reads and holds the settings is all that is loaded. */
    @Test
    public void whereThePlatformForbidsTalkAnEnabledFleetStaysOff() throws Exception {
        serve(false, file(), (program, classes, footprint) -> {
            assertTrue(program.hasSaid("fleet: stays off: 'settings.bounds.peers' forbids that gateways talk"));
            assertEquals(under(classes, LIBRARIES), Set.of());
            assertEquals(
                    under(
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
                                    .map(FLEET::concat)
                                    .toList()),
                    Set.of());
            assertNothingOpened(program, footprint);
        });
    }

    /** Guards the two above: where the fleet is on, the same look sees its classes, its port and its threads. */
    @Test
    public void whereItIsOnItsClassesPortAndThreadsAreSeen() throws Exception {
        serve(true, file(), (program, classes, footprint) -> {
            assertTrue(classes.contains(FLEET + "node.FleetNode"));
            assertFalse(under(classes, LIBRARIES).isEmpty());
            assertEquals(footprint.ports().size(), 2);
            assertTrue(footprint.threads().stream().anyMatch(t -> t.startsWith("fleet")));
        });
    }
}
