package sandpaddle.lab;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import sandpaddle.eventloop.EventLoop;
import sandpaddle.eventloop.MonotonicTimeSource;

/**
 * The {@code try} command: runs stand-in engines, a control feed and one gateway in the foreground, for a first look.
 */
@Command(
        name = "try",
        mixinStandardHelpOptions = true,
        description = "Starts stand-in engines, a control feed and a gateway on loopback, prints a client command to "
                + "paste, "
                + "and ends everything on Ctrl-C.")
final class TryCommand implements Callable<Integer> {
    private static final int ENGINES = 3;

    @Option(names = "--port", defaultValue = "3307", description = "Port of the gateway (${DEFAULT-VALUE}).")
    private int port;

    @Option(
            names = "--gateway",
            paramLabel = "JAR",
            defaultValue = "gateway/target/sandpaddle.jar",
            description = "The gateway's jar (${DEFAULT-VALUE}).")
    private Path jar;

    @Option(
            names = "--operator",
            paramLabel = "FILE",
            defaultValue = "deploy/sandpaddle.json",
            description = "The operator's file (${DEFAULT-VALUE}).")
    private Path operator;

    @Option(
            names = "--for",
            paramLabel = "10s",
            converter = RetryStormCommand.Seconds.class,
            description = "Ends after this time.")
    private Duration max;

    @Override
    public Integer call() throws IOException {
        Path folder = Files.createTempDirectory("sandpaddle-try");
        EventLoop loop = new EventLoop(MonotonicTimeSource.startingAt(Instant.now()));
        List<StandInEngine> engines = new ArrayList<>();
        GatewayProcess[] gateway = new GatewayProcess[1];
        AtomicBoolean ended = new AtomicBoolean();
        CountDownLatch cleanedUp = new CountDownLatch(1);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            ended.set(true);
            loop.wakeup();
            awaitCleanup(cleanedUp);
        }));
        try {
            Events events = new Events(null);
            StandInFeed feed = new StandInFeed(loop, events, new ClientStatistics());
            for (int i = 0; i < ENGINES; i++) {
                StandInEngine e = new StandInEngine(
                        loop,
                        events,
                        new ClientStatistics(),
                        "engine-" + i,
                        0,
                        EngineModel.Spec.standard(),
                        0,
                        () -> {});
                engines.add(e);
                feed.publish(
                        0, e.id(), e.address(), LabDeployment.ZONES.get(i % LabDeployment.ZONES.size()), "Ready", 0);
            }
            String config = LabDeployment.config(
                    "n0", 0, 1, port, feed.address(), feed.snapshotJson(), 1, EngineModel.Spec.standard());
            gateway[0] = GatewayProcess.start(
                    jar,
                    folder,
                    "n0",
                    port,
                    config.replace("\"listen\":\"" + Loopback.HOST, "\"listen\":\"127.0.0.1"),
                    Files.exists(operator) ? operator : null,
                    true);
            gateway[0].awaitUp("127.0.0.1");
            System.out.print(instructions());
            long until = max == null ? Long.MAX_VALUE : System.nanoTime() + max.toNanos();
            while (!ended.get() && gateway[0].isAlive() && System.nanoTime() < until) {
                loop.runTurn(() -> {}, Duration.ofMillis(100));
            }
        } finally {
            if (gateway[0] != null) {
                gateway[0].end();
            }
            engines.forEach(e -> e.kill("stopped"));
            RetryStormCommand.remove(folder);
            cleanedUp.countDown();
        }
        return 0;
    }

    private static void awaitCleanup(CountDownLatch cleanedUp) {
        try {
            cleanedUp.await(10, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private String instructions() {
        String statement = "SELECT day FROM sales_17.orders WHERE tag = 'work=300000'";
        return String.format(Locale.ROOT, """

                %d stand-in engines and one gateway are up. In another terminal:

                    java -jar lab/target/lab.jar ask --port %d "%s"

                or with any MySQL client:

                    mysql --skip-ssl --comments -h 127.0.0.1 -P %d -u app core -e \\
                        "/* route=lookup,trace=$(printf %%016x $RANDOM$RANDOM),patience=5000 */ %s"

                The work of a query is set in its statement: work=MICROSECONDS. Ctrl-C ends everything.

                """, ENGINES, port, statement, port, statement);
    }
}
