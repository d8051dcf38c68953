import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** Case 7: connections to engines are reset under calls; a request has two attempts out at the same time. */
final class Case7 {
    private static final int ENGINES = 16;
    private static final int CLIENTS = 80;
    private static final int PLAY_MS = 75_000;
    private static final int WORK_MS = 3000;
    private static final int THREADS = 3;
    private static final int PATIENCE_MS = 25_000;
    /** Every time limit of the rules is longer by 50 ms. */
    private static final long SLACK_NS = 50_000_000;
    private static final double RESET_SHARE = 0.38;
    private static final int MAX_RESET_MS = 300;

    private record Out(String engine, long beganNs, long[] endedNs, String[] how) {}

    public static void main(String[] arguments) throws Exception {
        Play play = new Play(Path.of(arguments[0]), 115);
        java.util.Map<String, List<Out>> attempts = new java.util.HashMap<>();
        Random random = new Random(7);
        Play.Watcher watcher = new Play.Watcher() {
            @Override
            public void began(Play.Engine engine, Play.Query query) {
                attempts.computeIfAbsent(query.id, id -> new ArrayList<>())
                        .add(new Out(engine.id, query.beganNs, new long[] {Long.MAX_VALUE}, new String[] {"runs"}));
                play.line(engine.id + " begins " + query.id);
            }

            @Override
            public void ended(Play.Engine engine, Play.Query query, String how) {
                for (Out out : attempts.get(query.id)) {
                    if (out.engine.equals(engine.id) && out.endedNs[0] == Long.MAX_VALUE) {
                        out.endedNs[0] = query.endedNs;
                        out.how[0] = how;
                    }
                }
                play.line(engine.id + " " + how + " " + query.id);
            }
        };
        Play.Fate fate = new Play.Fate() {
            @Override
            public synchronized int resetAfterMs(byte[] call) {
                return play.trouble && random.nextDouble() < RESET_SHARE ? random.nextInt(MAX_RESET_MS) : -1;
            }

            @Override
            public synchronized boolean isRead(byte[] call) {
                return random.nextBoolean();
            }
        };
        Play.Feed feed = play.new Feed();
        for (int i = 0; i < ENGINES; i++) {
            Play.Engine engine = play.new Engine("e" + i, watcher, query -> "a\tb\tc\n");
            feed.list(engine.id, play.new Way(engine.port(), fate).port(), "hall-a");
        }
        int port = Play.freePort();
        Play.Gateway gateway =
                play.new Gateway("n0", port, Play.config("n0", 0, 1, port, feed, Play.CLASSES, false), null);
        gateway.awaitReady();
        long endMs = (long) play.ms() + PLAY_MS;
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            Thread client = new Thread(() -> {
                while (play.ms() < endMs) {
                    String trace = Play.trace();
                    try (Play.Session session = new Play.Session(port)) {
                        String text = Play.statement("report", trace, PATIENCE_MS, WORK_MS * THREADS,
                                "SELECT day FROM sales_17.orders WHERE tag = 'work=" + WORK_MS + "'");
                        Play.Answer answer = session.query(text, PATIENCE_MS + 1000);
                        play.line("client of " + trace + " got " + answer.code() + " " + answer.text());
                    } catch (java.io.IOException e) {
                        play.line("client of " + trace + " was not let in: " + e);
                    }
                    Play.sleep(100);
                }
            });
            client.start();
            clients.add(client);
        }
        for (Thread client : clients) {
            client.join(Math.max(1, (long) (endMs + PATIENCE_MS - play.ms())));
        }
        if (!gateway.process.isAlive()) {
            play.finish("the gateway has ended");
        }
        String broken = null;
        int requests = 0;
        int doubled = 0;
        synchronized (play) {
            for (var request : attempts.entrySet()) {
                requests++;
                List<Out> outs = request.getValue();
                for (int i = 0; i < outs.size(); i++) {
                    for (int k = i + 1; k < outs.size(); k++) {
                        long together = Math.min(outs.get(i).endedNs[0], outs.get(k).endedNs[0])
                                - Math.max(outs.get(i).beganNs, outs.get(k).beganNs);
                        if (together > SLACK_NS) {
                            doubled++;
                            broken = "%s was out at %s (%s) and %s (%s) at once for %d ms"
                                    .formatted(request.getKey(), outs.get(i).engine, outs.get(i).how[0],
                                            outs.get(k).engine, outs.get(k).how[0], together / 1_000_000);
                            play.line(broken);
                        }
                    }
                }
            }
        }
        play.line(requests + " requests reached an engine, " + doubled + " times two attempts at once");
        System.out.println(requests + " requests reached an engine, " + doubled + " times two attempts at once");
        play.finish(broken);
    }
}
