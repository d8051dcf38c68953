import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A fleet of two gateways: n0 in hall-a, whose uplink leads to the engines and to n1 in hall-b. n0 stores answers to
 * reports for the time in which its hall is cut off. The engines share their tables.
 */
final class Outage {
    private static final int ENGINES = 3;
    private static final int LOOKUP_CLIENTS = 6;
    private static final int PATIENCE_MS = 5_000;
    private static final Play.Fate SOUND = new Play.Fate() {
        @Override
        public int resetAfterMs(byte[] call) {
            return -1;
        }

        @Override
        public boolean isRead(byte[] call) {
            return true;
        }
    };

    final Play play;
    /** The number of loads that have run. */
    final AtomicInteger version = new AtomicInteger();

    private final boolean engineDies;
    private final List<Play.Engine> engines = new ArrayList<>();
    private final List<Play.Way> ways = new ArrayList<>();
    private final List<Play.Way> uplinks = new ArrayList<>();
    private final Play.Gateway gateway;
    private double loadedMs = -1;
    private String note = "";

    /** Starts the engines and both gateways; {@code engineDies} after it ran a load and before it answers. */
    Outage(Play play, boolean engineDies) throws IOException {
        this.play = play;
        this.engineDies = engineDies;
        Play.Feed feed = play.new Feed();
        for (int i = 0; i < ENGINES; i++) {
            Play.Engine engine = play.new Engine("e" + i, new Loads(), this::rows);
            engines.add(engine);
            ways.add(play.new Way(engine.port(), SOUND));
            feed.list(engine.id, ways.get(i).port(), "hall-b");
        }
        int[] ports = {Play.freePort(), Play.freePort()};
        int[] links = {Play.freePort(), Play.freePort()};
        uplinks.add(play.new Way(links[0], SOUND));
        uplinks.add(play.new Way(links[1], SOUND));
        Play.Gateway[] gateways = new Play.Gateway[2];
        for (int i = 1; i >= 0; i--) {
            Path operator = Files.writeString(
                    play.temporary.resolve("n" + i + ".operator.json"), operatorFile(i, links));
            if (i == 1) {
                Play.command("fleet", "format", "--operator", operator.toString(), "--name", "n1");
            }
            String config = Play.config("n" + i, i, 2, ports[i], feed, Play.CLASSES, true)
                    .replace("\"zone\": 0", "\"zone\": " + i);
            gateways[i] = play.new Gateway("n" + i, ports[i], config, operator);
        }
        gateway = gateways[0];
        gateways[0].awaitReady();
        gateways[1].awaitReady();
        for (int i = 0; i < LOOKUP_CLIENTS; i++) {
            int number = i;
            Play.daemon(() -> lookups(number));
        }
        await("link to n1 .* is up", 20_000);
        Play.sleep(8_000);
    }

    private String operatorFile(int i, int[] links) {
        return """
                {"storm": {"enabled": true},
                 "fleet": {"enabled": true, "cluster": "shop", "listen": "127.0.0.1:%d", %s
                  "founders": ["n1"], "routes": {"n%d": "127.0.0.1:%d"},
                  "content": {"max_age_ms": {"report": 3600000}},
                  "agreed": {"version": 1, "limits": [],
                   "members": [{"name": "n0", "hall": "hall-a", "address": "127.0.0.1:%d"},
                               {"name": "n1", "hall": "hall-b", "address": "127.0.0.1:%d"}]}}}
                """
                .formatted(
                        links[i],
                        i == 1 ? "\"directory\": \"" + play.temporary.resolve("n1.disk") + "\"," : "",
                        1 - i,
                        uplinks.get(1 - i).port(),
                        links[0],
                        links[1]);
    }

    private String rows(Play.Query query) {
        return query.route.equals("load")
                ? "ok\t1\t-\n"
                : query.route.equals("report") ? "2026-12-05\t1\tversion " + version.get() + "\n" : "a\tb\tc\n";
    }

    private final class Loads implements Play.Watcher {
        @Override
        public void began(Play.Engine engine, Play.Query query) {
            if (!query.route.equals("lookup")) {
                play.line(engine.id + " begins " + query.id + " " + query.statement);
            }
        }

        @Override
        public void ended(Play.Engine engine, Play.Query query, String how) {
            if (query.route.equals("load") && how.equals("ended")) {
                loadedMs = play.ms();
                play.line(engine.id + " has run the load: the tables are at version " + version.incrementAndGet());
                if (engineDies) {
                    play.line(engine.id + " dies before its answer is written");
                    ways.get(engines.indexOf(engine)).cut();
                    engine.die();
                }
            }
        }
    }

    /** Asks the gateway of the hall, and for the note on the answer. */
    Play.Answer ask(String route, String sql) {
        String trace = Play.trace();
        try (Play.Session session = new Play.Session(gateway.port)) {
            Play.Answer answer = session.query(Play.statement(route, trace, PATIENCE_MS, 100, sql), PATIENCE_MS + 1000);
            note = String.join(" ", session.query("SHOW WARNINGS", PATIENCE_MS).rows());
            play.line("client of " + trace + " (" + route + ") got " + answer + " note '" + note + "'");
            return answer;
        } catch (IOException e) {
            play.line("client of " + trace + ": " + e);
            return new Play.Answer(-1, e.toString(), List.of(), 0);
        }
    }

    /** The uplink is lost; returns once the gateway has found that out. */
    void cutUplink() {
        play.line("hall-a loses its uplink");
        ways.forEach(Play.Way::cut);
        uplinks.forEach(Play.Way::cut);
        await("-> ISOLATED", 45_000);
        Play.sleep(1_000);
    }

    /**
     * Asks again for what was asked before the load. Returns what was wrong with the answer: it is of before the load,
     * and the gateway does not say that a change as old as the load may be missing. Null if nothing was.
     */
    String askAgain(String sql) {
        Play.Answer again = ask("report", sql);
        double sinceLoadS = (play.ms() - loadedMs) / 1000;
        play.line("the load ended %.1f s ago".formatted(sinceLoadS));
        if (!again.isServed() || !again.rows().toString().contains("version 0")) {
            return null;
        }
        Matcher unknown = Pattern.compile("changes of the last (\\d+) s are not known").matcher(note);
        boolean isTold = unknown.find() && Integer.parseInt(unknown.group(1)) + 1 >= sinceLoadS;
        return isTold
                ? null
                : "rows of before the load were served %.1f s after it had run, with the note '%s'".formatted(sinceLoadS, note);
    }

    /** Ends the case unless an answer of before the load was served, and the load has run. */
    void checkBegun(Play.Answer first) {
        if (!first.isServed() || !first.rows().toString().contains("version 0") || loadedMs < 0) {
            play.line("the play could not begin");
            play.finish(2);
        }
    }

    /** Other clients' lookups, from another group of tables. */
    private void lookups(int number) {
        while (true) {
            try (Play.Session session = new Play.Session(gateway.port)) {
                String sql = "SELECT a FROM sales_5.t WHERE tag = 'work=20' AND n = " + number;
                session.query(Play.statement("lookup", Play.trace(), 1500, 20, sql), 3000);
            } catch (IOException e) {
                // asks again
            }
            Play.sleep(100);
        }
    }

    private void await(String line, int maxMs) {
        double until = play.ms() + maxMs;
        while (!Pattern.compile(line).matcher(gateway.log()).find()) {
            if (play.ms() > until) {
                play.line("the gateway did not log '" + line + "':\n" + gateway.log());
                play.finish(2);
            }
            Play.sleep(100);
        }
        play.line("the gateway logged '" + line + "'");
    }
}
