package sandpaddle.integration;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static sandpaddle.integration.ScriptedEngine.ok;

import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/** Endpoint list updates during a reload of the configuration and during shutdown. */
public class EndpointListIntegrationTest {
    private static final String SQL = "SELECT day FROM sales_17.orders";
    private static final Duration SLOW_CONFIG_READ = Duration.ofMillis(40);
    // a connection is reused for another query only after 50 ms without one
    private static final Duration IDLE_BEFORE_REUSE = Duration.ofMillis(80);

    private static ScriptedEngine engine(String name) throws Exception {
        return new ScriptedEngine(c -> ok(name + "\t\t\n"));
    }

    private static String executeLookup(Client client, int trace) throws Exception {
        return client.execute(GatewayFixture.queryComment("lookup", trace, 5000) + SQL);
    }

    /**
     * Waits until all events written before have been processed: announces a higher sequence number, upon which the
     * gateway subscribes again.
     *
     * @return the new connection
     */
    private static ScriptedFeed.Connection awaitProcessed(
            ScriptedFeed feed, ScriptedFeed.Connection feedConnection, int lastEvent) throws Exception {
        feedConnection.writeLine("99");
        var next = feed.accept();
        assertEquals(next.subscription(), "SUB " + lastEvent);
        return next;
    }

    /** A drain applies even if it is only in the new configuration, whose feed is down. */
    @Test
    public void appliesDrainFromNewConfigurationWhileItsFeedIsDown() throws Exception {
        int closedPort;
        try (var closed = new ScriptedFeed()) {
            closedPort = closed.port();
        }
        CountDownLatch read = new CountDownLatch(1);
        try (var first = engine("1st");
                var second = engine("2nd");
                var feed = new ScriptedFeed();
                var gateway = new GatewayFixture(feed, first, second)) {
            Client client = gateway.client();
            gateway.reload(() -> {
                read.countDown(); // queries received after this turn of the event loop see the drain
                return GatewayFixture.config(
                        closedPort, GatewayFixture.event(2, false, GatewayFixture.host("e0", first, "Terminating")));
            });
            assertTrue(read.await(5, TimeUnit.SECONDS));
            for (int i = 0; i < 10; i++) {
                assertEquals(executeLookup(client, i), "2nd||");
            }
            assertEquals(first.count("POST"), 0);
        }
    }

    /**
     * Guards the grace period of a drain against long turns of the event loop, as with configuration files that are
     * slow to read or a small share of a core.
     */
    @Test
    public void appliesDrainReceivedDuringConfigurationReadToLaterQueries() throws Exception {
        CountDownLatch readStarted = new CountDownLatch(1);
        CountDownLatch mayContinue = new CountDownLatch(1);
        try (var first = engine("1st");
                var second = engine("2nd");
                var feed = new ScriptedFeed();
                var gateway = new GatewayFixture(feed, first)) {
            var feedConnection = feed.accept();
            Client client = gateway.client();
            assertEquals(executeLookup(client, 0), "1st||"); // its connection can be reused after the idle time
            gateway.reload(() -> {
                readStarted.countDown();
                await(mayContinue);
                busyWait(IDLE_BEFORE_REUSE);
                return GatewayFixture.config(feed.port(), "");
            });
            assertTrue(readStarted.await(5, TimeUnit.SECONDS));
            // received in the next turn of the event loop
            client.write(Client.query(GatewayFixture.queryComment("lookup", 1, 5000) + SQL));
            gateway.reload(() -> {
                writeLine(
                        feedConnection,
                        GatewayFixture.event(
                                2,
                                false,
                                GatewayFixture.host("e0", first, "Terminating") + ","
                                        + GatewayFixture.host("e1", second, "Ready")));
                busyWait(SLOW_CONFIG_READ);
                return GatewayFixture.config(feed.port(), "");
            });
            mayContinue.countDown();
            assertEquals(client.readAnswer(), "2nd||");
            assertEquals(first.count("POST"), 1);
        }
    }

    /** Blocks the event loop like a slow read of a configuration file. */
    private static void busyWait(Duration span) {
        long startNs = System.nanoTime();
        while (System.nanoTime() - startNs < span.toNanos()) {
            Thread.onSpinWait();
        }
    }

    private static void await(CountDownLatch latch) {
        try {
            latch.await(5, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void writeLine(ScriptedFeed.Connection feedConnection, String line) {
        try {
            feedConnection.writeLine(line);
        } catch (java.io.IOException e) {
            throw new AssertionError(e);
        }
    }

    /**
     * A complete list replaces the previous one. Repeated, outdated and fragmented events do not change the result,
     * and an engine that is listed again with a later start time serves again.
     */
    @Test
    public void appliesRepeatedCompleteListsReceivedByteByByte() throws Exception {
        try (var first = engine("1st");
                var second = engine("2nd");
                var feed = new ScriptedFeed();
                var gateway = new GatewayFixture(feed, first, second)) {
            Client client = gateway.client();
            String withoutFirst = GatewayFixture.event(2, true, GatewayFixture.host("e1", second, "Ready"));
            var feedConnection = feed.accept();
            feedConnection.writeLineInChunks(withoutFirst, 1);
            feedConnection.writeLineInChunks(withoutFirst, 1);
            feedConnection = awaitProcessed(feed, feedConnection, 2);
            for (int i = 0; i < 10; i++) {
                assertEquals(executeLookup(client, i), "2nd||");
            }
            assertEquals(first.count("POST"), 0);
            long now = System.currentTimeMillis();
            String restored = GatewayFixture.event(
                    3,
                    true,
                    GatewayFixture.host("e0", first, "Ready", now) + "," + GatewayFixture.host("e1", second, "Ready"));
            feedConnection.writeLineInChunks(restored, 1);
            feedConnection.writeLineInChunks(withoutFirst, 1); // outdated event
            feedConnection.writeLineInChunks(restored, 1);
            feedConnection.writeLineInChunks(
                    GatewayFixture.event(4, false, GatewayFixture.host("e1", second, "Terminating")), 1);
            awaitProcessed(feed, feedConnection, 4);
            long before = second.count("POST");
            for (int i = 10; i < 15; i++) {
                assertEquals(executeLookup(client, i), "1st||");
            }
            assertEquals(second.count("POST"), before);
        }
    }

    /** Guards a query that waits for an engine during shutdown: an engine listed meanwhile serves it. */
    @Test
    public void followsEndpointListDuringShutdown() throws Exception {
        try (var first = engine("1st");
                var second = engine("2nd");
                var feed = new ScriptedFeed();
                var gateway = new GatewayFixture(feed, first)) {
            var feedConnection = feed.accept();
            feedConnection.writeLine(GatewayFixture.event(2, true, ""));
            feedConnection = awaitProcessed(feed, feedConnection, 2);
            Client client = gateway.client();
            client.write(Client.query(GatewayFixture.queryComment("load", 1, 8000) + SQL));
            gateway.server.shutDown();
            feedConnection.writeLine(GatewayFixture.event(3, true, GatewayFixture.host("e1", second, "Ready")));
            assertEquals(client.readAnswer(), "2nd||");
            assertEquals(first.count("POST"), 0);
            gateway.awaitTermination();
        }
    }
}
