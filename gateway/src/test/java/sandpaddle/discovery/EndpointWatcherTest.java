package sandpaddle.discovery;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import sandpaddle.config.EndpointListEvent;
import sandpaddle.config.PlatformNames;
import sandpaddle.eventloop.EventLoop;
import sandpaddle.integration.ScriptedFeed;
import sandpaddle.interleaving.ManualClock;

/** Control feeds that fail, change their address or stop sending. The clock is virtual, the sockets are real. */
public class EndpointWatcherTest {
    private static final PlatformNames NAMES =
            new PlatformNames(List.of("lookup"), List.of("east"), List.of("std"), List.of());
    private static final Duration HEARTBEAT = Duration.ofSeconds(1);
    private static final Duration SILENCE_TIMEOUT = Duration.ofMillis(1600); // as documented in README.md
    private static final Duration STEP = Duration.ofMillis(10);
    private static final Duration FIRST_BACKOFFS = STEP.multipliedBy(6); // covers the backoff of the first retries
    private static final Duration MAX_BACKOFF =
            Duration.ofMillis(400); // as documented in docs/operators/rare-moments.md
    private static final int READ_TIMEOUT_MS = 2000;
    private static final int LARGE_LIST_ENGINES = 16_384;

    private final ManualClock clock = new ManualClock();
    private final List<EndpointListEvent> events = new ArrayList<>();
    private EventLoop loop;
    private ScriptedFeed feed;
    private ScriptedFeed nextFeed;
    private EndpointWatcher watcher;

    @BeforeMethod
    public void open() throws IOException {
        events.clear();
        loop = new EventLoop(clock);
        feed = new ScriptedFeed();
        nextFeed = new ScriptedFeed();
        watcher = new EndpointWatcher(loop, address(feed), NAMES, 1, events::add);
        watcher.start();
    }

    @AfterMethod
    public void close() throws IOException {
        feed.close();
        nextFeed.close();
        loop.stop();
        loop.run(() -> {});
    }

    private static InetSocketAddress address(ScriptedFeed feed) {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), feed.port());
    }

    private void runTurn() throws IOException {
        loop.runTurn(() -> {}, Duration.ofMillis(1));
    }

    private void await(BooleanSupplier condition) throws IOException {
        long end = System.nanoTime() + Duration.ofSeconds(5).toNanos();
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < end, "the condition did not hold within 5 s");
            runTurn();
        }
    }

    private void advance(Duration total) throws IOException {
        for (Duration passed = Duration.ZERO; passed.compareTo(total) < 0; passed = passed.plus(STEP)) {
            clock.advance(STEP);
            runTurn();
        }
    }

    /** Accepts the next connection and reads its subscription. */
    private ScriptedFeed.Connection accept(ScriptedFeed feed) throws IOException {
        CompletableFuture<ScriptedFeed.Connection> link = CompletableFuture.supplyAsync(() -> {
            try {
                return feed.accept();
            } catch (IOException e) {
                throw new AssertionError(e);
            }
        });
        await(link::isDone);
        link.join().socket().setSoTimeout(READ_TIMEOUT_MS);
        return link.join();
    }

    private static String host(String id, String health, long startedMs) {
        String template = """
                {"host":"%s","dial":"127.0.0.1:9","site":"east","class":"std","health":"%s","born_ms":%d}""";
        return template.formatted(id, health, startedMs);
    }

    private static String event(int number, boolean isComplete, String... hosts) {
        return "{\"n\":%d,\"members\":{\"seq\":%d,\"whole\":%b,\"hosts\":[%s]}}"
                .formatted(number, number, isComplete, String.join(",", hosts));
    }

    private static String drain(int number) {
        return event(number, false, host("e", "Terminating", 0));
    }

    private List<Long> versions() {
        return events.stream().map(EndpointListEvent::version).toList();
    }

    /** A drain must be applied even if only the previous feed announces it, after the first line of the next one. */
    @Test
    public void appliesDrainFromPreviousFeedAfterFirstLineOfNext() throws Exception {
        var previous = accept(feed);
        watcher.setAddress(address(nextFeed));
        var next = accept(nextFeed);
        assertEquals(next.subscription(), "SUB 1");
        next.writeLine("1");
        advance(HEARTBEAT.minus(STEP));
        previous.writeLine(drain(2));
        await(() -> versions().equals(List.of(2L)));
        next.writeLine(drain(2));
        next.writeLine(event(3, false, host("f", "Ready", 0)));
        await(() -> events.size() == 2);
        assertEquals(versions(), List.of(2L, 3L)); // an event from both feeds is applied once
    }

    /** Guards against a leak of descriptors: the previous connection is closed even if its feed keeps sending. */
    @Test
    public void closesPreviousFeedAfterSilenceTimeoutFromFirstLineOfNext() throws Exception {
        var previous = accept(feed);
        watcher.setAddress(address(nextFeed));
        var next = accept(nextFeed);
        next.writeLine("1");
        advance(HEARTBEAT);
        next.writeLine("1");
        previous.writeLine("1");
        advance(SILENCE_TIMEOUT.minus(HEARTBEAT).plus(STEP));
        assertTrue(previous.isClosedByGateway());
    }

    /** A drain that only the previous feed can announce must not be missed while the next one sends nothing. */
    @Test
    public void readsPreviousFeedWhileNextIsSilent() throws Exception {
        var previous = accept(feed);
        watcher.setAddress(address(nextFeed));
        accept(nextFeed);
        advance(HEARTBEAT);
        previous.writeLine(drain(2));
        await(() -> versions().equals(List.of(2L)));
        advance(SILENCE_TIMEOUT.minus(HEARTBEAT).plus(FIRST_BACKOFFS));
        assertEquals(accept(nextFeed).subscription(), "SUB 2");
    }

    /** The version of the next feed may be behind; its outdated events must not be applied. */
    @Test
    public void ignoresOutdatedEventsOfNextFeedAndAppliesNewOnes() throws Exception {
        var previous = accept(feed);
        previous.writeLine(drain(2));
        await(() -> events.size() == 1);
        watcher.setAddress(address(nextFeed));
        var next = accept(nextFeed);
        next.writeLine("1");
        next.writeLine(event(2, false, host("e", "Ready", 0)));
        next.writeLine(event(3, false, host("f", "Terminating", 0)));
        await(() -> events.size() == 2);
        assertEquals(versions(), List.of(2L, 3L));
    }

    /** An event that arrives during a turn is applied by {@code readAvailable}, before anything is sent. */
    @Test
    public void readAvailableAppliesDrainThatArrivesDuringTurn() throws Exception {
        var previous = accept(feed);
        watcher.setAddress(address(nextFeed));
        var next = accept(nextFeed);
        for (var link : List.of(previous, next)) {
            events.clear();
            boolean[] applied = new boolean[1];
            int number = link == previous ? 2 : 3;
            loop.runTurn(
                    () -> {
                        try {
                            link.writeLine(drain(number));
                        } catch (IOException e) {
                            throw new AssertionError(e);
                        }
                        watcher.readAvailable();
                        applied[0] = versions().equals(List.of((long) number));
                    },
                    Duration.ofMillis(1));
            assertTrue(applied[0], "event " + number);
        }
    }

    /** A silent connection is replaced 1.6 s after its last line, and so is its successor. */
    @Test
    public void replacesSilentConnectionAndItsSilentSuccessor() throws Exception {
        var link = accept(feed);
        for (int second = 0; second < 13; second++) {
            link.writeLine("1");
            advance(HEARTBEAT);
        }
        link.writeLine("1");
        advance(SILENCE_TIMEOUT.minus(STEP));
        assertFalse(isClosed(link));
        advance(FIRST_BACKOFFS);
        assertTrue(link.isClosedByGateway());
        var silent = accept(feed);
        assertEquals(silent.subscription(), "SUB 1");
        advance(SILENCE_TIMEOUT.plus(FIRST_BACKOFFS));
        assertTrue(silent.isClosedByGateway());
        var healthy = accept(feed);
        assertEquals(healthy.subscription(), "SUB 1");
        healthy.writeLine(drain(2));
        await(() -> versions().equals(List.of(2L)));
    }

    private static boolean isClosed(ScriptedFeed.Connection link) throws IOException {
        link.socket().setSoTimeout(1);
        try {
            return link.isClosedByGateway();
        } catch (java.net.SocketTimeoutException e) {
            return false;
        } finally {
            link.socket().setSoTimeout(READ_TIMEOUT_MS);
        }
    }

    /** An incomplete line must not keep a silent connection open. */
    @Test
    public void reconnectsAfterSilenceWithinLine() throws Exception {
        var link = accept(feed);
        byte[] half = drain(2).getBytes(java.nio.charset.StandardCharsets.UTF_8);
        link.socket().getOutputStream().write(half, 0, half.length / 2);
        advance(SILENCE_TIMEOUT.plus(FIRST_BACKOFFS));
        assertTrue(link.isClosedByGateway());
        accept(feed).writeLine(drain(2));
        await(() -> versions().equals(List.of(2L)));
    }

    /** A complete list must be received even if its line takes longer than the silence timeout. */
    @Test
    public void bytesOfIncompleteLineRestartSilenceTimeout() throws Exception {
        var link = accept(feed);
        String completeList = event(
                        2,
                        true,
                        IntStream.range(0, 80)
                                .mapToObj(i -> host("e" + i, "Ready", 0))
                                .collect(Collectors.joining(",")))
                + "\n";
        int parts = 4;
        for (int i = 0; i < parts; i++) {
            int offset = completeList.length() * i / parts;
            link.socket()
                    .getOutputStream()
                    .write(completeList
                            .substring(offset, completeList.length() * (i + 1) / parts)
                            .getBytes(java.nio.charset.StandardCharsets.UTF_8));
            advance(HEARTBEAT);
        }
        await(() -> versions().equals(List.of(2L)));
        assertEquals(events.get(0).engines().size(), 80);
    }

    /** A feed that sends bytes but never ends the line must not keep the connection open. */
    @Test
    public void reconnectsIfLineIsNotCompletedInTime() throws Exception {
        var link = accept(feed);
        int seconds = 0;
        while (!isClosed(link)) {
            assertTrue(seconds++ < 6, "the connection is still open");
            link.socket().getOutputStream().write('[');
            advance(HEARTBEAT);
        }
        advance(FIRST_BACKOFFS);
        assertEquals(accept(feed).subscription(), "SUB 1");
    }

    /** A feed whose heartbeats are ahead of its events must not be flooded with reconnects of all gateways. */
    @Test
    public void reconnectsWithBackoffIfHeartbeatIsAheadOfEvents() throws Exception {
        int connections = 0;
        CompletableFuture<ScriptedFeed.Connection> next = acceptLater();
        for (Duration passed = Duration.ZERO; passed.compareTo(HEARTBEAT) < 0; passed = passed.plus(STEP)) {
            for (int i = 0; i < 3; i++) {
                runTurn();
            }
            if (next.isDone()) {
                connections++;
                next.join().writeLine("9");
                next = acceptLater();
            }
            clock.advance(STEP);
        }
        assertTrue(connections >= 2 && connections <= 8, connections + " connections in a second");
    }

    private CompletableFuture<ScriptedFeed.Connection> acceptLater() {
        return CompletableFuture.supplyAsync(() -> {
            try {
                return feed.accept();
            } catch (IOException e) {
                throw new AssertionError(e);
            }
        });
    }

    /** Lists of 16,384 engines are accepted, with long names. */
    @Test
    public void appliesListOfManyEnginesWithLongNames() throws Exception {
        var link = accept(feed);
        String name = "x".repeat(220);
        String completeList = event(
                2,
                true,
                IntStream.range(0, LARGE_LIST_ENGINES)
                        .mapToObj(i -> host(name + i, "Ready", 0))
                        .toArray(String[]::new));
        CompletableFuture<Void> written = CompletableFuture.runAsync(() -> {
            try {
                link.writeLine(completeList);
            } catch (IOException e) {
                throw new AssertionError(e);
            }
        });
        await(() -> events.size() == 1);
        assertEquals(events.get(0).engines().size(), LARGE_LIST_ENGINES);
        written.join();
    }

    /** Guards against a gateway that has no list, or an outdated one, although the feed is available again. */
    @Test
    public void reconnectsWithinMaxBackoffAfterFeedRestarts() throws Exception {
        int port = feed.port();
        accept(feed).socket().close();
        feed.close();
        advance(Duration.ofSeconds(8));
        feed = new ScriptedFeed(port);
        advance(MAX_BACKOFF.plus(STEP.multipliedBy(2)));
        var link = accept(feed);
        assertEquals(link.subscription(), "SUB 1");
        link.writeLine(drain(2));
        await(() -> versions().equals(List.of(2L)));
    }

    /** The address changes twice, and the feed at the intermediate address never sends a line. */
    @Test
    public void keepsConnectionWithLineWhenAddressChangesTwice() throws Exception {
        var previous = accept(feed);
        previous.writeLine("1");
        runTurn();
        try (var intermediate = new ScriptedFeed()) {
            watcher.setAddress(address(intermediate));
            var silent = accept(intermediate);
            watcher.setAddress(address(nextFeed));
            assertEquals(accept(nextFeed).subscription(), "SUB 1");
            assertTrue(silent.isClosedByGateway());
            previous.writeLine(drain(2));
            await(() -> versions().equals(List.of(2L)));
        }
    }
}
