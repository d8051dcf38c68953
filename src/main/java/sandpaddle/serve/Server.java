package sandpaddle.serve;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Clock;
import java.time.Duration;
import java.util.List;
import org.tinylog.Logger;
import sandpaddle.config.Config;
import sandpaddle.decide.Decide;
import sandpaddle.feed.Feed;
import sandpaddle.http.Engines;
import sandpaddle.mysql.MysqlFrontend;
import sandpaddle.net.Loop;

/** One gateway: all parts put together, its start and its planned end. */
public final class Server {
    /** After the request to end, connections still arrive for 0.4 s and requests for 0.2 s more. */
    private static final Duration GRACE = Duration.ofMillis(700);
    /** The kill comes no earlier than 3.7 s after the request to end; by then every answer must be out. */
    private static final Duration LAST_ANSWERS = Duration.ofMillis(3100);
    private static final Duration EXIT = Duration.ofMillis(3400);
    private static final int CLIENTS_PART = 3; // clients hold at most this part of the descriptors
    private static final int OTHER_DESCRIPTORS = 80; // the JVM's files, the selector, the feed, connections ending

    private static final int ENDING_CLIENTS = 24; // those that are closing still count for a moment

    private final Loop loop;
    private final Engines engines;
    private final Dispatcher dispatcher;
    private final List<Frontend> frontends;
    private volatile boolean endAsked, aborted;
    private boolean ending, graceOver;

    public Server(Config config, Clock clock) throws IOException {
        loop = new Loop(clock);
        int forClients = config.sockets() / CLIENTS_PART;
        int forEngines = config.sockets() - forClients - OTHER_DESCRIPTORS;
        engines = new Engines(loop, config.connectTimeout(), config.engineIdle(), Math.max(1, forEngines));
        dispatcher = new Dispatcher(loop, new Decide(config.settings(), config.seed()), config.settings(),
                config.names(), engines);
        config.known().forEach(dispatcher::listed);
        new Feed(loop, config.feed(), config.names(), config.knownNumber(), dispatcher::listed).start();
        frontends = List.of(new MysqlFrontend(loop, config.listen(), dispatcher, forClients + ENDING_CLIENTS,
                config.seed()));
        Logger.info("{} listens on {}", config.name(), address());
    }

    /** Runs until the end that was asked for. */
    public void run() throws IOException {
        loop.run(this::endOfTurn);
    }

    public InetSocketAddress address() throws IOException {
        return frontends.get(0).address();
    }

    private void endOfTurn() {
        if (aborted) {
            frontends.forEach(Frontend::stopListening);
            loop.stop();
        }
        dispatcher.handOn();
        if (endAsked && !ending) {
            ending = true;
            Logger.info("asked to end");
            loop.after(GRACE, () -> {
                graceOver = true;
                frontends.forEach(Frontend::stopListening);
            });
            loop.after(LAST_ANSWERS, dispatcher::endAll);
            loop.after(EXIT, loop::stop);
        }
        if (graceOver) {
            frontends.forEach(Frontend::closeIdle);
            if (dispatcher.isIdle() && frontends.stream().allMatch(Frontend::isIdle) && engines.isIdle()) {
                loop.stop();
            }
        }
    }

    /** From any thread: end at once, whatever is open. */
    public void abort() {
        aborted = true;
        loop.wakeUp();
    }

    /** From any thread: take requests for the grace, answer all, then end. */
    public void end() {
        endAsked = true;
        loop.wakeUp();
    }
}
