package sandpaddle.decision;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
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

/** A decision module under test with its settings, a virtual clock and a {@link RuleChecker}; tests act as engines. */
final class TestGateway {
    static final long SECOND_US = 1_000_000;
    static final long MILLISECOND_US = 1_000;

    static final class Spec {
        Idempotency idempotency = Idempotency.IDEMPOTENT;
        DeduplicationScope deduplicationScope = DeduplicationScope.ALL;
        boolean ordered;
        List<Integer> permittedKinds;
        List<Integer> permittedZones;
        boolean cancel;
        boolean healthChecks;
        boolean priorities;
        boolean memoryGrants;
        long progressIntervalUs;
        long retryBudgetWindowUs;
        long orderingPauseUs;
        int gateways = 2;
        int gatewayIndex;
        long seed = 7;
        double handshake;
        int maxAttempts = 4;
        List<LoadField> reportFields = List.of(LoadField.IN_FLIGHT, LoadField.UTILIZATION);
        boolean reportsInAnswers = true;

        DecisionSettings settings() {
            var quick = new RequestClass(
                    800 * MILLISECOND_US,
                    1.5,
                    4 * SECOND_US,
                    1,
                    0.1,
                    idempotency,
                    deduplicationScope,
                    3 * SECOND_US,
                    ordered,
                    false,
                    1,
                    false,
                    false,
                    permittedKinds,
                    permittedZones);
            var heavy = new RequestClass(
                    2 * SECOND_US,
                    2.5,
                    15 * SECOND_US,
                    5,
                    0.3,
                    idempotency,
                    deduplicationScope,
                    3 * SECOND_US,
                    ordered,
                    false,
                    3,
                    false,
                    false,
                    permittedKinds,
                    permittedZones);
            return new DecisionSettings(
                    gateways,
                    gatewayIndex,
                    0,
                    false,
                    List.of(quick, heavy),
                    List.of(new EngineKind(8, 16384), new EngineKind(16, 32768)),
                    reportFields,
                    reportsInAnswers,
                    new PlatformLimits(
                            cancel,
                            healthChecks,
                            true,
                            false,
                            maxAttempts,
                            20000,
                            SECOND_US,
                            250 * MILLISECOND_US,
                            15 * SECOND_US),
                    new PlatformRules(
                            20 * MILLISECOND_US,
                            500 * MILLISECOND_US,
                            10 * SECOND_US,
                            0.3,
                            13 * SECOND_US,
                            2.5,
                            1500 * MILLISECOND_US,
                            orderingPauseUs,
                            retryBudgetWindowUs,
                            2,
                            0.2),
                    new EngineFeatures(memoryGrants, priorities, 0.4, true, false, progressIntervalUs),
                    new ServiceCosts(0.01, handshake));
        }
    }

    final DecisionSettings settings;
    final DefaultDecisionModule module;
    final RuleChecker rules;
    final List<Action> log = new ArrayList<>();
    private final TreeMap<Long, List<Runnable>> timers = new TreeMap<>();
    private final List<SendAttempt> sends = new ArrayList<>();
    private final Map<String, Long> sentAtUs = new HashMap<>();
    private final Map<String, Integer> classOf = new HashMap<>();
    long nowUs = 1000 * SECOND_US;
    private int nextId;

    TestGateway(Spec spec) {
        this(spec, Double.POSITIVE_INFINITY);
    }

    TestGateway(Spec spec, double capacityPerCore) {
        settings = spec.settings();
        module = new DefaultDecisionModule(settings, spec.seed);
        rules = new RuleChecker(settings, new double[] {150 * MILLISECOND_US, 3600 * MILLISECOND_US}, capacityPerCore);
    }

    static EngineEntry engine(String id) {
        return engine(id, 0, 0, 0, EngineStatus.UP, 0);
    }

    static EngineEntry engine(String id, int zone, int kind, int cell, EngineStatus status, long startedUs) {
        return new EngineEntry(id, zone, kind, cell, status, 1, startedUs);
    }

    TestGateway receiveList(EngineListKind kind, EngineEntry... entries) {
        handle(new EngineListReceived(kind, Arrays.asList(entries)));
        return this;
    }

    List<Action> handle(Event event) {
        List<Action> actions = new ArrayList<>();
        rules.event(nowUs, event);
        module.handle(nowUs, event, a -> {
            rules.action(nowUs, a);
            actions.add(a);
            if (a instanceof ScheduleTimer t) {
                schedule(t.atUs(), () -> handle(new TimerFired(t.token())));
            } else if (a instanceof SendAttempt send) {
                sends.add(send);
                sentAtUs.put(send.id(), nowUs);
                int attempt = attempts(send.id()) - 1;
                schedule(nowUs + send.timeoutUs(), () -> expire(send, attempt));
            }
        });
        log.addAll(actions);
        return actions;
    }

    private void schedule(long atUs, Runnable task) {
        timers.computeIfAbsent(atUs, k -> new ArrayList<>()).add(task);
    }

    /** Advances the clock, and fires the timers that are due. */
    TestGateway advance(long durationUs) {
        long untilUs = nowUs + durationUs;
        while (!timers.isEmpty() && timers.firstKey() <= untilUs) {
            nowUs = Math.max(nowUs, timers.firstKey());
            timers.pollFirstEntry().getValue().forEach(Runnable::run);
        }
        nowUs = untilUs;
        return this;
    }

    String receive(int classIndex) {
        return receive(classIndex, null, -1);
    }

    String receive(int classIndex, String key, long dataGroup) {
        String id = "r" + nextId++;
        classOf.put(id, classIndex);
        handle(new RequestReceived(
                id, classIndex, key, settings.classes().get(classIndex).deadlineUs(), 0, 0, dataGroup, false));
        return id;
    }

    /** Receives a request with an estimate of its memory (MB). */
    String receiveWithMemory(int classIndex, double memoryMb) {
        String id = "r" + nextId++;
        classOf.put(id, classIndex);
        handle(new RequestReceived(
                id, classIndex, null, settings.classes().get(classIndex).deadlineUs(), 0, memoryMb, -1, false));
        return id;
    }

    /** Returns the engine of a request's latest attempt, or null if none was sent. */
    String engineOf(String id) {
        return sends.stream()
                .filter(x -> x.id().equals(id))
                .reduce((a, b) -> b)
                .map(SendAttempt::engine)
                .orElse(null);
    }

    int classOf(String id) {
        return classOf.get(id);
    }

    /** Returns when a request's latest attempt was sent (us). */
    long sentAtUs(String id) {
        return sentAtUs.get(id);
    }

    int attempts(String id) {
        return (int) sends.stream().filter(x -> x.id().equals(id)).count();
    }

    long sentTo(String engine) {
        return sends.stream().filter(x -> x.engine().equals(engine)).count();
    }

    private void expire(SendAttempt send, int attempt) {
        handle(new AttemptEnded(send.id(), attempt, send.engine(), AttemptResult.TIMEOUT, false, 0, 0, 0, null));
    }

    List<Action> answer(String id, AttemptResult result) {
        return answer(id, result, null);
    }

    List<Action> answer(String id, AttemptResult result, double[] loadReport) {
        return handle(new AttemptEnded(
                id, attempts(id) - 1, engineOf(id), result, result == AttemptResult.OK, 0, 0, 0, loadReport));
    }

    boolean isRejected(String id) {
        return log.stream().anyMatch(a -> a instanceof RejectRequest r && r.id().equals(id));
    }

    boolean hasFailed(String id) {
        return log.stream().anyMatch(a -> a instanceof FailRequest f && f.id().equals(id));
    }

    void end() {
        advance(60 * SECOND_US);
        rules.end(nowUs);
    }
}
