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
import sandpaddle.interleaving.ManualClock;
import sandpaddle.story.ScriptedFeed;

/** Control feeds that fail, move or fall silent at the wrong instant; the clock is the test's, the sockets are real. */
public class EndpointWatcherTest {
    private static final PlatformNames NAMES =
            new PlatformNames(List.of("lookup"), List.of("east"), List.of("std"), List.of());
    private static final Duration HEARTBEAT = Duration.ofSeconds(1);
    private static final Duration SILENCE = Duration.ofMillis(1600); // README, Guards worth knowing
    private static final Duration STEP = Duration.ofMillis(10);
    private static final Duration RETRY = STEP.multipliedBy(6); // of its first retries
    private static final Duration MAX_BACKOFF = Duration.ofMillis(400); // docs/operators/rare-moments.md
    private static final int READ_MS = 2000;
    private static final int MANY = 16_384;

    private final ManualClock clock = new ManualClock();
    private final List<EndpointListEvent> events = new ArrayList<>();
    private EventLoop loop;
    private ScriptedFeed server;
    private ScriptedFeed nextServer;
    private EndpointWatcher watcher;

    @BeforeMethod
    public void open() throws IOException {
        events.clear();
        loop = new EventLoop(clock);
        server = new ScriptedFeed();
        nextServer = new ScriptedFeed();
        watcher = new EndpointWatcher(loop, address(server), NAMES, 1, events::add);
        watcher.start();
    }

    @AfterMethod
    public void close() throws IOException {
        server.close();
        nextServer.close();
        loop.stop();
        loop.run(() -> {});
    }

    private static InetSocketAddress address(ScriptedFeed of) {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), of.port());
    }

    private void turn() throws IOException {
        loop.runTurn(() -> {}, Duration.ofMillis(1));
    }

    private void until(BooleanSupplier condition) throws IOException {
        long end = System.nanoTime() + Duration.ofSeconds(5).toNanos();
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < end, "the condition did not hold within 5 s");
            turn();
        }
    }

    private void pass(Duration span) throws IOException {
        for (Duration passed = Duration.ZERO; passed.compareTo(span) < 0; passed = passed.plus(STEP)) {
            clock.advance(STEP);
            turn();
        }
    }

    /** The next connection, whose subscription has come. */
    private ScriptedFeed.Link accept(ScriptedFeed from) throws IOException {
        CompletableFuture<ScriptedFeed.Link> link = CompletableFuture.supplyAsync(() -> {
            try {
                return from.accept();
            } catch (IOException e) {
                throw new AssertionError(e);
            }
        });
        until(link::isDone);
        link.join().socket().setSoTimeout(READ_MS);
        return link.join();
    }

    private static String host(String id, String health, long bornMs) {
        String form = """
                {"host":"%s","dial":"127.0.0.1:9","site":"east","class":"std","health":"%s","born_ms":%d}""";
        return form.formatted(id, health, bornMs);
    }

    private static String event(int number, boolean whole, String... hosts) {
        return "{\"n\":%d,\"members\":{\"seq\":%d,\"whole\":%b,\"hosts\":[%s]}}"
                .formatted(number, number, whole, String.join(",", hosts));
    }

    private static String drain(int number) {
        return event(number, false, host("e", "Terminating", 0));
    }

    private List<Long> versions() {
        return events.stream().map(EndpointListEvent::version).toList();
    }

    /** An announced drain counts even if only the previous feed sends it, after the first line of the next. */
    @Test
    public void drainOnThePreviousFeedAfterTheFirstLineOfTheNextIsApplied() throws Exception {
        var previous = accept(server);
        watcher.setAddress(address(nextServer));
        var next = accept(nextServer);
        assertEquals(next.subscription(), "SUB 1");
        next.line("1");
        pass(HEARTBEAT.minus(STEP));
        previous.line(drain(2));
        until(() -> versions().equals(List.of(2L)));
        next.line(drain(2));
        next.line(event(3, false, host("f", "Ready", 0)));
        until(() -> events.size() == 2);
        assertEquals(versions(), List.of(2L, 3L)); // an event of both feeds is applied once
    }

    /** Guards descriptors: a previous feed that goes on sending is closed in the end. */
    @Test
    public void previousFeedIsClosedAWhileAfterTheFirstLineOfTheNext() throws Exception {
        var previous = accept(server);
        watcher.setAddress(address(nextServer));
        var next = accept(nextServer);
        next.line("1");
        pass(HEARTBEAT);
        next.line("1");
        previous.line("1");
        pass(SILENCE.minus(HEARTBEAT).plus(STEP));
        assertTrue(previous.isLeft());
    }

    /** Guards a drain that only the previous feed can announce while the next refuses or is silent. */
    @Test
    public void previousFeedIsReadWhileTheNextIsSilent() throws Exception {
        var previous = accept(server);
        watcher.setAddress(address(nextServer));
        accept(nextServer);
        pass(HEARTBEAT);
        previous.line(drain(2));
        until(() -> versions().equals(List.of(2L)));
        pass(SILENCE.minus(HEARTBEAT).plus(RETRY));
        assertEquals(accept(nextServer).subscription(), "SUB 2");
    }

    /** The next feed's version may be behind: no event is reverted. */
    @Test
    public void nextFeedThatIsBehindRevertsNothingAndIsFollowed() throws Exception {
        var previous = accept(server);
        previous.line(drain(2));
        until(() -> events.size() == 1);
        watcher.setAddress(address(nextServer));
        var next = accept(nextServer);
        next.line("1");
        next.line(event(2, false, host("e", "Ready", 0)));
        next.line(event(3, false, host("f", "Terminating", 0)));
        until(() -> events.size() == 2);
        assertEquals(versions(), List.of(2L, 3L));
    }

    /** An event that arrives after the turn has begun is applied before anything is sent. */
    @Test
    public void drainWithinTheTurnIsAppliedByReadAvailable() throws Exception {
        var previous = accept(server);
        watcher.setAddress(address(nextServer));
        var next = accept(nextServer);
        for (var link : List.of(previous, next)) {
            events.clear();
            boolean[] applied = new boolean[1];
            int number = link == previous ? 2 : 3;
            loop.runTurn(
                    () -> {
                        try {
                            link.line(drain(number));
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

    /** A connection that falls silent is replaced 1.6 s after its last line, and so is the next. */
    @Test
    public void silentWatchIsReplacedAndSoIsItsSilentSuccessor() throws Exception {
        var link = accept(server);
        for (int second = 0; second < 13; second++) {
            link.line("1");
            pass(HEARTBEAT);
        }
        link.line("1");
        pass(SILENCE.minus(STEP));
        assertFalse(isLeft(link));
        pass(RETRY);
        assertTrue(link.isLeft());
        var silent = accept(server);
        assertEquals(silent.subscription(), "SUB 1");
        pass(SILENCE.plus(RETRY));
        assertTrue(silent.isLeft());
        var good = accept(server);
        assertEquals(good.subscription(), "SUB 1");
        good.line(drain(2));
        until(() -> versions().equals(List.of(2L)));
    }

    private static boolean isLeft(ScriptedFeed.Link link) throws IOException {
        link.socket().setSoTimeout(1);
        try {
            return link.isLeft();
        } catch (java.net.SocketTimeoutException e) {
            return false;
        } finally {
            link.socket().setSoTimeout(READ_MS);
        }
    }

    /** Half a line does not keep a connection open. */
    @Test
    public void silenceAfterHalfALineReconnects() throws Exception {
        var link = accept(server);
        byte[] half = drain(2).getBytes(java.nio.charset.StandardCharsets.UTF_8);
        link.socket().getOutputStream().write(half, 0, half.length / 2);
        pass(SILENCE.plus(RETRY));
        assertTrue(link.isLeft());
        accept(server).line(drain(2));
        until(() -> versions().equals(List.of(2L)));
    }

    /** Guards a complete list whose line takes longer than the silence timeout. */
    @Test
    public void bytesOfALongLineAreNoSilence() throws Exception {
        var link = accept(server);
        String whole = event(
                        2,
                        true,
                        IntStream.range(0, 80)
                                .mapToObj(i -> host("e" + i, "Ready", 0))
                                .collect(Collectors.joining(",")))
                + "\n";
        int parts = 4;
        for (int i = 0; i < parts; i++) {
            int from = whole.length() * i / parts;
            link.socket()
                    .getOutputStream()
                    .write(whole.substring(from, whole.length() * (i + 1) / parts)
                            .getBytes(java.nio.charset.StandardCharsets.UTF_8));
            pass(HEARTBEAT);
        }
        until(() -> versions().equals(List.of(2L)));
        assertEquals(events.get(0).engines().size(), 80);
    }

    /** Guards against a feed that never ends a line. */
    @Test
    public void lineWithoutEndFailsTheConnection() throws Exception {
        var link = accept(server);
        int seconds = 0;
        while (!isLeft(link)) {
            assertTrue(seconds++ < 6, "the connection is still open");
            link.socket().getOutputStream().write('[');
            pass(HEARTBEAT);
        }
        pass(RETRY);
        assertEquals(accept(server).subscription(), "SUB 1");
    }

    /** Guards the feed against all gateways at once, if its heartbeats are ahead of its events. */
    @Test
    public void feedAheadOfItsEventsIsRetriedWithBackoff() throws Exception {
        int connections = 0;
        CompletableFuture<ScriptedFeed.Link> next = acceptLater();
        for (Duration passed = Duration.ZERO; passed.compareTo(HEARTBEAT) < 0; passed = passed.plus(STEP)) {
            for (int i = 0; i < 3; i++) {
                turn();
            }
            if (next.isDone()) {
                connections++;
                next.join().line("9");
                next = acceptLater();
            }
            clock.advance(STEP);
        }
        assertTrue(connections >= 2 && connections <= 8, connections + " connections in a second");
    }

    private CompletableFuture<ScriptedFeed.Link> acceptLater() {
        return CompletableFuture.supplyAsync(() -> {
            try {
                return server.accept();
            } catch (IOException e) {
                throw new AssertionError(e);
            }
        });
    }

    /** Lists of 16,384 engines are accepted, with names as long as an operator may make them. */
    @Test
    public void listOfManyThousandEnginesIsApplied() throws Exception {
        var link = accept(server);
        String name = "x".repeat(220);
        String whole = event(
                2,
                true,
                IntStream.range(0, MANY)
                        .mapToObj(i -> host(name + i, "Ready", 0))
                        .toArray(String[]::new));
        CompletableFuture<Void> written = CompletableFuture.runAsync(() -> {
            try {
                link.line(whole);
            } catch (IOException e) {
                throw new AssertionError(e);
            }
        });
        until(() -> events.size() == 1);
        assertEquals(events.get(0).engines().size(), MANY);
        written.join();
    }

    /** Guards gateways without a list, or with an old one: a feed that is back is reconnected within the backoff. */
    @Test
    public void feedIsReconnectedSoonAfterItsReturn() throws Exception {
        int port = server.port();
        accept(server).socket().close();
        server.close();
        pass(Duration.ofSeconds(8));
        server = new ScriptedFeed(port);
        pass(MAX_BACKOFF.plus(STEP.multipliedBy(2)));
        var link = accept(server);
        assertEquals(link.subscription(), "SUB 1");
        link.line(drain(2));
        until(() -> versions().equals(List.of(2L)));
    }

    /** Of two moves in a row, the feed between them never sent a line. */
    @Test
    public void ofTwoMovesInARowTheConnectionWithALineStays() throws Exception {
        var previous = accept(server);
        previous.line("1");
        turn();
        try (var between = new ScriptedFeed()) {
            watcher.setAddress(address(between));
            var silent = accept(between);
            watcher.setAddress(address(nextServer));
            assertEquals(accept(nextServer).subscription(), "SUB 1");
            assertTrue(silent.isLeft());
            previous.line(drain(2));
            until(() -> versions().equals(List.of(2L)));
        }
    }
}
