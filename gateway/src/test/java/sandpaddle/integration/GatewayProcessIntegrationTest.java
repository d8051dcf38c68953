package sandpaddle.integration;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static sandpaddle.integration.ScriptedEngine.ok;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** The gateway as a separate process: its start, signals, memory and file descriptors. */
public class GatewayProcessIntegrationTest {
    private static final String SQL = "SELECT 1";
    private static final int COM_PING = 14;
    private static final int FLEET_SIZE = 1024;
    private static final int LARGE_LIST_SIZE = 8500;
    private static final String[] JVM_LIMITS = {
        "-Xms48m",
        "-Xmx88m",
        "-Xss512k",
        "-XX:MaxDirectMemorySize=8m",
        "-XX:MaxMetaspaceSize=32m",
        "-XX:ReservedCodeCacheSize=24m",
        "-XX:+ExitOnOutOfMemoryError"
    };

    private static String config(int feedPort, String event) {
        return """
                {"name":"n0","listen":"127.0.0.1:0","seed":"00000000000000aa",
                "limits":{"cores":1.0,"memory_mb":144,"sockets":512},"feed":"127.0.0.1:%d",
                "known":{"events":[%s]},"settings":%s}""".formatted(feedPort, event, GatewayFixture.SETTINGS);
    }

    /** Signals that are ignored when the process starts; empty for none. */
    @DataProvider
    public Object[][] signals() {
        return new Object[][] {{""}, {"HUP"}};
    }

    /**
     * Guards reloads if SIGHUP was ignored at the start, as under {@code nohup}: the gateway would otherwise never
     * learn of a new feed address.
     */
    @Test(dataProvider = "signals")
    public void reloadsConfigurationOnHangUpEvenIfSignalWasIgnored(String ignoredSignal) throws Exception {
        try (var engine = new ScriptedEngine(c -> ok("1st\t\t\n"));
                var feed = new ScriptedFeed();
                var next = new ScriptedFeed();
                var process = new GatewayProcess(
                        config(feed.port(), GatewayFixture.event(1, true, GatewayFixture.host("e", engine, "Ready"))),
                        ignoredSignal)) {
            assertEquals(feed.accept().subscription(), "SUB 1");
            process.replaceConfig(
                    config(next.port(), GatewayFixture.event(1, true, GatewayFixture.host("e", engine, "Ready"))));
            process.signal("HUP");
            assertEquals(next.accept().subscription(), "SUB 1");
            assertTrue(process.isAlive());
        }
    }

    /** Guards against the JVM's default action for SIGHUP, which ends the process, while the configuration is read. */
    @Test
    public void handlesHangUpReceivedDuringStartupOnceServing() throws Exception {
        try (var engine = new ScriptedEngine(c -> ok("1st\t\t\n"));
                var feed = new ScriptedFeed();
                var next = new ScriptedFeed();
                var process = GatewayProcess.startWithPipedConfig()) {
            String initialEvent = GatewayFixture.event(1, true, GatewayFixture.host("e", engine, "Ready"));
            process.writePipedConfig(config(feed.port(), initialEvent), () -> process.signal("HUP"));
            process.awaitListening();
            // the pending reload reads the configuration again
            process.writePipedConfig(config(next.port(), initialEvent), () -> {});
            assertEquals(next.accept().subscription(), "SUB 1");
            assertTrue(process.isAlive());
        }
    }

    /**
     * Guards the start against unusual settings: a start that fails on them would fail on every gateway of a release.
     */
    @Test
    public void servesWithUnusualSettings() throws Exception {
        String unusual = GatewayFixture.SETTINGS
                .replace("\"cold_from\":0.3", "\"cold_from\":0")
                .replace("\"aim_us\":1500000", "\"aim_us\":0")
                .replace("\"models\":[\"std\"]", "\"models\":[]")
                .replace("\"fields\":[\"utilization\",\"backlog\"]", "\"fields\":null")
                .replace("\"value\":1.0", "\"value\":0")
                .replace("\"zone\":0", "\"zone\":null")
                .replace("\"connect_timeout_us\":250000", "\"connect_timeout_us\":null")
                .replace("\"conn_idle_us\":15000000", "\"conn_idle_us\":20000")
                .replace("\"max_attempts\":5", "\"max_attempts\":99999999999999999999");
        try (var engine = new ScriptedEngine(c -> ok("1st\t\t\n"));
                var feed = new ScriptedFeed();
                var process = new GatewayProcess(
                        config(feed.port(), GatewayFixture.event(1, true, GatewayFixture.host("e", engine, "Ready")))
                                .replace(GatewayFixture.SETTINGS, unusual),
                        "")) {
            assertTrue(process.hasLogged(
                    "configuration: field 'settings.rules.cold_from' is 0; expected above 0: an engine "
                            + "starts with no capacity"));
            Client client = Client.connect(process.address());
            for (int i = 0; i < 3; i++) {
                assertEquals(client.execute(GatewayFixture.queryComment("lookup", i, 5000) + SQL), "1st||");
            }
        }
    }

    /** Guards the file descriptors for the feed, the configuration and the engines against idle client connections. */
    @Test
    public void servesReturningEndpointListWhileIdleClientsFillDescriptors() throws Exception {
        int maxSockets = 128;
        List<Client> idle = new ArrayList<>();
        try (var engine = new ScriptedEngine(c -> ok("1st\t\t\n"));
                var next = new ScriptedFeed();
                var feed = new ScriptedFeed();
                var process = new GatewayProcess(
                        config(feed.port(), "").replace("\"sockets\":512", "\"sockets\":" + maxSockets), "")) {
            feed.accept();
            // 28 descriptors are reserved for the process, 8 of them are open once it listens
            int otherDescriptors = 28 - 8;
            process.limitDescriptors(process.openDescriptors() + maxSockets - otherDescriptors);
            feed.close(); // discovery is unavailable from here on
            for (int i = 0; i < 3 * maxSockets; i++) {
                idle.add(new Client(process.address()));
            }
            process.replaceConfig(config(next.port(), ""));
            process.signal("HUP");
            var feedConnection = next.accept();
            assertEquals(feedConnection.subscription(), "SUB 0");
            feedConnection.writeLine(GatewayFixture.event(1, true, GatewayFixture.host("e", engine, "Ready")));
            String answer = "";
            for (int i = 0; i < 1000 && !answer.equals("1st||"); i++) {
                // rejected with 1040 until a client has been idle for 100 ms
                try (Client client = new Client(process.address())) {
                    answer = client.readGreetingOrError();
                    if (answer.isEmpty()) {
                        client.write(Client.login());
                        client.readAnswer();
                        answer = client.execute(GatewayFixture.queryComment("lookup", i, 5000) + SQL);
                    }
                } catch (IOException e) {
                    // this connection was evicted as idle before its request was read; the next iteration retries
                    answer = "";
                }
            }
            assertEquals(answer, "1st||");
        } finally {
            for (Client c : idle) {
                c.close();
            }
        }
    }

    /** Writes all bytes, unless the gateway closes the connection before. */
    private static void flood(Client client, byte[] bytes) {
        try {
            client.write(bytes);
        } catch (IOException e) {
            // rejected: the gateway has closed the connection
        }
    }

    /** Guards against exhausted memory: input behind a KILL of the own session is read while that is executed. */
    @Test
    public void keepsServingWhenClientsSendLargeBodiesBehindKillsOfTheirOwnSession() throws Exception {
        try (var engine = new ScriptedEngine(c -> ok("1st\t\t\n"));
                var feed = new ScriptedFeed();
                var process = new GatewayProcess(
                        config(feed.port(), GatewayFixture.event(1, true, GatewayFixture.host("e", engine, "Ready"))),
                        "",
                        JVM_LIMITS)) {
            Client usual = Client.connect(process.address());
            for (int i = 0; i < 5; i++) {
                try (Client hostile = Client.connect(process.address())) {
                    byte[] kill = Client.query("KILL QUERY " + hostile.connectionId);
                    byte[] bytes = new byte[50 * kill.length + 60 * 1024 * 1024];
                    Arrays.fill(bytes, (byte) 0xFF); // behind the commands a header that announces 16 MB
                    for (int j = 0; j < 50; j++) {
                        System.arraycopy(kill, 0, bytes, j * kill.length, kill.length);
                    }
                    flood(hostile, bytes);
                }
                assertTrue(process.isAlive(), "the gateway has ended in round " + i);
                assertEquals(usual.execute(GatewayFixture.queryComment("lookup", i, 5000) + SQL), "1st||");
            }
            usual.close();
        }
    }

    /** Returns endpoint list entries with long ids, as an operator may choose them, all at the port of one engine. */
    private static String hosts(int from, int to, ScriptedEngine engine, String health) {
        return IntStream.range(from, to)
                .mapToObj(i -> GatewayFixture.host(
                        "engine-of-the-query-fleet-%08d-%s".formatted(i, "x".repeat(180)), engine, health))
                .collect(Collectors.joining(","));
    }

    private static String forLargeFleet(String config) {
        return config.replace("\"balancers\":1,\"me\":0", "\"balancers\":" + FLEET_SIZE + ",\"me\":" + (FLEET_SIZE - 1))
                .replace("\"tip_multiple\"", "\"noise\":0,\"tip_multiple\"")
                .replace("\"report\":", "\"charges\":{\"handshake\":0.05,\"probe\":0.01},\"report\":");
    }

    /**
     * No limit below 1,024 gateways or listed engines applies, within the memory and descriptors of a small machine.
     */
    @Test
    public void serves1024GatewaysAndEnginesWithinLimits() throws Exception {
        try (var first = new ScriptedEngine(c -> ok("1st\t\t\n"));
                var second = new ScriptedEngine(c -> ok("2nd\t\t\n"));
                var feed = new ScriptedFeed();
                var next = new ScriptedFeed();
                var process = new GatewayProcess(
                        forLargeFleet(config(
                                feed.port(), GatewayFixture.event(1, true, hosts(0, FLEET_SIZE, first, "Ready")))),
                        "",
                        "-Xms48m",
                        "-Xmx88m",
                        "-Xss512k",
                        "-XX:MaxDirectMemorySize=8m",
                        "-XX:MaxMetaspaceSize=32m",
                        "-XX:ReservedCodeCacheSize=24m")) {
            var feedConnection = feed.accept();
            Client client = Client.connect(process.address());
            for (int i = 0; i < 200; i++) {
                assertEquals(client.execute(GatewayFixture.queryComment("lookup", i, 5000) + SQL), "1st||");
                feedConnection.writeLine("1");
            }
            feedConnection.writeLine(GatewayFixture.event(2, false, hosts(0, FLEET_SIZE, first, "Gone")));
            feedConnection.writeLineInChunks(
                    GatewayFixture.event(3, true, hosts(FLEET_SIZE, 2 * FLEET_SIZE, second, "Ready")), 1000);
            int traceId = 1000;
            while (!client.execute(GatewayFixture.queryComment("lookup", traceId++, 5000) + SQL)
                    .equals("2nd||")) {
                feedConnection.writeLine("3");
                assertTrue(
                        traceId < 3000, "the new endpoint list was not applied within the expected number of queries");
            }
            process.replaceConfig(forLargeFleet(config(
                    next.port(), GatewayFixture.event(3, true, hosts(FLEET_SIZE, 2 * FLEET_SIZE, second, "Ready")))));
            process.signal("HUP");
            assertEquals(next.accept().subscription(), "SUB 3");
            for (int i = 0; i < 200; i++) {
                assertEquals(client.execute(GatewayFixture.queryComment("lookup", 5000 + i, 5000) + SQL), "2nd||");
            }
            assertTrue(process.residentMb() <= 144, process.residentMb() + " MB");
            assertTrue(process.openDescriptors() <= 512, process.openDescriptors() + " descriptors");
            client.close();
            assertEquals(process.terminate(), 143, "exit code of the JVM after SIGTERM");
        }
    }

    /** Guards memory against large lists: two complete lists of thousands of engines, each in one line. */
    @Test
    public void servesCompleteListsOfThousandsOfEnginesWithinLimits() throws Exception {
        try (var first = new ScriptedEngine(c -> ok("1st\t\t\n"));
                var second = new ScriptedEngine(c -> ok("2nd\t\t\n"));
                var feed = new ScriptedFeed();
                var process = new GatewayProcess(
                        config(feed.port(), GatewayFixture.event(1, true, GatewayFixture.host("e", first, "Ready"))),
                        "",
                        JVM_LIMITS)) {
            var feedConnection = feed.accept();
            Client client = Client.connect(process.address());
            feedConnection.writeLineInChunks(
                    GatewayFixture.event(2, true, hosts(0, LARGE_LIST_SIZE, second, "Ready")), 10_000);
            feedConnection.writeLineInChunks(
                    GatewayFixture.event(3, true, hosts(LARGE_LIST_SIZE, 2 * LARGE_LIST_SIZE, second, "Ready")),
                    10_000);
            int traceId = 0;
            while (!client.execute(GatewayFixture.queryComment("lookup", traceId++, 5000) + SQL)
                    .equals("2nd||")) {
                assertTrue(
                        traceId < 3000, "the new endpoint list was not applied within the expected number of queries");
            }
            feedConnection.writeLine("9");
            assertEquals(feed.accept().subscription(), "SUB 3");
            for (int i = 0; i < 100; i++) {
                assertEquals(client.execute(GatewayFixture.queryComment("lookup", traceId++, 5000) + SQL), "2nd||");
            }
            assertTrue(process.residentMb() <= 144, process.residentMb() + " MB");
            client.close();
            assertEquals(process.terminate(), 143, "exit code of the JVM after SIGTERM");
        }
    }

    /**
     * Guards the start under load: readiness depends neither on the feed nor on an engine nor on the class data
     * archive.
     */
    @Test
    public void becomesReadyWithoutFeedEnginesAndClassDataArchive() throws Exception {
        int closedPort;
        try (var closed = new ScriptedFeed()) {
            closedPort = closed.port();
        }
        try (var engine = new ScriptedEngine(c -> ok("1st\t\t\n"))) {
            engine.close(); // connections are refused
            try (var process = new GatewayProcess(
                    config(closedPort, GatewayFixture.event(1, true, GatewayFixture.host("e", engine, "Ready"))),
                    "",
                    "-Xshare:auto",
                    "-XX:SharedArchiveFile=no-such-file.jsa")) {
                Client client = Client.connect(process.address());
                client.write(Client.command(COM_PING, ""));
                assertEquals(client.readAnswer(), "ok");
                client.close();
            }
        }
    }
}
