package sandpaddle.story;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;
import static sandpaddle.story.ScriptedEngine.BREAK;
import static sandpaddle.story.ScriptedEngine.SILENT;
import static sandpaddle.story.ScriptedEngine.answer;
import static sandpaddle.story.ScriptedEngine.ok;

import java.io.ByteArrayOutputStream;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.testng.annotations.Test;
import sandpaddle.config.InvalidFieldException;

/** What clients and engines see of a gateway, one story for each way in which it could go wrong. */
public class GatewayStories {
    private static final String SQL = "SELECT day, count(*) FROM sales_17.orders";
    private static final String NOT_YET = answer(202, "", "");
    private static final String DECLINED = answer(503, "X-Declined: 1\r\n", "");

    @Test
    public void loginAndQueryBeforeTheGreetingInPiecesAreServedUnchanged() throws Exception {
        try (var engine = new ScriptedEngine(c -> switch (c.line().split(" ")[1]) {
                    case "/x" -> answer(202, "X-Result: frac\r\nNote-Value: 0.5\r\n", "");
                    case "/x/00000000000000a1/0" -> answer(200, "Result-Pages: 2\r\n", "d1\t2\tn'1\n");
                    default -> answer(200, "Result-Page: 1\r\n", "d2\t\tx\n");
                });
                var feed = new ScriptedFeed();
                var stage = new Stage(feed, engine);
                var client = new Client(stage.address())) {
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            all.writeBytes(Client.login());
            all.writeBytes(Client.query(Stage.fields("lookup", 0xa1, 5000) + SQL));
            for (byte b : all.toByteArray()) {
                client.write(new byte[] {b});
            }
            client.greeted();
            assertEquals(client.answer(), "ok");
            assertEquals(client.answer(), "d1|2|n'1/d2||x");
            var post = engine.next("POST");
            assertEquals(post.body(), SQL);
            assertEquals(post.headers().get("x-trace"), "00000000000000a1");
            assertEquals(post.headers().get("x-profile"), "lookup");
        }
    }

    /** What engines drop repeats by, and keep in order by, reaches them as the client told it, also with a repeat. */
    @Test
    public void theNamesOfOperationAndEntityArePassedOnUnchanged() throws Exception {
        try (var engine = new ScriptedEngine(c -> DECLINED);
                var feed = new ScriptedFeed();
                var stage = new Stage(feed, engine);
                var client = stage.client()) {
            client.write(Client.query("/* route=load,trace=00000000000000a1,nonce=d6188b5d/+~x,patience=8000,"
                    + "entity=91f03b7c55d20a64 */ " + SQL));
            for (int i = 0; i < 2; i++) {
                var post = engine.next("POST");
                assertEquals(post.headers().get("x-op-key"), "d6188b5d/+~x");
                assertEquals(post.headers().get("x-asset"), "91f03b7c55d20a64");
                assertEquals(post.body(), SQL);
                engine.script(c -> ok("a\tb\tc\n"));
            }
            assertEquals(client.answer(), "a|b|c");
            for (String bad : List.of("nonce=", "entity=a b", "nonce=" + "x".repeat(129))) {
                assertEquals(
                        client.ask("/* route=load,trace=00000000000000a2,patience=800," + bad + " */ " + SQL)
                                .substring(0, 4),
                        "1064",
                        bad);
            }
            client.write(Client.query(Stage.fields("load", 3, 5000) + SQL));
            var bare = engine.next("POST");
            assertEquals(bare.headers().get("x-op-key"), null);
            assertEquals(bare.headers().get("x-asset"), null);
        }
    }

    /** Guards against a connection that breaks while the query runs on: it is bound to none. */
    @Test
    public void aBrokenPollIsAskedAgainOnAnotherConnection() throws Exception {
        try (var engine = new ScriptedEngine(
                        c -> c.is("POST") ? NOT_YET : c.connection() == 1 ? BREAK : ok("a\tb\tc\n"));
                var feed = new ScriptedFeed();
                var stage = new Stage(feed, engine)) {
            assertEquals(stage.client().ask(Stage.fields("load", 1, 5000) + SQL), "a|b|c");
            engine.next("POST");
            assertEquals(engine.count("POST"), 0, "a load must never run twice");
        }
    }

    /** Guards against two attempts out at once: a POST that nobody seems to know may still be read. */
    @Test
    public void anUnansweredPostThatIsNotKnownIsDeletedBeforeItCountsAsEnded() throws Exception {
        try (var engine = new ScriptedEngine(c -> c.is("POST") ? SILENT : answer(500, "", ""));
                var feed = new ScriptedFeed();
                var stage = new Stage(feed, engine)) {
            assertEquals(stage.client().ask(Stage.fields("load", 1, 5000) + SQL).substring(0, 4), "1105");
            engine.next("POST");
            engine.next("DELETE");
        }
    }

    /** Guards against running a load twice, and against calling harmless what may have run. */
    @Test
    public void aLoadIsSentAgainOnlyIfItNeverRan() throws Exception {
        try (var engine = new ScriptedEngine(c -> DECLINED);
                var feed = new ScriptedFeed();
                var stage = new Stage(feed, engine)) {
            var client = stage.client();
            client.write(Client.query(Stage.fields("load", 1, 8000) + SQL));
            engine.next("POST");
            engine.script(c -> answer(500, "", ""));
            engine.next("POST");
            assertEquals(client.answer().substring(0, 4), "1105");
            assertEquals(engine.count("POST"), 0);
            engine.script(c -> ok("a\tb\tc\n"));
        }
    }

    /** Guards against rows that nobody can trust: a page that is cut, or not the one asked for. */
    @Test
    public void aMalformedPageIsAFailedAttempt() throws Exception {
        try (var engine = new ScriptedEngine(c -> answer(200, "Result-Pages: 1\r\n", "a\tb\tc\nd\te"));
                var feed = new ScriptedFeed();
                var stage = new Stage(feed, engine)) {
            assertEquals(stage.client().ask(Stage.fields("load", 1, 5000) + SQL).substring(0, 4), "1105");
        }
        try (var engine = new ScriptedEngine(c -> c.is("POST")
                        ? answer(200, "Result-Pages: 2\r\n", "a\tb\tc\n")
                        : answer(200, "Result-Page: 2\r\n", "a\tb\tc\n"));
                var feed = new ScriptedFeed();
                var stage = new Stage(feed, engine)) {
            assertEquals(stage.client().ask(Stage.fields("load", 1, 5000) + SQL).substring(0, 4), "1105");
        }
    }

    /** Guards against giving up what has run: its engine keeps the result, and to ask again is not to run it. */
    @Test
    public void spoiltAnswersAndPagesAreAskedForAgain() throws Exception {
        List<String> spoilt = List.of(
                "SSH-2.0-x\r\n\r\n",
                "HTTP/1.1 200 -\r\nContent-Length: zz\r\n\r\n",
                "HTTP/1.1 200 -\r\nResult-Pages: 2\r\nContent-Length: 3000000000\r\n\r\nx",
                ok("a\tb"),
                "HTTP/1.1 200 -\r\nContent-Length: 6\r\n\r\na\tb\tc\n");
        for (String bad : spoilt) {
            try (var engine = new ScriptedEngine(new Function<>() {
                        private boolean first = true;
                        private boolean page = true;

                        @Override
                        public String apply(ScriptedEngine.Call c) {
                            boolean good = c.line().contains("/1 ") ? !page : !first;
                            page &= !c.line().contains("/1 ");
                            first = false;
                            return !good
                                    ? bad
                                    : c.line().contains("/1 ")
                                            ? answer(200, "Result-Page: 1\r\n", "d\te\tf\n")
                                            : answer(200, "Result-Pages: 2\r\n", "a\tb\tc\n");
                        }
                    });
                    var feed = new ScriptedFeed();
                    var stage = new Stage(feed, engine)) {
                assertEquals(stage.client().ask(Stage.fields("load", 1, 5000) + SQL), "a|b|c/d|e|f", bad);
                engine.next("POST");
                assertEquals(engine.count("POST"), 0, "a load must never run twice");
            }
        }
    }

    /** Guards against reading what follows a good answer as the answer to the next call. */
    @Test
    public void whatFollowsAGoodAnswerEndsItsConnectionOnly() throws Exception {
        try (var engine = new ScriptedEngine(c ->
                        "HTTP/1.1 102 -\r\n\r\n" + ok(c.headers().get("x-trace") + "\t\t\n") + ok("of another\t\t\n"));
                var feed = new ScriptedFeed();
                var stage = new Stage(feed, engine)) {
            var client = stage.client();
            for (int i = 1; i <= 5; i++) {
                assertEquals(client.ask(Stage.fields("lookup", i, 5000) + SQL), "000000000000000" + i + "||");
                assertEquals(engine.next("POST").connection(), i);
            }
        }
    }

    /** Guards against two attempts out at once: a DELETE that was lost with its connection gives nothing up. */
    @Test
    public void aDeleteThatIsLostIsMadeAgain() throws Exception {
        try (var engine = new ScriptedEngine(c -> SILENT);
                var feed = new ScriptedFeed();
                var stage = new Stage(feed, engine)) {
            engine.beside(c -> BREAK);
            var client = stage.client();
            client.write(Client.query(Stage.fields("load", 7, 5000) + SQL));
            engine.next("POST");
            client.close();
            engine.next("DELETE");
            engine.next("DELETE");
        }
    }

    /** Guards against a second answer: what comes after a KILL finds nobody, and the engine is told to stop. */
    @Test
    public void killQueryEndsTheQueryOnceAndTheSessionLives() throws Exception {
        try (var engine = new ScriptedEngine(c -> SILENT);
                var feed = new ScriptedFeed();
                var stage = new Stage(feed, engine)) {
            var client = stage.client();
            client.write(Client.query(Stage.fields("lookup", 7, 5000) + SQL));
            var post = engine.next("POST");
            assertEquals(stage.client().ask("KILL QUERY " + client.id), "ok");
            assertEquals(client.answer(), "1317 Query execution was interrupted");
            var delete = engine.next("DELETE");
            assertEquals(delete.line(), "DELETE /x/0000000000000007 HTTP/1.1");
            assertNotEquals(delete.connection(), post.connection());
            client.write(Client.command(14, ""));
            assertEquals(client.answer(), "ok");
        }
    }

    /** Guards the one core against an engine that answers a poll at once. */
    @Test
    public void anEngineThatDoesNotHoldPollsIsNotAskedInASpin() throws Exception {
        try (var engine = new ScriptedEngine(c -> NOT_YET);
                var feed = new ScriptedFeed();
                var stage = new Stage(feed, engine)) {
            stage.client().ask(Stage.fields("load", 7, 1000) + SQL);
            engine.next("POST");
            long polls = engine.count("GET");
            assertTrue(polls >= 4 && polls <= 25, polls + " polls in a second");
        }
    }

    @Test
    public void aClosedClientHasItsQueryStopped() throws Exception {
        try (var engine = new ScriptedEngine(c -> SILENT);
                var feed = new ScriptedFeed();
                var stage = new Stage(feed, engine)) {
            var client = stage.client();
            client.write(Client.query(Stage.fields("load", 7, 5000) + SQL));
            engine.next("POST");
            client.close();
            engine.next("DELETE");
        }
    }

    /** Guards the rule of one answer in time where an engine swallows requests. */
    @Test
    public void aSilentEngineIsAnsweredForAtTheDeadline() throws Exception {
        try (var engine = new ScriptedEngine(c -> SILENT);
                var feed = new ScriptedFeed();
                var stage = new Stage(feed, engine)) {
            long from = System.nanoTime();
            assertEquals(stage.client().ask(Stage.fields("load", 7, 1200) + SQL).substring(0, 4), "1105");
            long ms = (System.nanoTime() - from) / 1_000_000;
            assertTrue(ms >= 1190 && ms < 3000, "answered after " + ms);
            engine.next("DELETE");
        }
    }

    /** Guards against holding what was given up on: it is refused at once, with advice when to come back. */
    @Test
    public void withNoEngineLeftARequestIsRefusedWithAPause() throws Exception {
        try (var engine = new ScriptedEngine(c -> DECLINED);
                var feed = new ScriptedFeed();
                var stage = new Stage(feed, engine)) {
            assertEquals(stage.client().ask(Stage.fields("lookup", 1, 5000) + SQL), "1203 refused, pause=500");
        }
    }

    /** Guards sessions against what a client gets wrong, and all others against one that breaks the framing. */
    @Test
    public void badInputEndsAtItsOwnSession() throws Exception {
        try (var engine = new ScriptedEngine(c -> ok("a\tb\tc\n"));
                var feed = new ScriptedFeed();
                var stage = new Stage(feed, engine)) {
            var client = stage.client();
            assertEquals(client.ask("SELECT 1"), "1064 no comment with the field 'route'");
            assertEquals(client.ask(Stage.fields("nightly", 1, 5000) + SQL), "1064 unknown route 'nightly'");
            assertEquals(
                    client.ask("/* route=lookup,trace=xyz,patience=5 */ " + SQL),
                    "1064 field 'trace' is not 16 hex digits");
            assertEquals(
                    client.ask(Stage.fields("lookup", 1, -4) + SQL),
                    "1064 field 'patience' is not a number of milliseconds");
            assertEquals(
                    client.ask(Stage.fields("lookup", 1, 15_001) + SQL), // twice 7.5 s at most
                    "1064 a patience of 15001 ms is out of range");
            client.write(Client.command(22, "SELECT 1"));
            assertEquals(client.answer(), "1047 Unknown command");
            var broken = stage.client();
            broken.write(new byte[] {-1, -1, -1, 0});
            assertEquals(broken.answer().substring(0, 4), "1153");
            assertTrue(broken.isEnded());
            assertEquals(client.ask(Stage.fields("lookup", 2, 5000) + SQL), "a|b|c");
        }
    }

    /** Guards descriptors against clients that say nothing or never end it; who has asked once may rest. */
    @Test
    public void whatIsNeverSaidWholeEndsWithinItsTime() throws Exception {
        try (var engine = new ScriptedEngine(c -> ok("a\tb\tc\n"));
                var feed = new ScriptedFeed();
                var stage = new Stage(feed, engine);
                var silent = new Client(stage.address());
                var half = new Client(stage.address())) {
            long from = System.nanoTime();
            var resting = stage.client();
            resting.ask(Stage.fields("lookup", 1, 5000) + SQL);
            silent.greeted();
            half.greeted();
            half.write(Arrays.copyOf(Client.login(), 20));
            var neverAsks = stage.client();
            var neverEnds = stage.client();
            neverEnds.ask(Stage.fields("lookup", 2, 5000) + SQL);
            neverEnds.write(Arrays.copyOf(Client.query(SQL), 9));
            for (Client c : List.of(silent, half, neverAsks, neverEnds)) {
                assertEquals(c.answer().substring(0, 4), "1159");
                assertTrue(c.isEnded());
            }
            long ms = (System.nanoTime() - from) / 1_000_000;
            assertTrue(ms < 2900, "ended after " + ms);
            assertEquals(resting.ask(Stage.fields("lookup", 3, 5000) + SQL), "a|b|c");
        }
    }

    /** Guards the answer to one who sends too much: a close with bytes unread would take it back. */
    @Test
    public void tooLongAPacketIsToldSoThoughItsSenderWritesOn() throws Exception {
        try (var engine = new ScriptedEngine(c -> SILENT);
                var feed = new ScriptedFeed();
                var stage = new Stage(feed, engine)) {
            var client = stage.client();
            byte[] much = new byte[4 << 20];
            Arrays.fill(much, (byte) -2);
            client.write(much);
            assertEquals(client.answer().substring(0, 4), "1153");
            assertTrue(client.isEnded());
        }
    }

    /** Guards memory: who asks on and reads nothing has its writes wait, and is answered once it reads. */
    @Test
    public void whoDoesNotReadIsNotReadEither() throws Exception {
        try (var engine = new ScriptedEngine(c -> SILENT);
                var feed = new ScriptedFeed();
                var stage = new Stage(feed, engine)) {
            var client = stage.client();
            int most = 64 << 20; // far more than all buffers between the two hold
            int written = client.writeUntilStuck(Client.query("SELECT 1"), most);
            assertTrue(written < most, "all of it was taken in");
            for (int i = 0; i < 1000; i++) {
                assertEquals(client.answer().substring(0, 4), "1064");
            }
        }
    }

    /** Guards clients that ask against those that keep their connection for good, or never say anything. */
    @Test
    public void atTheLimitSilentAndRestingClientsMakeRoom() throws Exception {
        try (var engine = new ScriptedEngine(c -> ok("a\tb\tc\n"));
                var feed = new ScriptedFeed();
                var stage = new Stage(feed, engine)) {
            var asking = stage.client();
            for (int i = 0; i < Stage.MOST_CLIENTS; i++) {
                stage.opened();
            }
            int served = 0;
            for (int i = 1; served < 2 * Stage.MOST_CLIENTS; i++) {
                assertTrue(i < 100_000, "only " + served + " were served");
                String answer = stage.askOnce(Stage.fields("lookup", i, 5000) + SQL);
                served += answer.equals("a|b|c") ? 1 : 0;
                if (served > Stage.MOST_CLIENTS) { // then all others have asked, and many rest: one makes room
                    assertEquals(answer, "a|b|c");
                }
                asking.ask(Stage.fields("lookup", -i, 5000) + SQL); // who goes on asking keeps its place
            }
        }
    }

    /** Guards against being admitted before it can serve, and engines that a whole list no longer names. */
    @Test
    public void itIsReadyOnceItKnowsAListAndFollowsTheNextOne() throws Exception {
        try (var first = new ScriptedEngine(c -> ok("first\t\t\n"));
                var second = new ScriptedEngine(c -> ok("2nd\t\t\n"));
                var feed = new ScriptedFeed();
                var stage = new Stage(feed, "")) {
            var link = feed.accept();
            assertEquals(link.subscription(), "SUB 0");
            var client = stage.client();
            client.write(Client.command(14, ""));
            assertEquals(client.answer(), "1105 not ready: no engine list yet");
            link.line(Stage.event(1, true, Stage.host("a", first, "Ready")));
            link.line("9");
            feed.accept().line(Stage.event(2, true, Stage.host("b", second, "Ready")));
            client.write(Client.command(14, ""));
            assertEquals(client.answer(), "ok");
            while (!client.ask(Stage.fields("lookup", 1, 5000) + SQL).equals("2nd||")) {
                assertTrue(first.count("POST") < 1000, "the second list was never heard");
            }
            assertEquals(client.ask(Stage.fields("lookup", 2, 5000) + SQL), "2nd||");
        }
    }

    /** Guards against a feed that stands still: an engine that drains must be known within seconds. */
    @Test
    public void aSilentOrMalformedFeedIsAskedAgainFromTheLastNumber() throws Exception {
        try (var first = new ScriptedEngine(c -> ok("first\t\t\n"));
                var second = new ScriptedEngine(c -> ok("2nd\t\t\n"));
                var feed = new ScriptedFeed();
                var stage = new Stage(feed, first)) {
            assertEquals(feed.accept().subscription(), "SUB 1"); // and then says nothing
            var link = feed.accept();
            assertEquals(link.subscription(), "SUB 1");
            link.line(Stage.event(2, false, Stage.host("new", second, "Ready")));
            link.line("{\"n\":3,\"members\":{\"hosts\":[{\"host\":4}]}}");
            link = feed.accept();
            assertEquals(link.subscription(), "SUB 2");
            link.line(Stage.event(3, false, "{\"host\":4}," + Stage.host("e0", first, "Terminating")));
            link.line("9"); // event 3 came so twice: what can be used of it counts
            assertEquals(feed.accept().subscription(), "SUB 3");
            var client = stage.client();
            for (int i = 0; i < 5; i++) {
                assertEquals(client.ask(Stage.fields("lookup", i, 5000) + SQL), "2nd||");
            }
            assertEquals(first.count("POST"), 0);
        }
    }

    /** Guards what is in flight and what is known when the feed moves: SIGHUP brings a new file under load. */
    @Test
    public void aNewFeedAddressIsFollowedFromTheLastNumberAndTheOldOneIsLeft() throws Exception {
        try (var first = new ScriptedEngine(c -> c.is("POST") ? NOT_YET : SILENT);
                var second = new ScriptedEngine(c -> ok("2nd\t\t\n"));
                var feed = new ScriptedFeed();
                var moved = new ScriptedFeed();
                var stage = new Stage(feed, first)) {
            var open = stage.client();
            open.write(Client.query(Stage.fields("load", 1, 7000) + SQL));
            first.next("POST");
            var link = feed.accept();
            stage.reload(() -> {
                throw new InvalidFieldException("field 'feed' is missing"); // a bad file: the old feed is heard on
            });
            link.line(Stage.event(2, false, Stage.host("new", second, "Ready")));
            link.line("9");
            link = feed.accept();
            assertEquals(link.subscription(), "SUB 2"); // so the event was heard
            stage.reload(() -> Stage.config(moved.port(), ""));
            var next = moved.accept();
            assertEquals(next.subscription(), "SUB 2");
            next.line(Stage.event(2, false, Stage.host("e0", first, "Ready"))); // told twice: applied once
            next.line(Stage.event(3, false, Stage.host("e0", first, "Terminating")));
            assertTrue(link.isLeft());
            assertEquals(stage.client().ask(Stage.fields("lookup", 2, 5000) + SQL), "2nd||");
            first.script(c -> ok("first\t\t\n"));
            assertEquals(open.answer(), "first||");
        }
    }

    /** Guards against sending on a connection of a process that died unseen: a load sent on it is lost. */
    @Test
    public void aRestartedEngineIsSentNothingOnItsOldConnections() throws Exception {
        try (var engine = new ScriptedEngine(c -> ok("a\tb\tc\n"));
                var feed = new ScriptedFeed();
                var stage = new Stage(feed, engine)) {
            var client = stage.client();
            var link = feed.accept();
            Set<Integer> used = new HashSet<>();
            for (int i = 1, c = 0; used.add(c); i++) { // until one that has been quiet is used again
                link.line("1");
                client.ask(Stage.fields("lookup", i, 5000) + SQL);
                c = engine.next("POST").connection();
            }
            link.line(Stage.event(2, false, Stage.host("e0", engine, "Ready", 1)));
            link.line("9");
            assertEquals(feed.accept().subscription(), "SUB 2"); // so the event was heard
            client.ask(Stage.fields("lookup", -1, 5000) + SQL);
            assertTrue(used.add(engine.next("POST").connection()));
        }
    }

    /** Guards against sending more into a machine that was cut off: its idle connections stay open and silent. */
    @Test
    public void afterASilenceNoIdleConnectionIsTrusted() throws Exception {
        CountDownLatch both = new CountDownLatch(2);
        try (var engine = new ScriptedEngine(c -> {
                    both.countDown();
                    awaitZero(both);
                    return ok("a\tb\tc\n");
                });
                var feed = new ScriptedFeed();
                var stage = new Stage(feed, engine)) {
            var one = stage.client();
            var two = stage.client();
            one.write(Client.query(Stage.fields("lookup", 1, 5000) + SQL));
            two.write(Client.query(Stage.fields("lookup", 2, 5000) + SQL));
            assertEquals(engine.next("POST").connection() + engine.next("POST").connection(), 1 + 2);
            assertEquals(one.answer() + two.answer(), "a|b|ca|b|c");
            engine.script(c -> c.is("POST") ? SILENT : ok("a\tb\tc\n"));
            assertEquals(one.ask(Stage.fields("load", 3, 5000) + SQL), "a|b|c");
            engine.script(c -> c.connection() < 3 ? SILENT : ok("a\tb\tc\n"));
            one.write(Client.query(Stage.fields("lookup", 4, 5000) + SQL));
            two.write(Client.query(Stage.fields("lookup", 5, 5000) + SQL));
            engine.next("POST");
            assertTrue(engine.next("POST").connection() >= 3);
            assertTrue(engine.next("POST").connection() >= 3);
        }
    }

    private static void awaitZero(CountDownLatch latch) {
        try {
            latch.await(5, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Guards requests that come after the order to end: they are taken, answered, and then the process ends. */
    @Test
    public void askedToEndItTakesRequestsThroughTheGraceAndAnswersAll() throws Exception {
        try (var engine = new ScriptedEngine(c -> NOT_YET);
                var feed = new ScriptedFeed();
                var stage = new Stage(feed, engine)) {
            var early = stage.client();
            early.write(Client.query(Stage.fields("lookup", 1, 7000) + SQL));
            engine.next("POST");
            stage.server.shutDown();
            var late = stage.client();
            late.write(Client.query(Stage.fields("load", 2, 7000) + SQL));
            engine.next("POST");
            engine.script(c -> c.line().contains("0000000000000001") ? ok("a\tb\tc\n") : NOT_YET);
            assertEquals(early.answer(), "a|b|c");
            assertEquals(late.answer(), "1105 failed: given up"); // before the kill can come
            stage.awaitEnd();
        }
    }
}
