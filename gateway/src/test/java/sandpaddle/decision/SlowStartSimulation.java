package sandpaddle.decision;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import sandpaddle.decision.action.Action;
import sandpaddle.decision.action.FailRequest;
import sandpaddle.decision.action.RejectRequest;
import sandpaddle.decision.action.ScheduleTimer;
import sandpaddle.decision.action.SendAttempt;
import sandpaddle.decision.event.AttemptEnded;
import sandpaddle.decision.event.AttemptResult;
import sandpaddle.decision.event.EngineEntry;
import sandpaddle.decision.event.EngineListKind;
import sandpaddle.decision.event.EngineListReceived;
import sandpaddle.decision.event.EngineStatus;
import sandpaddle.decision.event.Event;
import sandpaddle.decision.event.RequestReceived;
import sandpaddle.decision.event.TimerFired;
import sandpaddle.decision.settings.DecisionSettings;
import sandpaddle.decision.settings.DeduplicationScope;
import sandpaddle.decision.settings.EngineFeatures;
import sandpaddle.decision.settings.EngineKind;
import sandpaddle.decision.settings.Idempotency;
import sandpaddle.decision.settings.LoadField;
import sandpaddle.decision.settings.PlatformLimits;
import sandpaddle.decision.settings.PlatformRules;
import sandpaddle.decision.settings.RequestClass;
import sandpaddle.decision.settings.ServiceCosts;

/**
 * Simulation of a random fleet in virtual time: many modules without shared state, uneven traffic, and engines that
 * warm up. An engine shares its current capacity equally among the threads of its attempts. The work that reaches
 * engines is recorded independently of the modules, for {@link SlowStartWorkCounter}.
 */
final class SlowStartSimulation {
    private static final long SECOND_US = 1_000_000;
    private static final long MILLISECOND_US = 1_000;
    private static final long STEP_US = 5 * MILLISECOND_US;
    /** Time before the first start of an engine. */
    static final long START_AFTER_US = 6 * SECOND_US;
    /** Time from the first start to the end. */
    private static final long OBSERVED_US = 8 * SECOND_US;

    /** Which engines start, and whether they replace engines that drain or restart after a crash. */
    enum StartPattern {
        /** One engine is replaced. */
        ONE,
        /** Half of the engines are replaced in steps. */
        STEPS,
        /** 60 % of the engines are replaced at once. */
        MANY,
        /** A third of the engines crash at once. */
        CRASH,
        /** All engines crash at once. */
        ALL
    }

    /**
     * Actual and expected work of an attempt that an engine received, and whether its gateway knew the engine's start.
     */
    record Sent(long atUs, double workUs, double expectedWorkUs, boolean startKnown) {}

    /** A start of an engine, and the attempts that it has received since. */
    record Start(long atUs, double cores, List<Sent> sent) {}

    private static final class RunningAttempt {
        SendAttempt send;
        int attempt;
        SimulatedGateway gateway;
        long sentAtUs;
        double remainingWorkUs;
        int classIndex;
        boolean finished;
    }

    private final class SimulatedEngine {
        final String id;
        final int kind;
        final double cores;
        long startedUs; // 0 if it started long ago
        long downUntilUs;
        final List<RunningAttempt> running = new ArrayList<>();
        Start start;

        SimulatedEngine(String id, int kind, long startedUs) {
            this.id = id;
            this.kind = kind;
            cores = settings.kinds().get(kind).cores();
            recordStart(startedUs);
        }

        void recordStart(long at) {
            startedUs = at;
            if (at > 0) {
                start = new Start(at, cores, new ArrayList<>());
                starts.add(start);
            }
        }

        double capacity() {
            PlatformRules r = settings.rules();
            double age = startedUs == 0 ? r.slowStartUs() : Math.min(r.slowStartUs(), nowUs - startedUs);
            return cores * (r.slowStartFrom() + (1 - r.slowStartFrom()) * age / r.slowStartUs());
        }

        double threads() {
            return running.stream()
                    .mapToDouble(r -> settings.classes().get(r.classIndex).threads())
                    .sum();
        }

        double[] report(SimulatedGateway receiver) {
            double load = threads() / capacity();
            return settings.reportFields().stream()
                    .mapToDouble(f -> switch (f) {
                        case IN_FLIGHT ->
                            running.stream()
                                    .filter(r -> !reportOwnQueriesOnly || r.gateway == receiver)
                                    .count();
                        case UTILIZATION -> Math.min(1, load);
                        case MEMORY -> Math.min(1, running.size() * 0.02);
                        default -> 0;
                    })
                    .toArray();
        }

        void runStep() {
            double capacity = capacity();
            double share = Math.min(1, capacity / Math.max(1e-9, threads()));
            boolean warmingUp =
                    startedUs > 0 && nowUs - startedUs < settings.rules().slowStartUs();
            capacityWhileWarmingUp += warmingUp ? capacity * STEP_US : 0;
            for (RunningAttempt attempt : List.copyOf(running)) {
                double doneUs = Math.min(
                        attempt.remainingWorkUs,
                        share * settings.classes().get(attempt.classIndex).threads() * STEP_US);
                attempt.remainingWorkUs -= doneUs;
                doneWhileWarmingUp += warmingUp ? doneUs : 0;
                long timeout = attempt.sentAtUs + attempt.send.timeoutUs();
                if (attempt.remainingWorkUs <= 0) {
                    end(attempt, AttemptResult.OK);
                } else if (nowUs >= timeout) {
                    end(attempt, AttemptResult.TIMEOUT);
                }
            }
        }

        void end(RunningAttempt attempt, AttemptResult result) {
            running.remove(attempt);
            attempt.gateway.endAttempt(attempt, this, result);
        }

        EngineEntry entry(EngineStatus status) {
            return new EngineEntry(id, id.hashCode() & 1, kind, 0, status, 1, startedUs);
        }
    }

    private record OpenRequest(int classIndex, double workUs, double expectedWorkUs, long receivedAtUs) {}

    /** A gateway and its clients. */
    private final class SimulatedGateway {
        final int gatewayIndex;
        final double rate; // requests per us
        DecisionModule module;
        long timer = Long.MAX_VALUE;
        final Map<String, OpenRequest> open = new HashMap<>();
        final Map<String, Integer> attempts = new HashMap<>();
        final Map<String, Long> knownStartsUs = new HashMap<>(); // start times by engine, as this gateway knows them
        final List<EngineListReceived> lists = new ArrayList<>();
        final List<Long> listTimesUs = new ArrayList<>();

        SimulatedGateway(int gatewayIndex, double rate) {
            this.gatewayIndex = gatewayIndex;
            this.rate = rate;
            start();
        }

        void start() {
            DecisionSettings s = settings;
            module = new DefaultDecisionModule(
                    new DecisionSettings(
                            s.gateways(),
                            gatewayIndex,
                            s.zone(),
                            s.subscribe(),
                            s.classes(),
                            s.kinds(),
                            s.reportFields(),
                            s.reportsInAnswers(),
                            s.limits(),
                            s.rules(),
                            s.features(),
                            s.costs()),
                    random.nextLong());
            timer = Long.MAX_VALUE;
            open.clear();
            attempts.clear();
            List<EngineEntry> all = engines.values().stream()
                    .map(engine -> engine.entry(EngineStatus.UP))
                    .toList();
            all.forEach(e -> knownStartsUs.put(e.id(), e.startedUs()));
            handle(new EngineListReceived(EngineListKind.CACHED, all));
        }

        /** Restarts the gateway, which loses its state. */
        void restart() {
            engines.values().forEach(engine -> engine.running.removeIf(r -> r.gateway == this));
            lists.clear();
            listTimesUs.clear();
            start();
        }

        void handle(Event e) {
            module.handle(nowUs, e, this::execute);
        }

        void step() {
            while (!listTimesUs.isEmpty() && listTimesUs.get(0) <= nowUs) {
                listTimesUs.remove(0);
                EngineListReceived list = lists.remove(0);
                list.entries().forEach(e -> knownStartsUs.merge(e.id(), e.startedUs(), Math::max));
                handle(list);
            }
            if (timer <= nowUs) {
                timer = Long.MAX_VALUE;
                handle(new TimerFired("sweep"));
            }
            double mean = rate * STEP_US * (nowUs < surgeAtUs ? initialTrafficRatio : 1);
            for (double p = random.nextDouble(), q = Math.exp(-mean), x = q, k = 1; p > x; k++) {
                receiveRequest();
                q *= mean / k;
                x += q;
            }
        }

        void receiveRequest() {
            double at = random.nextDouble();
            int classIndex = 0;
            while (classIndex < shares.length - 1 && at >= shares[classIndex]) {
                at -= shares[classIndex++];
            }
            double sigma =
                    Math.sqrt(Math.log(1 + variationCoefficients[classIndex] * variationCoefficients[classIndex]));
            double work = Math.min(
                    settings.classes().get(classIndex).deadlineUs(),
                    meanWorkUs[classIndex] * Math.exp(sigma * nextGaussian() - sigma * sigma / 2));
            String id = "r" + requests++;
            offeredWeight += settings.classes().get(classIndex).priorityWeight();
            long estimate = clientsEstimate ? (long) (work * Math.exp(0.3 * nextGaussian())) : 0;
            open.put(id, new OpenRequest(classIndex, work, estimate > 0 ? estimate : meanWorkUs[classIndex], nowUs));
            handle(new RequestReceived(
                    id, classIndex, null, settings.classes().get(classIndex).deadlineUs(), estimate, 0, -1, false));
        }

        void execute(Action a) {
            if (a instanceof SendAttempt s) {
                send(s);
            } else if (a instanceof ScheduleTimer t) {
                timer = t.atUs();
            } else if (a instanceof RejectRequest r) {
                open.remove(r.id());
            } else if (a instanceof FailRequest f) {
                open.remove(f.id());
            }
        }

        void send(SendAttempt s) {
            OpenRequest request = open.get(s.id());
            RunningAttempt attempt = new RunningAttempt();
            attempt.send = s;
            attempt.attempt = attempts.merge(s.id(), 1, Integer::sum) - 1;
            attempt.gateway = this;
            attempt.sentAtUs = nowUs;
            attempt.classIndex = request.classIndex();
            attempt.remainingWorkUs = request.workUs();
            SimulatedEngine engine = engines.get(s.engine());
            if (engine == null || nowUs < engine.downUntilUs) {
                tasks.add(new ScheduledTask(
                        nowUs + STEP_US, () -> endAttempt(attempt, engine, AttemptResult.CONNECT_FAILED), s.engine()));
                return;
            }
            engine.running.add(attempt);
            if (engine.start != null) {
                engine.start
                        .sent()
                        .add(new Sent(
                                nowUs,
                                request.workUs(),
                                request.expectedWorkUs(),
                                knownStartsUs.getOrDefault(engine.id, -1L) == engine.startedUs));
            }
        }

        void endAttempt(RunningAttempt attempt, SimulatedEngine engine, AttemptResult result) {
            OpenRequest request = open.get(attempt.send.id());
            if (request == null) {
                return;
            }
            if (result == AttemptResult.OK) {
                open.remove(attempt.send.id());
                RequestClass c = settings.classes().get(attempt.classIndex);
                double objectiveUs = c.latencyObjectiveUs() + c.objectiveStretch() * request.workUs() / c.threads();
                servedWeight += c.priorityWeight()
                        * (nowUs - request.receivedAtUs() <= objectiveUs ? 1 : c.latePriorityWeight());
            }
            handle(new AttemptEnded(
                    attempt.send.id(),
                    attempt.attempt,
                    attempt.send.engine(),
                    result,
                    result == AttemptResult.OK,
                    nowUs - attempt.sentAtUs,
                    0,
                    0,
                    result == AttemptResult.OK ? engine.report(this) : null));
        }
    }

    private record ScheduledTask(long atUs, Runnable action, String engine) {}

    private final SplittableRandom random;
    final DecisionSettings settings;
    private final double[] shares;
    private final double[] meanWorkUs;
    private final double[] variationCoefficients;
    private final boolean reportOwnQueriesOnly;
    private final boolean clientsEstimate;
    private final boolean gatewaysRestart;
    private final Map<String, SimulatedEngine> engines = new LinkedHashMap<>();
    private final List<SimulatedGateway> gateways = new ArrayList<>();
    private final List<ScheduledTask> tasks = new ArrayList<>();
    final List<Start> starts = new ArrayList<>();
    private final long surgeAtUs; // until then traffic is lower
    private final double initialTrafficRatio; // ratio of the traffic until then to the later traffic
    private final long maxListDelayUs; // between the first and the last gateway that receives a start
    final StartPattern startPattern;
    private final long originUs = 1000 * SECOND_US;
    private long nowUs = originUs;
    private int requests;
    double offeredWeight, servedWeight, doneWhileWarmingUp, capacityWhileWarmingUp;

    SlowStartSimulation(int gatewayCount, int seed) {
        this(gatewayCount, seed, false);
    }

    /**
     * Creates a random fleet.
     *
     * @param reportOwnQueriesOnly whether reports state only the receiving gateway's queries, so that each gateway
     *     learns a traffic share near 1
     */
    SlowStartSimulation(int gatewayCount, int seed, boolean reportOwnQueriesOnly) {
        this.reportOwnQueriesOnly = reportOwnQueriesOnly;
        random = new SplittableRandom(gatewayCount * 1_000_003L + seed);
        startPattern =
                reportOwnQueriesOnly ? StartPattern.ALL : StartPattern.values()[seed % StartPattern.values().length];
        int classes = 2 + random.nextInt(3);
        shares = new double[classes];
        meanWorkUs = new double[classes];
        variationCoefficients = new double[classes];
        List<RequestClass> requestClasses = new ArrayList<>();
        for (int c = 0; c < classes; c++) {
            boolean light = c == 0;
            shares[c] = light ? 6 + 6 * random.nextDouble() : 0.6 + 2 * random.nextDouble();
            meanWorkUs[c] = light ? uniform(60, 440) * MILLISECOND_US : uniform(900, 5200) * MILLISECOND_US;
            variationCoefficients[c] = uniform(0.4, 1.9);
            int threads = light ? 1 : 1 + random.nextInt(4);
            requestClasses.add(new RequestClass(
                    (long) (1.2 * meanWorkUs[c] / threads + 900 * MILLISECOND_US),
                    1.5 + random.nextDouble(),
                    (light ? 8 : 25) * SECOND_US,
                    light ? 1 : 4,
                    0.3,
                    Idempotency.IDEMPOTENT,
                    DeduplicationScope.ALL,
                    0,
                    false,
                    false,
                    threads,
                    false,
                    false,
                    null,
                    null));
        }
        double shareSum = Arrays.stream(shares).sum();
        for (int c = 0; c < classes; c++) {
            shares[c] /= shareSum;
        }
        List<EngineKind> kinds = new ArrayList<>(List.of(new EngineKind(8, 16384)));
        if (random.nextBoolean()) {
            kinds.add(new EngineKind(random.nextBoolean() ? 4 : 16, 16384));
        }
        clientsEstimate = random.nextInt(3) == 0;
        gatewaysRestart = random.nextInt(3) == 0;
        initialTrafficRatio = Math.pow(10, uniform(-2, -0.5));
        surgeAtUs = random.nextBoolean() || reportOwnQueriesOnly
                ? 0
                : originUs + START_AFTER_US + (long) (uniform(1, 4) * SECOND_US);
        maxListDelayUs = List.of(0L, SECOND_US, 2 * SECOND_US + SECOND_US / 2).get(random.nextInt(3));
        List<LoadField> fields = random.nextBoolean() || reportOwnQueriesOnly
                ? List.of(LoadField.IN_FLIGHT, LoadField.UTILIZATION)
                : List.of(LoadField.UTILIZATION, LoadField.QUEUED, LoadField.MEMORY);
        settings = new DecisionSettings(
                gatewayCount,
                0,
                0,
                false,
                requestClasses,
                kinds,
                fields,
                true,
                new PlatformLimits(
                        false, false, true, false, 5, 20000, SECOND_US, 250 * MILLISECOND_US, 15 * SECOND_US),
                new PlatformRules(
                        20 * MILLISECOND_US,
                        250 * MILLISECOND_US,
                        10 * SECOND_US,
                        uniform(0.2, 0.45),
                        (long) (uniform(8, 15) * SECOND_US),
                        uniform(2.5, 4),
                        (long) (uniform(0.8, 1.5) * SECOND_US),
                        0,
                        0,
                        0,
                        0),
                new EngineFeatures(false, false, 0.4, false, false, 0),
                new ServiceCosts(0, 0));
        int engineCount = gatewayCount == 120 ? 10 + random.nextInt(50) : 6 + random.nextInt(24);
        for (int i = 0; i < engineCount; i++) {
            engines.put("e" + i, new SimulatedEngine("e" + i, random.nextInt(kinds.size()), 0));
        }
        double cores = engines.values().stream().mapToDouble(m -> m.cores).sum();
        double requestsPerUs = uniform(0.5, 1.6) * cores / meanWork();
        double[] weights = IntStream.range(0, gatewayCount)
                .mapToDouble(g -> Math.exp(0.9 * nextGaussian()))
                .toArray();
        double sum = Arrays.stream(weights).sum();
        for (int g = 0; g < gatewayCount; g++) {
            gateways.add(new SimulatedGateway(g, requestsPerUs * weights[g] / sum));
        }
    }

    private double uniform(double from, double to) {
        return from + (to - from) * random.nextDouble();
    }

    private double nextGaussian() {
        return Math.sqrt(-2 * Math.log(1 - random.nextDouble())) * Math.cos(2 * Math.PI * random.nextDouble());
    }

    /** Returns the mean work of a request (us). */
    double meanWork() {
        return IntStream.range(0, meanWorkUs.length)
                .mapToDouble(c -> shares[c] * meanWorkUs[c])
                .sum();
    }

    private void sendList(EngineEntry... entries) {
        for (SimulatedGateway gateway : gateways) {
            long last = gateway.listTimesUs.isEmpty() ? nowUs : gateway.listTimesUs.get(gateway.listTimesUs.size() - 1);
            gateway.lists.add(new EngineListReceived(EngineListKind.CHANGES, List.of(entries)));
            gateway.listTimesUs.add(
                    Math.max(last, nowUs + (maxListDelayUs == 0 ? 0 : random.nextLong(maxListDelayUs))));
        }
    }

    /** Drains an engine, and starts another one in its place. */
    private void replace(SimulatedEngine old) {
        SimulatedEngine replacement = new SimulatedEngine("n" + old.id, old.kind, nowUs);
        engines.put(replacement.id, replacement);
        sendList(old.entry(EngineStatus.DRAINING), replacement.entry(EngineStatus.UP));
    }

    /** Crashes an engine, which loses its attempts and restarts with the same id. */
    private void crash(SimulatedEngine engine) {
        engine.downUntilUs = nowUs + 800 * MILLISECOND_US;
        for (RunningAttempt attempt : List.copyOf(engine.running)) {
            engine.end(attempt, AttemptResult.RESET);
        }
        tasks.add(new ScheduledTask(
                engine.downUntilUs,
                () -> {
                    engine.recordStart(nowUs);
                    sendList(engine.entry(EngineStatus.UP));
                },
                engine.id));
    }

    SlowStartSimulation run() {
        List<SimulatedEngine> first = List.copyOf(engines.values());
        List<SimulatedEngine> starting = first.subList(
                0,
                switch (startPattern) {
                    case ONE -> 1;
                    case STEPS -> first.size() / 2;
                    case MANY -> first.size() * 6 / 10;
                    case CRASH -> Math.max(1, first.size() / 3);
                    case ALL -> first.size();
                });
        for (int i = 0; i < starting.size(); i++) {
            SimulatedEngine engine = starting.get(i);
            long at = originUs
                    + START_AFTER_US
                    + (startPattern == StartPattern.STEPS ? i * 4 / starting.size() * 2 * SECOND_US : 0);
            tasks.add(new ScheduledTask(
                    at,
                    startPattern.ordinal() >= StartPattern.CRASH.ordinal()
                            ? () -> crash(engine)
                            : () -> replace(engine),
                    engine.id));
        }
        for (int g = 0; gatewaysRestart && g < gateways.size(); g++) {
            SimulatedGateway gateway = gateways.get(g);
            tasks.add(new ScheduledTask(
                    originUs + START_AFTER_US + g * 10 / gateways.size() * SECOND_US, gateway::restart, ""));
        }
        for (; nowUs < originUs + START_AFTER_US + OBSERVED_US; nowUs += STEP_US) {
            List<ScheduledTask> due =
                    tasks.stream().filter(l -> l.atUs() <= nowUs).toList();
            tasks.removeAll(due);
            due.forEach(l -> l.action().run());
            gateways.forEach(SimulatedGateway::step);
            List.copyOf(engines.values()).forEach(SimulatedEngine::runStep);
        }
        return this;
    }

    /** Returns the utilization of engines while they were warming up. */
    double warmingUpUtilization() {
        return doneWhileWarmingUp / capacityWhileWarmingUp;
    }

    SlowStartWorkCounter countWork() {
        SlowStartWorkCounter c = new SlowStartWorkCounter();
        starts.forEach(s -> c.count(s, settings.rules(), meanWork()));
        return c;
    }

    /**
     * Prints a table of simulation results. Arguments: number of seeds; number of gateways, by default 20, 30 and 120;
     * any third argument makes reports state only the receiving gateway's queries.
     */
    public static void main(String[] args) {
        int seeds = args.length > 0 ? Integer.parseInt(args[0]) : 8;
        for (int gateways : args.length > 1 ? new int[] {Integer.parseInt(args[1])} : new int[] {20, 30, 120}) {
            double meanServed = 0;
            double meanUtilization = 0;
            SlowStartWorkCounter total = new SlowStartWorkCounter();
            for (int seed = 0; seed < seeds; seed++) {
                SlowStartSimulation simulation = new SlowStartSimulation(gateways, seed, args.length > 2).run();
                simulation.starts.forEach(s -> total.count(s, simulation.settings.rules(), simulation.meanWork()));
                double n = SlowStartWorkCounter.permittedRequests(
                        simulation.settings.rules(), 8, simulation.meanWork(), 0);
                System.out.printf(
                        "%4d %3d %-5s N %.1f reports %s served %.3f warm-up utilization %.3f %s%n",
                        gateways,
                        seed,
                        simulation.startPattern,
                        n,
                        simulation.settings.reportFields().get(0),
                        simulation.servedWeight / simulation.offeredWeight,
                        simulation.warmingUpUtilization(),
                        simulation.countWork());
                meanServed += simulation.servedWeight / simulation.offeredWeight / seeds;
                meanUtilization += simulation.warmingUpUtilization() / seeds;
            }
            System.out.printf(
                    "%4d mean served %.4f warm-up utilization %.4f %s%n", gateways, meanServed, meanUtilization, total);
        }
    }
}
