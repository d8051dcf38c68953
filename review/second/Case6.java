import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicInteger;

/** Case 6: a crowd of bad clients sends statements of comments; the requests of the usual clients are lost. */
final class Case6 {
    private static final int ENGINES = 6;
    private static final int LOOKUP_CLIENTS = 10;
    private static final int LOAD_CLIENTS = 2;
    private static final int LOOKUP_PATIENCE_MS = 1_500;
    private static final int LOAD_PATIENCE_MS = 9_000;
    private static final int WORK_MS = 50;
    private static final int BAD_CLIENTS = 200;
    private static final int WARM_MS = 5_000;
    private static final int PLAY_MS = 30_000;
    /** Up to half a second after its time a request only earns nothing; every time limit is longer by 50 ms. */
    private static final int LATE_MS = 550;
    /** A statement of 60 KB that cannot be read: it consists of empty line comments. */
    private static final String UNREADABLE = "#\n".repeat(30_000);

    public static void main(String[] arguments) throws Exception {
        Play play = new Play(Path.of(arguments[0]), 100);
        Play.Watcher watcher = new Play.Watcher() {
            @Override
            public void began(Play.Engine engine, Play.Query query) {}

            @Override
            public void ended(Play.Engine engine, Play.Query query, String how) {}
        };
        Play.Feed feed = play.new Feed();
        for (int i = 0; i < ENGINES; i++) {
            feed.list("e" + i, play.new Engine("e" + i, watcher, query -> "a\tb\tc\n").port(), "hall-a");
        }
        int port = Play.freePort();
        Play.Gateway gateway =
                play.new Gateway("n0", port, Play.config("n0", 0, 1, port, feed, Play.CLASSES, false), null);
        gateway.awaitReady();
        AtomicInteger answered = new AtomicInteger();
        AtomicInteger lost = new AtomicInteger();
        AtomicInteger turnedAway = new AtomicInteger();
        for (int i = 0; i < LOOKUP_CLIENTS; i++) {
            Play.daemon(() -> usual(play, port, "lookup", LOOKUP_PATIENCE_MS, answered, lost));
        }
        for (int i = 0; i < LOAD_CLIENTS; i++) {
            Play.daemon(() -> usual(play, port, "load", LOAD_PATIENCE_MS, answered, lost));
        }
        Play.sleep(WARM_MS);
        play.line(answered + " requests are answered, " + lost + " are lost");
        for (int i = 0; i < BAD_CLIENTS && play.trouble; i++) {
            Play.daemon(() -> bad(port, turnedAway));
        }
        for (int i = 0; i < PLAY_MS / 1000 && gateway.process.isAlive(); i++) {
            Play.sleep(1000);
            play.line(answered + " requests are answered, " + lost + " are lost; bad clients were turned away " + turnedAway
                    + " times");
        }
        if (!gateway.process.isAlive()) {
            play.finish("the gateway has ended");
        }
        String result = "%s requests answered in time, %s lost".formatted(answered, lost);
        System.out.println(result);
        play.finish(lost.get() > 0 ? result : null);
    }

    /** Sends what cannot be read, reads what comes, and sends the same again the moment it is turned away. */
    private static void bad(int port, AtomicInteger turnedAway) {
        while (true) {
            try (Play.Session session = new Play.Session(port)) {
                while (session.query(UNREADABLE, 60_000).code() > 0) {
                    turnedAway.incrementAndGet();
                }
            } catch (IOException e) {
                Play.sleep(10);
            }
        }
    }

    /** Asks one request after the other, each in a session that is kept. */
    private static void usual(
            Play play, int port, String route, int patienceMs, AtomicInteger answered, AtomicInteger lost) {
        while (true) {
            try (Play.Session session = new Play.Session(port)) {
                boolean isOpen = true;
                while (isOpen) {
                    String trace = Play.trace();
                    String sql = "SELECT day FROM sales_17.orders WHERE tag = 'work=" + WORK_MS + "'";
                    double beganMs = play.ms();
                    Play.Answer answer = session.query(
                            Play.statement(route, trace, patienceMs, WORK_MS, sql), patienceMs + 5_000);
                    double tookMs = play.ms() - beganMs;
                    if (answer.code() < 0 || tookMs > patienceMs + LATE_MS) {
                        lost.incrementAndGet();
                        play.line("%s %s with a patience of %d ms got %d %s after %.0f ms"
                                .formatted(route, trace, patienceMs, answer.code(), answer.text(), tookMs));
                    } else {
                        answered.incrementAndGet();
                    }
                    isOpen = answer.code() >= 0;
                    Play.sleep(50);
                }
            } catch (IOException e) {
                Play.sleep(100);
            }
        }
    }
}
