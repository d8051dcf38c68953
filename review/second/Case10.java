import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** Case 10: a gateway of a fleet is stopped; its connections are given to others while they are open at the engines. */
final class Case10 {
    private static final int GATEWAYS = 3;
    private static final int ENGINES = 2;
    private static final int LIMIT = 30;
    private static final int PATIENCE_MS = 25_000;
    private static final int WORK_MS = 400;
    private static final int CLIENTS = 16;
    private static final int WARM_MS = 18_000;
    private static final int STOPPED_MS = 20_000;
    private static final int AFTER_MS = 8_000;
    /** The limit has to be passed for so long without a break before that counts: ends and beginnings may cross. */
    private static final int TOLERATED_MS = 1_000;

    public static void main(String[] arguments) throws Exception {
        Play play = new Play(Path.of(arguments[0]), 110);
        Play.Watcher watcher = new Play.Watcher() {
            @Override
            public void began(Play.Engine engine, Play.Query query) {}

            @Override
            public void ended(Play.Engine engine, Play.Query query, String how) {}
        };
        Play.Feed feed = play.new Feed();
        List<Play.Engine> engines = new ArrayList<>();
        for (int i = 0; i < ENGINES; i++) {
            engines.add(play.new Engine("e" + i, watcher, query -> "a\tb\tc\n"));
            feed.list("e" + i, engines.get(i).port(), "hall-a");
        }
        int[] links = new int[GATEWAYS];
        for (int i = 0; i < GATEWAYS; i++) {
            links[i] = Play.freePort();
        }
        String members = IntStream.range(0, GATEWAYS)
                .mapToObj(i -> "{\"name\": \"n%d\", \"hall\": \"hall-a\", \"address\": \"127.0.0.1:%d\"}".formatted(i, links[i]))
                .collect(Collectors.joining(","));
        List<Play.Gateway> gateways = new ArrayList<>();
        for (int i = 0; i < GATEWAYS; i++) {
            Path operator = Files.writeString(play.temporary.resolve("n" + i + ".operator.json"), """
                    {"storm": {"enabled": true},
                     "fleet": {"enabled": true, "cluster": "shop", "listen": "127.0.0.1:%d", "directory": "%s",
                      "founders": ["n0", "n1", "n2"],
                      "agreed": {"version": 1, "limits": [{"name": "engines", "connections": %d}],
                       "members": [%s]}}}
                    """.formatted(links[i], play.temporary.resolve("n" + i + ".disk"), LIMIT, members));
            Play.command("fleet", "format", "--operator", operator.toString(), "--name", "n" + i);
            int port = Play.freePort();
            gateways.add(play.new Gateway(
                    "n" + i, port, Play.config("n" + i, i, GATEWAYS, port, feed, Play.CLASSES, true), operator));
        }
        gateways.forEach(Play.Gateway::awaitReady);
        for (Play.Gateway gateway : gateways) {
            for (int k = 0; k < CLIENTS; k++) {
                Play.daemon(() -> reports(gateway));
            }
        }
        int[] most = {0};
        double[] longestMs = {0};
        Play.daemon(() -> count(play, engines, most, longestMs));
        Play.sleep(WARM_MS);
        if (play.trouble) {
            gateways.get(0).signal("STOP");
        }
        Play.sleep(STOPPED_MS);
        if (play.trouble) {
            gateways.get(0).signal("CONT");
        }
        Play.sleep(AFTER_MS);
        String result = "at most %d connections were open under a limit of %d, over it for %.0f ms at a time"
                .formatted(most[0], LIMIT, longestMs[0]);
        play.line(result);
        if (most[0] < LIMIT / 2) {
            play.line("the fleet never came near the limit:\n" + gateways.get(1).log());
            play.finish(2);
        }
        play.finish(longestMs[0] > TOLERATED_MS ? result : null);
    }

    /** Counts the connections at the engines every few milliseconds. */
    private static void count(Play play, List<Play.Engine> engines, int[] most, double[] longestMs) {
        double overSinceMs = -1;
        int last = -1;
        while (true) {
            int open = engines.stream().mapToInt(Play.Engine::connections).sum();
            if (open != last && (open > LIMIT || last > LIMIT)) {
                play.line(open + " connections are open at the engines, the limit is " + LIMIT);
            }
            last = open;
            most[0] = Math.max(most[0], open);
            overSinceMs = open <= LIMIT ? -1 : overSinceMs < 0 ? play.ms() : overSinceMs;
            longestMs[0] = overSinceMs < 0 ? longestMs[0] : Math.max(longestMs[0], play.ms() - overSinceMs);
            Play.sleep(5);
        }
    }

    /** One client's reports, each as soon as it has the answer to the one before. */
    private static void reports(Play.Gateway gateway) {
        while (true) {
            try (Play.Session session = new Play.Session(gateway.port)) {
                Play.Answer answer;
                do {
                    String sql = "SELECT a FROM sales_17.t WHERE tag = 'work=" + WORK_MS + "'";
                    answer = session.query(
                            Play.statement("report", Play.trace(), PATIENCE_MS, WORK_MS * 3, sql), PATIENCE_MS + 1000);
                    if (answer.code() == 1203) {
                        Play.sleep(200);
                    }
                } while (answer.code() >= 0);
            } catch (java.io.IOException e) {
                Play.sleep(100);
            }
        }
    }
}
