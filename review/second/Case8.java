import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Case 8: two zones are partitioned in turn for 6 s; requests written into the cut begin when that is over, beside their
 * retries.
 */
final class Case8 {
    private static final int ENGINES = 6;
    private static final int ZONES = 3;
    private static final int DASHBOARDS = 18;
    private static final int WORK_MS = 6000;
    private static final int THREADS = 3;
    private static final int PATIENCE_MS = 25_000;
    /** Dashboards ask together, and again after this time. */
    private static final int WAVE_MS = 14_000;

    private static final int WAVES = 3;
    /** How long before a wave the zone is cut off, and for how long. */
    private static final int CUT_BEFORE_MS = 20;

    private static final int CUT_MS = 6_000;
    /** Every time limit of the rules is longer by 50 ms. */
    private static final long SLACK_NS = 50_000_000;

    private record Out(String engine, long beganNs, long[] endedNs, String[] how) {}

    public static void main(String[] arguments) throws Exception {
        Play play = new Play(Path.of(arguments[0]), 115);
        Map<String, List<Out>> attempts = new HashMap<>();
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
        Play.Feed feed = play.new Feed();
        List<Cut> ways = new ArrayList<>();
        for (int i = 0; i < ENGINES; i++) {
            Play.Engine engine = play.new Engine("e" + i, watcher, query -> "a\tb\tc\n");
            ways.add(new Cut(engine.port()));
            feed.list(engine.id, ways.get(i).port(), "hall-" + "abc".charAt(i % ZONES));
        }
        int port = Play.freePort();
        Play.Gateway gateway =
                play.new Gateway("n0", port, Play.config("n0", 0, 1, port, feed, Play.CLASSES, false), null);
        gateway.awaitReady();
        for (int wave = 0; wave < WAVES; wave++) {
            boolean isCut = play.trouble && wave > 0;
            List<Cut> zone = new ArrayList<>();
            for (int i = wave; i < ENGINES; i += ZONES) {
                zone.add(ways.get(i));
            }
            String name = "hall-" + "abc".charAt(wave);
            if (isCut) {
                play.line(name + " is partitioned");
                Cut.cut(zone);
            }
            Play.sleep(CUT_BEFORE_MS);
            for (int i = 0; i < DASHBOARDS; i++) {
                Play.daemon(() -> ask(play, port));
            }
            Play.sleep(CUT_MS - CUT_BEFORE_MS);
            if (isCut) {
                play.line(name + " is back");
                zone.forEach(Cut::heal);
            }
            Play.sleep(WAVE_MS - CUT_MS);
        }
        if (!gateway.process.isAlive()) {
            play.finish("the gateway has ended");
        }
        String broken = null;
        int doubled = 0;
        synchronized (play) {
            for (var request : attempts.entrySet()) {
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
        String result = attempts.size() + " requests reached an engine, " + doubled + " times two attempts at once";
        play.line(result);
        System.out.println(result);
        play.finish(broken);
    }

    private static void ask(Play play, int port) {
        String trace = Play.trace();
        try (Play.Session session = new Play.Session(port)) {
            String sql = "SELECT day FROM sales_17.orders WHERE tag = 'work=" + WORK_MS + "'";
            Play.Answer answer =
                    session.query(Play.statement("report", trace, PATIENCE_MS, WORK_MS * THREADS, sql), PATIENCE_MS + 1000);
            play.line("client of " + trace + " got " + answer.code() + " " + answer.text());
        } catch (java.io.IOException e) {
            play.line("client of " + trace + " was not let in: " + e);
        }
    }
}
