package sandpaddle.decision;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.Function;
import sandpaddle.decision.action.Action;
import sandpaddle.decision.action.CancelAttempt;
import sandpaddle.decision.action.ScheduleTimer;
import sandpaddle.decision.action.SendAttempt;
import sandpaddle.decision.action.StartHealthCheck;
import sandpaddle.decision.event.AttemptEnded;
import sandpaddle.decision.event.AttemptResult;
import sandpaddle.decision.event.ClientDisconnected;
import sandpaddle.decision.event.EngineEntry;
import sandpaddle.decision.event.EngineListKind;
import sandpaddle.decision.event.EngineListReceived;
import sandpaddle.decision.event.EngineStatus;
import sandpaddle.decision.event.Event;
import sandpaddle.decision.event.HealthCheckEnded;
import sandpaddle.decision.event.ProgressReported;
import sandpaddle.decision.event.ProgressTopic;
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
 * A pseudo-random workload of one gateway in virtual time, determined by its seed: bursts of requests, clients that
 * disconnect, stalls of the gateway, and engines that restart, drain, reject, fail, do not answer or cannot be reached.
 */
final class RandomWorkload {
    private static final long SECOND_US = 1_000_000;
    private static final long MILLISECOND_US = 1_000;

    private record ScheduledEvent(long atUs, long sequence, Event event) {}

    private record InFlightAttempt(SendAttempt send, int attempt, long sentAtUs) {}

    private final SplittableRandom random;
    private final DecisionModule module;
    private final DecisionSettings settings;
    private final PriorityQueue<ScheduledEvent> events = new PriorityQueue<>(
            (a, b) -> a.atUs != b.atUs ? Long.compare(a.atUs, b.atUs) : Long.compare(a.sequence, b.sequence));
    private final Map<String, InFlightAttempt> inFlight = new HashMap<>();
    private final Map<String, Integer> attempts = new HashMap<>();
    private final Map<String, Long> silentUntilUs = new HashMap<>();
    private final Map<String, Integer> load = new HashMap<>();
    private final EngineEntry[] engines;
    private final List<String> actions = new ArrayList<>();
    private long nowUs = 1000 * SECOND_US;
    private long nextSequence;
    private int requests;

    RandomWorkload(int seed, Function<DecisionSettings, DecisionModule> start) {
        this(seed, null, start);
    }

    /** Creates a workload under fixed settings, or under random ones where {@code fixedSettings} is null. */
    RandomWorkload(int seed, DecisionSettings fixedSettings, Function<DecisionSettings, DecisionModule> start) {
        random = new SplittableRandom(seed);
        settings = fixedSettings == null ? randomSettings() : fixedSettings;
        module = start.apply(settings);
        engines = new EngineEntry[2 + random.nextInt(12)];
        for (int i = 0; i < engines.length; i++) {
            engines[i] = entry(i, EngineStatus.UP, i % 5 == 4 ? nowUs - 2 * SECOND_US : 0);
        }
    }

    private <T> T pick(List<T> values) {
        return values.get(random.nextInt(values.size()));
    }

    private boolean chance(double probability) {
        return random.nextDouble() < probability;
    }

    private DecisionSettings randomSettings() {
        List<RequestClass> classes = new ArrayList<>();
        for (Idempotency idempotency : Idempotency.values()) {
            classes.add(new RequestClass(
                    (400 + random.nextInt(2000)) * MILLISECOND_US,
                    2 * random.nextDouble(),
                    6 * SECOND_US,
                    1 + random.nextInt(9),
                    0.1,
                    idempotency,
                    pick(List.of(DeduplicationScope.values())),
                    2 * SECOND_US,
                    idempotency != Idempotency.IDEMPOTENT && chance(0.4),
                    false,
                    1 + random.nextInt(4),
                    false,
                    false,
                    chance(0.2) ? List.of(0) : null,
                    null));
        }
        List<LoadField> fields = new ArrayList<>(Arrays.asList(LoadField.values()));
        fields.removeIf(f -> chance(0.4));
        int gateways = pick(List.of(1, 2, 14, 100));
        return new DecisionSettings(
                gateways,
                random.nextInt(gateways),
                0,
                chance(0.3),
                classes,
                List.of(new EngineKind(4, 8192), new EngineKind(8, 16384)),
                fields,
                chance(0.5),
                new PlatformLimits(
                        chance(0.6),
                        chance(0.6),
                        chance(0.7),
                        false,
                        1 + random.nextInt(4),
                        20000,
                        SECOND_US,
                        250 * MILLISECOND_US,
                        15 * SECOND_US),
                new PlatformRules(
                        20 * MILLISECOND_US,
                        500 * MILLISECOND_US,
                        10 * SECOND_US,
                        0.3,
                        pick(List.of(0L, 13 * SECOND_US)),
                        2.5,
                        1500 * MILLISECOND_US,
                        chance(0.5) ? 300 * MILLISECOND_US : 0,
                        chance(0.6) ? 10 * SECOND_US : 0,
                        2,
                        0.2),
                new EngineFeatures(
                        chance(0.5), chance(0.5), 0.4, true, chance(0.5), chance(0.5) ? 100 * MILLISECOND_US : 0),
                new ServiceCosts(chance(0.7) ? 0.01 : 0, chance(0.3) ? 0.2 : 0));
    }

    private EngineEntry entry(int index, EngineStatus status, long startedUs) {
        return new EngineEntry("e" + index, index % 3, index % 2, index % 4, status, 1 + index % 7, startedUs);
    }

    private void schedule(long atUs, Event event) {
        events.add(new ScheduledEvent(Math.max(nowUs, atUs), nextSequence++, event));
    }

    /** Runs the workload and returns all actions, each with its time. */
    List<String> run(long lengthUs) {
        schedule(nowUs, new EngineListReceived(EngineListKind.FAILED, List.of()));
        schedule(
                nowUs,
                new EngineListReceived(chance(0.5) ? EngineListKind.FULL : EngineListKind.CACHED, List.of(engines)));
        schedule(nowUs + 10 * MILLISECOND_US, null);
        long endUs = nowUs + lengthUs;
        while (!events.isEmpty() && events.peek().atUs < endUs) {
            ScheduledEvent next = events.poll();
            nowUs = Math.max(nowUs, next.atUs);
            if (next.event == null) {
                generateTraffic();
            } else {
                deliver(next.event);
            }
        }
        return actions;
    }

    private void deliver(Event event) {
        if (event instanceof AttemptEnded o) {
            InFlightAttempt attempt = inFlight.get(o.id());
            if (attempt == null || attempt.attempt != o.attempt()) {
                return;
            }
            inFlight.remove(o.id());
            load.merge(o.engine(), -1, Integer::sum);
        }
        module.handle(nowUs, event, this::execute);
    }

    private void execute(Action action) {
        actions.add(nowUs + " " + ActionText.of(action));
        if (action instanceof SendAttempt s) {
            scheduleOutcome(s);
        } else if (action instanceof ScheduleTimer t) {
            schedule(t.atUs() + (chance(0.002) ? 700 * MILLISECOND_US : 0), new TimerFired(t.token()));
        } else if (action instanceof CancelAttempt c && inFlight.containsKey(c.id())) {
            InFlightAttempt o = inFlight.get(c.id());
            schedule(
                    nowUs + 5 * MILLISECOND_US,
                    outcome(
                            o,
                            chance(0.9) ? AttemptResult.CANCELLED : AttemptResult.CANCELLED_BEFORE_START,
                            nowUs + 5 * MILLISECOND_US));
        } else if (action instanceof StartHealthCheck p) {
            boolean silent = silentUntilUs.getOrDefault(p.engine(), 0L) > nowUs;
            schedule(
                    nowUs + 20 * MILLISECOND_US,
                    new HealthCheckEnded(
                            p.engine(),
                            silent ? AttemptResult.CONNECT_FAILED : AttemptResult.OK,
                            20 * MILLISECOND_US,
                            silent ? null : report(p.engine())));
        }
    }

    private void scheduleOutcome(SendAttempt s) {
        int attempt = attempts.merge(s.id(), 1, Integer::sum) - 1;
        InFlightAttempt o = new InFlightAttempt(s, attempt, nowUs);
        inFlight.put(s.id(), o);
        int engineLoad = load.merge(s.engine(), 1, Integer::sum);
        long latencyUs = (long) ((20 + 400 * Math.pow(random.nextDouble(), 4))
                * MILLISECOND_US
                * (1 + Math.max(0, engineLoad - 4) * 0.4));
        schedule(nowUs + s.timeoutUs(), outcome(o, AttemptResult.TIMEOUT, nowUs + s.timeoutUs()));
        if (silentUntilUs.getOrDefault(s.engine(), 0L) > nowUs) {
            if (s.engine().hashCode() % 2 == 0) {
                schedule(
                        nowUs + 250 * MILLISECOND_US,
                        outcome(o, AttemptResult.CONNECT_FAILED, nowUs + 250 * MILLISECOND_US));
            }
        } else {
            AttemptResult result = chance(0.94)
                    ? AttemptResult.OK
                    : pick(List.of(
                            AttemptResult.ERROR,
                            AttemptResult.QUEUE_FULL,
                            AttemptResult.RESET,
                            AttemptResult.CONNECT_FAILED,
                            AttemptResult.TIMEOUT));
            schedule(nowUs + latencyUs, outcome(o, result, nowUs + latencyUs));
            if (chance(0.2)) {
                schedule(
                        nowUs + latencyUs / 2,
                        new ProgressReported(
                                s.id(), attempt, pick(List.of(ProgressTopic.values())), 300 * random.nextDouble()));
            }
        }
    }

    private AttemptEnded outcome(InFlightAttempt o, AttemptResult result, long endedAtUs) {
        boolean reportsCost = result == AttemptResult.OK && chance(0.8);
        return new AttemptEnded(
                o.send.id(),
                o.attempt,
                o.send.engine(),
                result,
                result == AttemptResult.OK,
                chance(0.5) ? endedAtUs - o.sentAtUs : 0,
                reportsCost ? 5 + 90 * random.nextDouble() : 0,
                reportsCost ? 400 * random.nextDouble() : 0,
                settings.reportsInAnswers() && result == AttemptResult.OK ? report(o.send.engine()) : null);
    }

    private double[] report(String engine) {
        double busy = load.getOrDefault(engine, 0) * random.nextDouble(0.5, 3);
        return settings.reportFields().stream()
                .mapToDouble(f -> switch (f) {
                    case IN_FLIGHT -> busy;
                    case QUEUED -> Math.max(0, busy - 12);
                    case UTILIZATION, MEMORY, DISKS -> Math.min(1, busy / 12);
                    default -> 100 * busy;
                })
                .map(x -> chance(0.01) ? Double.NaN : x)
                .toArray();
    }

    /** Schedules the next request, and at random clients that disconnect and faults of engines. */
    private void generateTraffic() {
        boolean burst = nowUs / (2 * SECOND_US) % 4 == 1;
        schedule(nowUs + (burst ? 6 : 25) * MILLISECOND_US, null);
        int classIndex = random.nextInt(settings.classes().size());
        schedule(
                nowUs,
                new RequestReceived(
                        "r" + requests++,
                        classIndex,
                        chance(0.5) ? "k" + random.nextInt(6) : null,
                        6 * SECOND_US,
                        chance(0.5) ? 10 * MILLISECOND_US + random.nextInt(400_000) : 0,
                        chance(0.5) ? 50 + random.nextInt(900) : 0,
                        chance(0.4) ? random.nextInt(20) : -1,
                        chance(0.1),
                        chance(0.05)));
        if (chance(0.02)) {
            schedule(nowUs, new ClientDisconnected("r" + random.nextInt(requests)));
        }
        if (chance(0.006)) {
            silentUntilUs.put("e" + random.nextInt(engines.length), nowUs + random.nextInt(3000) * MILLISECOND_US);
        }
        if (chance(0.006)) {
            int i = random.nextInt(engines.length);
            engines[i] = entry(
                    i,
                    pick(List.of(
                            EngineStatus.UP,
                            EngineStatus.UP,
                            EngineStatus.UP,
                            EngineStatus.DRAINING,
                            EngineStatus.REMOVED)),
                    chance(0.5) ? nowUs - random.nextInt(3000) * MILLISECOND_US : engines[i].startedUs());
            EngineListKind kind = pick(List.of(EngineListKind.values()));
            schedule(
                    nowUs,
                    new EngineListReceived(
                            kind, kind == EngineListKind.CHANGES ? List.of(engines[i]) : List.of(engines)));
        }
    }
}
