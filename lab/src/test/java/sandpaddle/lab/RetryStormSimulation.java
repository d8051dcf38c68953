package sandpaddle.lab;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import sandpaddle.config.EndpointListEvent;
import sandpaddle.config.GatewayConfig;
import sandpaddle.config.InvalidFieldException;
import sandpaddle.config.JsonObject;
import sandpaddle.decision.DefaultDecisionModule;
import sandpaddle.decision.Micros;
import sandpaddle.decision.event.EngineEntry;
import sandpaddle.decision.event.EngineStatus;
import sandpaddle.dispatch.Dispatcher;
import sandpaddle.eventloop.TimerQueue;
import sandpaddle.overload.OverloadSettings;
import sandpaddle.query.Answer;
import sandpaddle.query.AttemptEnd;
import sandpaddle.query.AttemptSpec;
import sandpaddle.query.EngineClient;
import sandpaddle.query.HealthCheckResult;
import sandpaddle.query.Query;
import sandpaddle.query.ResultSet;

/**
 * Simulates gateways, engines and clients in virtual time: the production dispatcher, decision module and overload
 * controller, with engines of {@link EngineModel}, without sockets. Counts violations of the rules.
 */
final class RetryStormSimulation {
    private static final Duration NETWORK_DELAY = Duration.ofMillis(1);
    private static final Duration STEP = Duration.ofMillis(5);
    private static final Duration PROGRESS_INTERVAL = Duration.ofMillis(500);
    private static final long DRAIN_GRACE_US = 250_000;
    private static final ResultSet RESULT = new ResultSet(List.of("a\tb\tc\n".getBytes(StandardCharsets.US_ASCII)));

    /**
     * Client behavior.
     *
     * @param retries after the first attempt
     * @param honoursRetryAfter share of clients that honour Retry-After
     */
    record ClientBehavior(int retries, Duration backoff, double honoursRetryAfter) {}

    final VirtualScheduler scheduler = new VirtualScheduler();
    final List<VirtualGateway> gateways = new ArrayList<>();
    final Map<String, Engine> engines = new LinkedHashMap<>();
    // by second: priority weight demanded, and earned in time
    final Map<Long, double[]> weightBySecond = new java.util.TreeMap<>();
    final Map<String, Integer> answers = new java.util.TreeMap<>();
    private final Map<String, Integer> loadRuns = new HashMap<>();
    private final Map<String, Long> drainingSince = new HashMap<>();
    private final SplittableRandom random;
    private final ClientBehavior behavior;
    private final OverloadSettings overloadSettings;
    private final EngineModel.Spec spec = EngineModel.Spec.standard();
    private final int gatewayCount;
    private int startedEngines, requestCount, openRequests;
    private boolean generating;
    long duplicateAnswers, unansweredInTime, coldCrashes, drainViolations, attempts;
    Runnable onCrash = () -> {};

    RetryStormSimulation(long seed, ClientBehavior behavior, boolean damping, int gatewayCount, int engineCount) {
        random = new SplittableRandom(seed);
        this.behavior = behavior;
        this.gatewayCount = gatewayCount;
        overloadSettings = OverloadSettings.OFF.withEnabled(damping);
        for (int i = 0; i < engineCount; i++) {
            start(0);
        }
        for (int i = 0; i < gatewayCount; i++) {
            gateways.add(new VirtualGateway(i));
        }
        scheduler.atTurnEnd(() -> gateways.forEach(g -> g.dispatcher.processEvents()));
        step();
    }

    long nowUs() {
        return Micros.of(scheduler.now());
    }

    private void step() {
        List.copyOf(engines.values()).forEach(Engine::step);
        scheduler.scheduleAfter(STEP, this::step);
    }

    long loadsRunTwice() {
        return loadRuns.values().stream().filter(n -> n > 1).count();
    }

    int openRequests() {
        return openRequests;
    }

    /** Share of the priority weight demanded in a range of seconds before now that has been earned in time. */
    double servedWeightShare(int from, int until) {
        long second = scheduler.now().getEpochSecond();
        double demanded = 0;
        double earned = 0;
        for (long s = second - from; s < second - until; s++) {
            double[] totals = weightBySecond.getOrDefault(s, new double[2]);
            demanded += totals[0];
            earned += totals[1];
        }
        return demanded == 0 ? 0 : earned / demanded;
    }

    // ---- Engines

    /**
     * Starts an engine without publishing it; see {@link #publish}.
     *
     * @param startedUs 0 for a warm engine
     */
    Engine start(long startedUs) {
        Engine engine = new Engine("e" + startedEngines++, startedUs);
        engines.put(engine.id, engine);
        return engine;
    }

    /** Publishes the state of an engine to all gateways. */
    void publish(Engine engine, EngineStatus status) {
        if (status != EngineStatus.UP) {
            drainingSince.putIfAbsent(engine.id, nowUs());
        }
        EndpointListEvent event = new EndpointListEvent(0, false, List.of(engineEntry(engine, status)), List.of());
        gateways.forEach(g -> g.dispatcher.endpointListReceived(event));
    }

    private EndpointListEvent.ListedEngine engineEntry(Engine engine, EngineStatus status) {
        return new EndpointListEvent.ListedEngine(
                new EngineEntry(engine.id, 0, 0, 0, status, 1, engine.startedUs),
                new InetSocketAddress("127.0.0.1", 1));
    }

    final class Engine {
        final String id;
        private final long startedUs;
        private final EngineModel model;
        private final Map<String, EngineAttempt> running = new HashMap<>();
        boolean stopped;

        Engine(String id, long startedUs) {
            this.id = id;
            this.startedUs = startedUs;
            model = new EngineModel(spec, startedUs, nowUs());
        }

        void kill() {
            stopped = true;
            engines.remove(id);
            List.copyOf(running.values())
                    .forEach(attempt -> scheduler.scheduleAfter(
                            NETWORK_DELAY, () -> attempt.end(new AttemptEnd.ConnectionLost("killed"))));
            running.clear();
        }

        private String stats() {
            return String.format(Locale.ROOT, "utilization:%.2f;backlog:0;x0:0.5", model.utilization(nowUs()));
        }

        private void step() {
            for (String done : model.advance(nowUs())) {
                EngineAttempt attempt = running.remove(done);
                String stats = stats();
                scheduler.scheduleAfter(NETWORK_DELAY, () -> attempt.end(new AttemptEnd.Completed(RESULT, stats)));
            }
        }

        private void begin(EngineAttempt attempt) {
            if (stopped) {
                attempt.end(new AttemptEnd.NotConnected("refused"));
                return;
            }
            String[] words = new String(attempt.spec.query().statement(), StandardCharsets.US_ASCII).split(" ");
            LabDeployment.RequestClass requestClass =
                    requestClassOf(attempt.spec.query().route());
            Long announcedUs = drainingSince.get(id);
            drainViolations += announcedUs != null && nowUs() > announcedUs + DRAIN_GRACE_US ? 1 : 0;
            if (!model.begin(
                    nowUs(),
                    attempt.spec.traceId(),
                    Long.parseLong(words[1]),
                    requestClass.threads(),
                    requestClass.cpuFraction(),
                    attempt.spec.priority())) {
                attempt.end(new AttemptEnd.Rejected(stats()));
                return;
            }
            if (!requestClass.repeatable()) {
                loadRuns.merge(words[0], 1, Integer::sum);
            }
            running.put(attempt.spec.traceId(), attempt);
            attempt.reportProgress();
            if (model.hasCrashed()) {
                coldCrashes++;
                kill();
                onCrash.run();
            }
        }
    }

    private static LabDeployment.RequestClass requestClassOf(String name) {
        return LabDeployment.REQUEST_CLASSES.stream()
                .filter(k -> k.name().equals(name))
                .findFirst()
                .orElseThrow();
    }

    /** An attempt in flight. */
    private final class EngineAttempt implements EngineClient.AttemptHandle {
        private final Engine engine;
        private final AttemptSpec spec;
        private final EngineClient.AttemptListener listener;
        private final TimerQueue.Timer timeout;
        private boolean ended;

        EngineAttempt(Engine engine, AttemptSpec spec, EngineClient.AttemptListener listener) {
            this.engine = engine;
            this.spec = spec;
            this.listener = listener;
            timeout = scheduler.schedule(spec.deadline(), () -> abort(new AttemptEnd.TimedOut()));
        }

        private void reportProgress() {
            scheduler.scheduleAfter(PROGRESS_INTERVAL, () -> {
                if (!ended && engine.running.containsKey(spec.traceId())) {
                    listener.onProgress("frac", engine.model.completedFraction(spec.traceId()));
                    reportProgress();
                }
            });
        }

        private void end(AttemptEnd how) {
            if (!ended) {
                ended = true;
                timeout.cancel();
                listener.onEnd(how);
            }
        }

        private void abort(AttemptEnd as) {
            engine.model.cancel(spec.traceId());
            engine.running.remove(spec.traceId());
            scheduler.scheduleAfter(NETWORK_DELAY, () -> end(as));
        }

        @Override
        public void cancel(boolean requestOver) {
            abort(new AttemptEnd.Cancelled());
        }

        @Override
        public void setPriority(int priority) {
            engine.model.setPriority(spec.traceId(), priority);
        }
    }

    // ---- Gateways

    /** A gateway and its client for engines. */
    final class VirtualGateway implements EngineClient {
        private final int index;
        private final Map<String, Boolean> listed = new HashMap<>();
        private final List<ClientAttempt> inFlight = new ArrayList<>();
        Dispatcher dispatcher;

        VirtualGateway(int index) {
            this.index = index;
            restart();
        }

        /** Restarts the gateway without state; its attempts in flight are lost. */
        void restart() {
            List<ClientAttempt> lost = List.copyOf(inFlight);
            inFlight.clear();
            listed.clear();
            GatewayConfig c = config(index);
            dispatcher = new Dispatcher(
                    scheduler,
                    new DefaultDecisionModule(c.decisionSettings(), c.seed() + startedEngines),
                    c.decisionSettings(),
                    c.names(),
                    this,
                    c.seed());
            dispatcher.applySettings(overloadSettings);
            dispatcher.endpointListReceived(new EndpointListEvent(
                    1,
                    true,
                    engines.values().stream()
                            .filter(engine -> !drainingSince.containsKey(engine.id))
                            .map(engine -> engineEntry(engine, EngineStatus.UP))
                            .toList(),
                    List.of()));
            lost.forEach(ClientAttempt::gatewayLost);
        }

        @Override
        public void updateEngine(String id, InetSocketAddress address, Instant startedAt, boolean up, boolean removed) {
            listed.put(id, up);
        }

        @Override
        public void retainEngines(Set<String> ids) {
            listed.keySet().retainAll(ids);
        }

        @Override
        public boolean isAvailable(String id) {
            return listed.getOrDefault(id, false);
        }

        @Override
        public AttemptHandle startAttempt(String engineId, AttemptSpec spec, AttemptListener listener) {
            Engine engine = engines.get(engineId);
            EngineAttempt attempt =
                    new EngineAttempt(engine == null ? stoppedEngine(engineId) : engine, spec, listener);
            scheduler.scheduleAfter(NETWORK_DELAY, () -> attempt.engine.begin(attempt));
            return attempt;
        }

        private Engine stoppedEngine(String id) {
            Engine engine = new Engine(id, 0);
            engine.stopped = true;
            return engine;
        }

        @Override
        public void checkHealth(String engineId, Consumer<HealthCheckResult> callback) {
            Engine engine = engines.get(engineId);
            scheduler.scheduleAfter(
                    NETWORK_DELAY,
                    () -> callback.accept(
                            engine == null
                                    ? new HealthCheckResult(HealthCheckResult.Kind.NOT_CONNECTED, null)
                                    : new HealthCheckResult(HealthCheckResult.Kind.HEALTHY, engine.stats())));
        }

        @Override
        public boolean hasNoPendingCancels() {
            return true;
        }
    }

    private GatewayConfig config(int index) {
        String text = LabDeployment.config(
                "n" + index,
                index,
                gatewayCount,
                1,
                new InetSocketAddress("127.0.0.1", 1),
                "{\"n\":0,\"events\":[]}",
                100 + index,
                spec);
        try {
            return GatewayConfig.parse(JsonObject.parse(text.getBytes(StandardCharsets.UTF_8), ""));
        } catch (IOException | InvalidFieldException e) {
            throw new IllegalStateException(e);
        }
    }

    // ---- Clients

    /**
     * Starts arrivals.
     *
     * @param load demand as a share of the capacity of the engines
     */
    void startRequests(double load) {
        generating = true;
        scheduleNext(load * 8 * spec.cores() * 0.85e6 / LabDeployment.meanCpu());
    }

    void stopRequests() {
        generating = false;
    }

    private void scheduleNext(double perSecond) {
        if (generating) {
            double x = random.nextDouble();
            LabDeployment.RequestClass requestClass = x < 0.78
                    ? LabDeployment.REQUEST_CLASSES.get(0)
                    : x < 0.94 ? LabDeployment.REQUEST_CLASSES.get(1) : LabDeployment.REQUEST_CLASSES.get(2);
            new Request(requestClass).send();
            scheduler.scheduleAfter(
                    Duration.ofNanos((long) (-Math.log(1 - random.nextDouble()) / perSecond * 1e9)),
                    () -> scheduleNext(perSecond));
        }
    }

    private final class Request {
        private final LabDeployment.RequestClass requestClass;
        private final String id = "r" + requestCount++;
        private final long work, firstSentUs = nowUs();
        private final boolean honoursRetryAfter = random.nextDouble() < behavior.honoursRetryAfter;
        private int retriesLeft = behavior.retries;

        Request(LabDeployment.RequestClass requestClass) {
            this.requestClass = requestClass;
            work = LabDeployment.drawWork(requestClass, random);
            openRequests++;
            weightBySecond.computeIfAbsent(scheduler.now().getEpochSecond(), s -> new double[2])[0] +=
                    requestClass.priorityWeight();
        }

        void send() {
            new ClientAttempt(this, gateways.get(Math.floorMod(id.hashCode(), gateways.size()))).begin();
        }

        void retry(Duration retryAfter) {
            if (retriesLeft-- <= 0) {
                openRequests--;
            } else {
                scheduler.scheduleAfter(
                        honoursRetryAfter && !retryAfter.isZero() ? retryAfter : behavior.backoff, this::send);
            }
        }

        void recordServed() {
            long latencyUs = nowUs() - firstSentUs;
            weightBySecond.get(firstSentUs / 1_000_000)[1] += latencyUs
                            <= LabDeployment.latencyObjectiveUs(requestClass, work)
                    ? requestClass.priorityWeight()
                    : 0;
            openRequests--;
        }
    }

    private final class ClientAttempt {
        private final Request request;
        private final VirtualGateway gateway;
        private final Duration timeout;
        private boolean answered, gatewayDied;

        ClientAttempt(Request request, VirtualGateway gateway) {
            this.request = request;
            this.gateway = gateway;
            timeout = Duration.ofMillis(
                    (long) (request.requestClass.timeoutUs() / 1000 * (0.8 + 0.2 * random.nextDouble())));
        }

        void begin() {
            attempts++;
            gateway.inFlight.add(this);
            String trace = String.format(Locale.ROOT, "%016x", random.nextLong());
            byte[] statement = (request.id + " " + request.work).getBytes(StandardCharsets.US_ASCII);
            gateway.dispatcher.submit(
                    new Query(
                            request.requestClass.name(), trace, timeout, Micros.span(request.work), 64, -1, statement),
                    this::onAnswer);
            scheduler.scheduleAfter(timeout.plusMillis(30), () -> unansweredInTime += answered || gatewayDied ? 0 : 1);
        }

        /** The gateway was killed during the attempt: no answer is owed. */
        void gatewayLost() {
            gatewayDied = true;
            if (!answered && request.requestClass.repeatable()) {
                request.retry(Duration.ZERO);
            } else if (!answered) {
                openRequests--;
            }
        }

        private void onAnswer(Answer answer) {
            if (gatewayDied) {
                return;
            }
            if (answered) {
                duplicateAnswers++;
                return;
            }
            answered = true;
            gateway.inFlight.remove(this);
            answers.merge(answer.getClass().getSimpleName(), 1, Integer::sum);
            if (answer instanceof Answer.Served) {
                request.recordServed();
            } else if (answer instanceof Answer.Rejected rejected) {
                request.retry(rejected.retryAfter());
            } else if (request.requestClass.repeatable()) {
                request.retry(Duration.ZERO);
            } else {
                openRequests--;
            }
        }
    }
}
