package sandpaddle.decision;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import java.util.function.LongUnaryOperator;
import java.util.function.UnaryOperator;
import java.util.stream.IntStream;
import sandpaddle.decision.action.Action;
import sandpaddle.decision.action.CancelAttempt;
import sandpaddle.decision.action.FailRequest;
import sandpaddle.decision.action.LogMessage;
import sandpaddle.decision.action.RejectRequest;
import sandpaddle.decision.action.ScheduleTimer;
import sandpaddle.decision.action.SendAttempt;
import sandpaddle.decision.action.SetAttemptOptions;
import sandpaddle.decision.action.StartHealthCheck;
import sandpaddle.decision.event.AttemptEnded;
import sandpaddle.decision.event.ClientDisconnected;
import sandpaddle.decision.event.EngineCondition;
import sandpaddle.decision.event.EngineEntry;
import sandpaddle.decision.event.EngineListReceived;
import sandpaddle.decision.event.EngineVerdict;
import sandpaddle.decision.event.EngineVerdictsChanged;
import sandpaddle.decision.event.Event;
import sandpaddle.decision.event.HealthCheckEnded;
import sandpaddle.decision.event.ProgressReported;
import sandpaddle.decision.event.Quota;
import sandpaddle.decision.event.QuotasChanged;
import sandpaddle.decision.event.RequestReceived;
import sandpaddle.decision.settings.DecisionSettings;
import sandpaddle.decision.settings.EngineKind;
import sandpaddle.decision.settings.LoadField;
import sandpaddle.decision.settings.RequestClass;

/**
 * Records the events of a random workload and the actions of a module on each event, so that the events can be replayed
 * to another module under a renaming. The events answer the actions of the recorded run, so they fit the replay as long
 * as both modules decide alike.
 */
final class EventReplay {
    private static final int TENANTS = 4;
    /** Events between two updates of quotas and verdicts. */
    private static final int EVENTS_BETWEEN_FLEET_EVENTS = 150;

    /** An event with its time and the resulting actions. */
    record Step(long atUs, Event event, List<Action> actions) {}

    /** A renaming of indices, ids, times and load reports. */
    static final class Renaming {
        UnaryOperator<Integer> classIndex = c -> c, zone = z -> z, kind = k -> k, tenant = t -> t;
        UnaryOperator<String> request = r -> r, key = k -> k, engine = e -> e;
        UnaryOperator<double[]> load = l -> l;
        UnaryOperator<List<EngineEntry>> entryOrder = l -> l;
        LongUnaryOperator time = t -> t;

        DecisionSettings settings(DecisionSettings s) {
            RequestClass[] classes = new RequestClass[s.classes().size()];
            for (int c = 0; c < classes.length; c++) {
                RequestClass o = s.classes().get(c);
                classes[classIndex.apply(c)] = new RequestClass(
                        o.latencyObjectiveUs(),
                        o.objectiveStretch(),
                        o.deadlineUs(),
                        o.priorityWeight(),
                        o.latePriorityWeight(),
                        o.idempotency(),
                        o.deduplicationScope(),
                        o.deduplicationWindowUs(),
                        o.ordered(),
                        o.streaming(),
                        o.threads(),
                        o.dataLoad(),
                        o.waitsForLocks(),
                        o.permittedKinds() == null
                                ? null
                                : o.permittedKinds().stream().map(kind).toList(),
                        o.permittedZones() == null
                                ? null
                                : o.permittedZones().stream().map(zone).toList());
            }
            EngineKind[] kinds = new EngineKind[s.kinds().size()];
            for (int k = 0; k < kinds.length; k++) {
                kinds[kind.apply(k)] = s.kinds().get(k);
            }
            double[] positions = new double[s.reportFields().size()];
            for (int i = 0; i < positions.length; i++) {
                positions[i] = i;
            }
            List<LoadField> fields = new ArrayList<>();
            for (double position : positions.length == 0 ? positions : load.apply(positions)) {
                fields.add(s.reportFields().get((int) position));
            }
            return new DecisionSettings(
                    s.gateways(),
                    s.gatewayIndex(),
                    zone.apply(s.zone()),
                    s.subscribe(),
                    List.of(classes),
                    List.of(kinds),
                    fields,
                    s.reportsInAnswers(),
                    s.limits(),
                    s.rules(),
                    s.features(),
                    s.costs());
        }

        private double[] loadReport(double[] values) {
            return values == null || values.length == 0 ? values : load.apply(values);
        }

        Event event(Event event) {
            if (event instanceof EngineListReceived l) {
                return new EngineListReceived(
                        l.kind(),
                        entryOrder.apply(l.entries()).stream()
                                .map(e -> new EngineEntry(
                                        engine.apply(e.id()),
                                        zone.apply(e.zone()),
                                        kind.apply(e.kind()),
                                        e.cell(),
                                        e.status(),
                                        e.rating(),
                                        e.startedUs() == 0 ? 0 : time.applyAsLong(e.startedUs())))
                                .toList());
            } else if (event instanceof RequestReceived r) {
                return new RequestReceived(
                        request.apply(r.id()),
                        classIndex.apply(r.classIndex()),
                        r.key() == null ? null : key.apply(r.key()),
                        r.expiresInUs(),
                        r.estimateUs(),
                        r.memoryMb(),
                        r.dataGroup(),
                        r.retry(),
                        r.sheddable(),
                        r.tenant() < 0 ? r.tenant() : tenant.apply(r.tenant()));
            } else if (event instanceof AttemptEnded o) {
                return new AttemptEnded(
                        request.apply(o.id()),
                        o.attempt(),
                        engine.apply(o.engine()),
                        o.result(),
                        o.settled(),
                        o.elapsedUs(),
                        o.usedWorkMs(),
                        o.usedMemoryMb(),
                        loadReport(o.loadReport()));
            } else if (event instanceof ProgressReported n) {
                return new ProgressReported(request.apply(n.id()), n.attempt(), n.topic(), n.value());
            } else if (event instanceof ClientDisconnected l) {
                return new ClientDisconnected(request.apply(l.id()));
            } else if (event instanceof HealthCheckEnded p) {
                return new HealthCheckEnded(
                        engine.apply(p.engine()), p.result(), p.elapsedUs(), loadReport(p.loadReport()));
            } else if (event instanceof QuotasChanged a) {
                return new QuotasChanged(
                        a.quotas().stream()
                                .map(g -> new Quota(
                                        g.classIndex() < 0 ? -1 : classIndex.apply(g.classIndex()),
                                        g.tenant() < 0 ? -1 : tenant.apply(g.tenant()),
                                        g.engine() == null ? null : engine.apply(g.engine()),
                                        g.maxInFlight(),
                                        g.maxStarts()))
                                .toList(),
                        a.retryAfterUs());
            } else if (event instanceof EngineVerdictsChanged v) {
                return new EngineVerdictsChanged(v.verdicts().stream()
                        .map(x -> new EngineVerdict(
                                engine.apply(x.engine()),
                                x.condition(),
                                time.applyAsLong(x.sinceUs()),
                                time.applyAsLong(x.untilUs())))
                        .toList());
            }
            return event;
        }

        Action action(Action action) {
            if (action instanceof SendAttempt a) {
                return new SendAttempt(
                        request.apply(a.id()),
                        engine.apply(a.engine()),
                        a.timeoutUs(),
                        a.trial(),
                        a.writeDeadlineUs() == 0 ? 0 : time.applyAsLong(a.writeDeadlineUs()));
            } else if (action instanceof SetAttemptOptions a) {
                return new SetAttemptOptions(request.apply(a.id()), a.priority(), a.memoryMb());
            } else if (action instanceof RejectRequest a) {
                return new RejectRequest(request.apply(a.id()), a.retryAfterUs());
            } else if (action instanceof FailRequest a) {
                return new FailRequest(request.apply(a.id()));
            } else if (action instanceof CancelAttempt a) {
                return new CancelAttempt(request.apply(a.id()), a.attempt());
            } else if (action instanceof StartHealthCheck a) {
                return new StartHealthCheck(engine.apply(a.engine()));
            } else if (action instanceof ScheduleTimer a) {
                return new ScheduleTimer(a.token(), time.applyAsLong(a.atUs()));
            }
            return action instanceof LogMessage ? new LogMessage("") : action; // its text is not compared
        }
    }

    final DecisionSettings settings;
    final List<Step> steps = new ArrayList<>();
    private final long seed;

    /** Records a random workload, with changed settings and changed events. */
    EventReplay(
            int seed, long lengthUs, UnaryOperator<DecisionSettings> settingsChange, UnaryOperator<Event> eventChange) {
        this.seed = seed;
        DecisionSettings[] randomSettings = new DecisionSettings[1];
        new RandomWorkload(seed, s -> {
            randomSettings[0] = s;
            return null;
        });
        settings = settingsChange.apply(randomSettings[0]);
        DefaultDecisionModule module = new DefaultDecisionModule(settings, seed);
        new RandomWorkload(seed, settings, s -> (nowUs, event, actions) -> {
                    if (steps.size() % EVENTS_BETWEEN_FLEET_EVENTS == EVENTS_BETWEEN_FLEET_EVENTS - 1) {
                        fleetEvents(nowUs).forEach(e -> handle(module, nowUs, e).forEach(actions));
                    }
                    handle(module, nowUs, eventChange.apply(event)).forEach(actions);
                })
                .run(lengthUs);
    }

    private List<Action> handle(DefaultDecisionModule module, long nowUs, Event event) {
        Event withTenant = event instanceof RequestReceived r
                ? new RequestReceived(
                        r.id(),
                        r.classIndex(),
                        r.key(),
                        r.expiresInUs(),
                        r.estimateUs(),
                        r.memoryMb(),
                        r.dataGroup(),
                        r.retry(),
                        r.sheddable(),
                        r.id().hashCode() % TENANTS)
                : event;
        List<Action> actions = new ArrayList<>();
        module.handle(nowUs, withTenant, actions::add);
        steps.add(new Step(nowUs, withTenant, actions));
        return actions;
    }

    private List<Event> fleetEvents(long nowUs) {
        int round = steps.size() / EVENTS_BETWEEN_FLEET_EVENTS;
        return List.of(
                new QuotasChanged(
                        List.of(
                                new Quota(-1, round % TENANTS, null, 6, 40),
                                new Quota(round % settings.classes().size(), -1, null, 9, Integer.MAX_VALUE),
                                new Quota(-1, -1, "e1", 3, 30)),
                        200_000),
                new EngineVerdictsChanged(IntStream.range(0, 3)
                        .mapToObj(i -> new EngineVerdict(
                                "e" + i % 2,
                                EngineCondition.values()[(round + i) % EngineCondition.values().length],
                                nowUs - 50_000 * i,
                                nowUs + 400_000))
                        .toList()));
    }

    /** Replays the events under a renaming, and returns the actions of the replay for each step. */
    List<List<Action>> replay(Renaming renaming) {
        return replay(renaming, renaming.settings(settings));
    }

    List<List<Action>> replay(Renaming renaming, DecisionSettings replaySettings) {
        DefaultDecisionModule module = new DefaultDecisionModule(replaySettings, seed);
        List<List<Action>> all = new ArrayList<>();
        for (Step step : steps) {
            List<Action> actions = new ArrayList<>();
            module.handle(renaming.time.applyAsLong(step.atUs), renaming.event(step.event), actions::add);
            all.add(actions.stream()
                    .map(a -> a instanceof LogMessage ? new LogMessage("") : a)
                    .toList());
        }
        return all;
    }

    /** Returns the recorded actions under a renaming, for each step. */
    List<List<Action>> expected(Renaming renaming) {
        return steps.stream()
                .map(s -> s.actions.stream().map(renaming::action).toList())
                .toList();
    }

    <T> List<T> map(Function<Step, T> f) {
        return steps.stream().map(f).toList();
    }
}
