package sandpaddle.lab;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.function.Consumer;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import sandpaddle.config.Config;
import sandpaddle.config.FieldException;
import sandpaddle.config.Json;
import sandpaddle.decide.Decide;
import sandpaddle.decide.Gateway;
import sandpaddle.decide.Micros;

/**
 * {@code cost}: what one request costs the decision module, by engines listed and requests held. The clock of the
 * module is the command's own; processor time is the median of some rounds in one process, to be read as a ratio.
 */
@Command(name = "cost", mixinStandardHelpOptions = true,
        description = "Measures what a request costs the decision module, by engines listed and requests held: the "
                + "event that takes it, its answer, and its part of the sweeps.",
        footerHeading = "%nExamples:%n", footer = {"  cost", "  cost --engines 30,60,1000 --held 0,1000"})
final class CostCommand implements Callable<Integer> {
    private static final int ROUNDS = 7; // the first two warm up
    private static final int WARMING = 2;
    private static final long STEP_US = 2_000; // of the module's clock between two requests: 500 a second
    private static final int GATEWAYS = 14;

    @Option(names = "--engines", split = ",", defaultValue = "8,30,60,200,1000", paramLabel = "N",
            description = "Engines listed (${DEFAULT-VALUE}).")
    private List<Integer> engines;

    @Option(names = "--held", split = ",", defaultValue = "0,100,1000", paramLabel = "N",
            description = "Requests held meanwhile (${DEFAULT-VALUE}).")
    private List<Integer> held;

    @Option(names = "--requests", defaultValue = "2000", paramLabel = "N",
            description = "Requests of each round (${DEFAULT-VALUE}).")
    private int requests;

    @Override
    public Integer call() throws IOException, FieldException {
        System.out.printf("%8s %8s %12s %8s%n", "engines", "held", "us a request", "ratio");
        double first = Double.NaN;
        for (int h : held) {
            for (int e : engines) {
                double[] rounds = new double[ROUNDS];
                for (int i = 0; i < ROUNDS; i++) {
                    rounds[i] = new Round(e, h).run(requests);
                }
                double[] warm = Arrays.copyOfRange(rounds, WARMING, ROUNDS);
                Arrays.sort(warm);
                double median = warm[warm.length / 2];
                first = Double.isNaN(first) ? median : first;
                System.out.printf("%8d %8d %12.1f %8.1f%n", e, h, median, median / first);
            }
        }
        return 0;
    }

    /** One module with its engines; those that hold stay held, since every engine has just said that it is full. */
    private static final class Round {
        private final Decide module;
        private final ArrayDeque<Gateway.Send> out = new ArrayDeque<>();
        private final Consumer<Gateway.Action> actions = this::carryOut;
        private final boolean jam;
        private long now = Micros.of(java.time.Instant.parse("2026-01-01T00:00:00Z"));
        private long timer = Long.MAX_VALUE;
        private int ids;

        Round(int engines, int held) throws IOException, FieldException {
            String text = Site.config("n0", 0, GATEWAYS, 1, new InetSocketAddress(Loopback.HOST, 1),
                    "{\"n\":0,\"events\":[]}", 1, EngineModel.Spec.usual());
            Config c = Config.read(Json.object(text.getBytes(StandardCharsets.UTF_8), ""));
            module = new Decide(c.settings(), c.seed());
            List<Gateway.EngineEntry> list = new ArrayList<>();
            for (int i = 0; i < engines; i++) {
                list.add(new Gateway.EngineEntry("e" + i, i % 3, 0, 0, Gateway.Status.UP, 1, 0));
            }
            on(new Gateway.EngineList(Gateway.ListKind.FULL, list));
            jam = held > 0;
            if (jam) {
                fill(engines);
                for (int i = 0; i < held; i++) {
                    take(Duration.ofHours(1));
                }
            }
        }

        /** Every engine gets a query and says that it is full. */
        private void fill(int engines) {
            for (int i = 0; i < engines; i++) {
                take(Duration.ofSeconds(5));
            }
            while (!out.isEmpty()) {
                Gateway.Send s = out.poll();
                on(outcome(s, Gateway.Result.FULL));
                on(new Gateway.ClientLeft(s.id()));
            }
        }

        private static Gateway.Outcome outcome(Gateway.Send s, Gateway.Result result) {
            return new Gateway.Outcome(s.id(), 0, s.engine(), result, result == Gateway.Result.OK, 300_000, 0, 0,
                    new double[] {0.6, 0, 0.4});
        }

        private String take(Duration patience) {
            String id = "r" + ids++;
            on(new Gateway.Request(id, ids % 6 == 0 ? 1 : 0, null, Micros.of(patience), 300_000, 64, ids % 16, false));
            return id;
        }

        private void on(Gateway.Event e) {
            module.on(now, e, actions);
        }

        private void carryOut(Gateway.Action a) {
            if (a instanceof Gateway.Send s) {
                out.add(s);
            } else if (a instanceof Gateway.SetTimer t) {
                timer = t.atUs();
            }
        }

        /** Processor time of this thread for one request (us). In a jam time stands still, so that it lasts. */
        double run(int requests) {
            java.lang.management.ThreadMXBean cpu = java.lang.management.ManagementFactory.getThreadMXBean();
            long from = cpu.getCurrentThreadCpuTime();
            for (int i = 0; i < requests; i++) {
                String id = take(Duration.ofSeconds(5));
                if (jam) {
                    on(new Gateway.ClientLeft(id));
                } else {
                    now += STEP_US;
                    if (out.size() > 20) {
                        on(outcome(out.poll(), Gateway.Result.OK));
                    }
                    if (now >= timer) {
                        on(new Gateway.Timer("sweep"));
                    }
                }
            }
            return (cpu.getCurrentThreadCpuTime() - from) / 1000.0 / requests;
        }
    }
}
