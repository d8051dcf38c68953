package sandpaddle.story;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static sandpaddle.story.ScriptedEngine.ok;

import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/** What a gateway does with the engine list when it is told at an awkward moment: a reload, the planned end. */
public class ListStories {
    private static final String SQL = "SELECT day FROM sales_17.orders";
    private static final Duration SLOW_READ = Duration.ofMillis(40);
    private static final Duration QUIET = Duration.ofMillis(80); // README: 50 ms before another query

    private static ScriptedEngine engine(String name) throws Exception {
        return new ScriptedEngine(c -> ok(name + "\t\t\n"));
    }

    private static String ask(Client client, int trace) throws Exception {
        return client.ask(Stage.fields("lookup", trace, 5000) + SQL);
    }

    /** Returns once all that the feed has told before has been heard: its count is ahead, so it is asked again. */
    private static ScriptedFeed.Link heard(ScriptedFeed feed, ScriptedFeed.Link link, int number) throws Exception {
        link.line("99");
        var next = feed.accept();
        assertEquals(next.subscription(), "SUB " + number);
        return next;
    }

    /** A drain holds, whoever tells it: also where the new configuration alone does and its feed is down. */
    @Test
    public void aDrainThatTheNewConfigurationKnowsHoldsThoughItsFeedIsDown() throws Exception {
        int down;
        try (var closed = new ScriptedFeed()) {
            down = closed.port();
        }
        CountDownLatch read = new CountDownLatch(1);
        try (var first = engine("1st");
                var second = engine("2nd");
                var feed = new ScriptedFeed();
                var stage = new Stage(feed, first, second)) {
            Client client = stage.client();
            stage.reload(() -> {
                read.countDown(); // what is heard after this turn finds the drain
                return Stage.config(down, Stage.event(2, false, Stage.host("e0", first, "Terminating")));
            });
            assertTrue(read.await(5, TimeUnit.SECONDS));
            for (int i = 0; i < 10; i++) {
                assertEquals(ask(client, i), "2nd||");
            }
            assertEquals(first.count("POST"), 0);
        }
    }

    /** Guards the grace of a drain against a turn that lasts: files that take long to read, a small share of a core. */
    @Test
    public void aDrainThatComesWhileTheConfigurationIsReadHoldsForWhatIsSentAfterIt() throws Exception {
        CountDownLatch reads = new CountDownLatch(1);
        CountDownLatch goOn = new CountDownLatch(1);
        try (var first = engine("1st");
                var second = engine("2nd");
                var feed = new ScriptedFeed();
                var stage = new Stage(feed, first)) {
            var link = feed.accept();
            Client client = stage.client();
            assertEquals(ask(client, 0), "1st||"); // its connection is there for the next one, once it has been quiet
            stage.reload(() -> {
                reads.countDown();
                await(goOn);
                spin(QUIET);
                return Stage.config(feed.port(), "");
            });
            assertTrue(reads.await(5, TimeUnit.SECONDS));
            client.write(Client.query(Stage.fields("lookup", 1, 5000) + SQL)); // heard in the next turn
            stage.reload(() -> {
                tell(
                        link,
                        Stage.event(
                                2,
                                false,
                                Stage.host("e0", first, "Terminating") + "," + Stage.host("e1", second, "Ready")));
                spin(SLOW_READ);
                return Stage.config(feed.port(), "");
            });
            goOn.countDown();
            assertEquals(client.answer(), "2nd||");
            assertEquals(first.count("POST"), 1);
        }
    }

    /** The file is read for so long. */
    private static void spin(Duration span) {
        long from = System.nanoTime();
        while (System.nanoTime() - from < span.toNanos()) {
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

    private static void tell(ScriptedFeed.Link link, String line) {
        try {
            link.line(line);
        } catch (java.io.IOException e) {
            throw new AssertionError(e);
        }
    }

    /** A whole list stands for all before it; told twice, in single bytes, it is the same list. */
    @Test
    public void wholeListsInSingleBytesTakeEnginesAwayAndBringThemBackUnderANewStart() throws Exception {
        try (var first = engine("1st");
                var second = engine("2nd");
                var feed = new ScriptedFeed();
                var stage = new Stage(feed, first, second)) {
            Client client = stage.client();
            String without = Stage.event(2, true, Stage.host("e1", second, "Ready"));
            var link = feed.accept();
            link.pieces(without, 1);
            link.pieces(without, 1);
            link = heard(feed, link, 2);
            for (int i = 0; i < 10; i++) {
                assertEquals(ask(client, i), "2nd||");
            }
            assertEquals(first.count("POST"), 0);
            long now = System.currentTimeMillis();
            String back = Stage.event(
                    3, true, Stage.host("e0", first, "Ready", now) + "," + Stage.host("e1", second, "Ready"));
            link.pieces(back, 1);
            link.pieces(without, 1); // an old one once more
            link.pieces(back, 1);
            link.pieces(Stage.event(4, false, Stage.host("e1", second, "Terminating")), 1);
            heard(feed, link, 4);
            long before = second.count("POST");
            for (int i = 10; i < 15; i++) {
                assertEquals(ask(client, i), "1st||");
            }
            assertEquals(second.count("POST"), before);
        }
    }

    /** The list is followed to the last: what waits while the gateway ends is served by an engine that comes. */
    @Test
    public void aListThatComesDuringThePlannedEndIsFollowed() throws Exception {
        try (var first = engine("1st");
                var second = engine("2nd");
                var feed = new ScriptedFeed();
                var stage = new Stage(feed, first)) {
            var link = feed.accept();
            link.line(Stage.event(2, true, ""));
            link = heard(feed, link, 2);
            Client client = stage.client();
            client.write(Client.query(Stage.fields("load", 1, 8000) + SQL));
            stage.server.shutDown();
            link.line(Stage.event(3, true, Stage.host("e1", second, "Ready")));
            assertEquals(client.answer(), "2nd||");
            assertEquals(first.count("POST"), 0);
            stage.awaitEnd();
        }
    }
}
