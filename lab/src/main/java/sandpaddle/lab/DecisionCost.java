package sandpaddle.lab;

import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import sandpaddle.config.GatewayConfig;
import sandpaddle.config.InvalidFieldException;
import sandpaddle.config.JsonObject;
import sandpaddle.decision.DefaultDecisionModule;
import sandpaddle.decision.Micros;
import sandpaddle.decision.action.Action;
import sandpaddle.decision.action.ScheduleTimer;
import sandpaddle.decision.action.SendAttempt;
import sandpaddle.decision.event.AttemptEnded;
import sandpaddle.decision.event.AttemptResult;
import sandpaddle.decision.event.ClientDisconnected;
import sandpaddle.decision.event.EngineEntry;
import sandpaddle.decision.event.EngineListKind;
import sandpaddle.decision.event.EngineListReceived;
import sandpaddle.decision.event.EngineStatus;
import sandpaddle.decision.event.Event;
import sandpaddle.decision.event.RequestReceived;
import sandpaddle.decision.event.TimerFired;

/**
 * Measures the CPU time of one request in the decision module: the event that submits it, its answer, and its share of
 * the periodic sweeps. Drives the module with a simulated clock. Engines stay full while requests are queued, since
 * each has just rejected an attempt.
 */
public final class DecisionCost {
    private static final long REQUEST_INTERVAL_US = 2_000; // simulated time between two requests: 500 per second
    private static final int GATEWAYS = 14;
    private static final int MAX_IN_FLIGHT = 20; // attempts in flight at one time

    private final DefaultDecisionModule module;
    private final ArrayDeque<SendAttempt> sent = new ArrayDeque<>();
    private final Consumer<Action> actions = this::execute;
    private final boolean enginesFull;
    private long nowUs = Micros.of(Instant.parse("2026-01-01T00:00:00Z"));
    private long nextTimerUs = Long.MAX_VALUE;
    private int requestCount;

    /**
     * Creates a decision module.
     *
     * @param engines number of listed engines
     * @param held number of queued requests; if positive, all engines are full
     */
    public DecisionCost(int engines, int held) throws IOException, InvalidFieldException {
        String text = LabDeployment.config(
                "n0",
                0,
                GATEWAYS,
                1,
                new InetSocketAddress(Loopback.HOST, 1),
                "{\"n\":0,\"events\":[]}",
                1,
                EngineModel.Spec.standard());
        GatewayConfig c = GatewayConfig.parse(JsonObject.parse(text.getBytes(StandardCharsets.UTF_8), ""));
        module = new DefaultDecisionModule(c.decisionSettings(), c.seed());
        List<EngineEntry> list = new ArrayList<>();
        for (int i = 0; i < engines; i++) {
            list.add(new EngineEntry("e" + i, i % 3, 0, 0, EngineStatus.UP, 1, 0));
        }
        handle(new EngineListReceived(EngineListKind.FULL, list));
        enginesFull = held > 0;
        if (enginesFull) {
            fillEngines(engines);
            for (int i = 0; i < held; i++) {
                submit(Duration.ofHours(1));
            }
        }
    }

    /** Sends a query to every engine, each of which rejects it because its queue is full. */
    private void fillEngines(int engines) {
        for (int i = 0; i < engines; i++) {
            submit(Duration.ofSeconds(5));
        }
        while (!sent.isEmpty()) {
            SendAttempt attempt = sent.poll();
            handle(outcome(attempt, AttemptResult.QUEUE_FULL));
            handle(new ClientDisconnected(attempt.id()));
        }
    }

    private static AttemptEnded outcome(SendAttempt attempt, AttemptResult result) {
        return new AttemptEnded(
                attempt.id(), 0, attempt.engine(), result, result == AttemptResult.OK, 300_000, 0, 0, new double[] {
                    0.6, 0, 0.4
                });
    }

    private String submit(Duration timeout) {
        String id = "r" + requestCount++;
        handle(new RequestReceived(
                id, requestCount % 6 == 0 ? 1 : 0, null, Micros.of(timeout), 300_000, 64, requestCount % 16, false));
        return id;
    }

    private void handle(Event event) {
        module.handle(nowUs, event, actions);
    }

    private void execute(Action action) {
        if (action instanceof SendAttempt attempt) {
            sent.add(attempt);
        } else if (action instanceof ScheduleTimer t) {
            nextTimerUs = t.atUs();
        }
    }

    /**
     * Returns the CPU time of this thread for one request, in microseconds. With queued requests the simulated clock
     * does not advance, so that they stay queued.
     */
    public double microsPerRequest(int requests) {
        ThreadMXBean cpu = ManagementFactory.getThreadMXBean();
        long from = cpu.getCurrentThreadCpuTime();
        for (int i = 0; i < requests; i++) {
            String id = submit(Duration.ofSeconds(5));
            if (enginesFull) {
                handle(new ClientDisconnected(id));
            } else {
                nowUs += REQUEST_INTERVAL_US;
                if (sent.size() > MAX_IN_FLIGHT) {
                    handle(outcome(sent.poll(), AttemptResult.OK));
                }
                if (nowUs >= nextTimerUs) {
                    handle(new TimerFired("sweep"));
                }
            }
        }
        return (cpu.getCurrentThreadCpuTime() - from) / 1000.0 / requests;
    }
}
