package sandpaddle.dispatch;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import sandpaddle.config.EndpointListEvent;
import sandpaddle.config.PlatformNames;
import sandpaddle.decision.DecisionModule;
import sandpaddle.decision.action.Action;
import sandpaddle.decision.event.Event;
import sandpaddle.decision.event.RequestReceived;
import sandpaddle.decision.event.TimerFired;
import sandpaddle.decision.settings.DecisionSettings;
import sandpaddle.decision.settings.DeduplicationScope;
import sandpaddle.decision.settings.EngineFeatures;
import sandpaddle.decision.settings.EngineKind;
import sandpaddle.decision.settings.Idempotency;
import sandpaddle.decision.settings.PlatformLimits;
import sandpaddle.decision.settings.PlatformRules;
import sandpaddle.decision.settings.RequestClass;
import sandpaddle.decision.settings.ServiceCosts;
import sandpaddle.eventloop.Scheduler;
import sandpaddle.eventloop.TimerQueue;
import sandpaddle.query.Answer;
import sandpaddle.query.AttemptSpec;
import sandpaddle.query.EngineClient;
import sandpaddle.query.FleetCoordination;
import sandpaddle.query.HealthCheckResult;
import sandpaddle.query.Query;

/** A dispatcher with a scripted decision module, scripted engines and a scripted fleet, in virtual time. */
final class DispatcherFixture implements Scheduler, DecisionModule, EngineClient {
    static final int MAX_QUEUED = 6;

    private static RequestClass requestClass(Idempotency idempotency) {
        return new RequestClass(
                1000,
                0,
                9_000_000,
                1,
                0,
                idempotency,
                DeduplicationScope.ALL,
                0,
                false,
                false,
                1,
                false,
                false,
                null,
                null);
    }

    private static final DecisionSettings SETTINGS = new DecisionSettings(
            1,
            0,
            0,
            false,
            List.of(requestClass(Idempotency.IDEMPOTENT), requestClass(Idempotency.NOT_IDEMPOTENT)),
            List.of(new EngineKind(8, 0)),
            List.of(),
            false,
            new PlatformLimits(true, false, true, false, 5, MAX_QUEUED, 1_000_000, 250_000, 15_000_000),
            new PlatformRules(20_000, 250_000, 0, 0.3, 0, 4, 0, 0, 0, 0, 0),
            new EngineFeatures(false, false, 0, false, false, 0),
            new ServiceCosts(0, 0));

    /** Records what the dispatcher reports to the fleet, and answers as scripted. */
    final class FakeFleet implements FleetCoordination {
        final Map<String, Integer> queuedByClassAndTenant = new HashMap<>();
        final List<EndedAttempt> endedAttempts = new ArrayList<>();
        final List<Event> pendingEvents = new ArrayList<>();
        final List<Consumer<Optional<Answer>>> lookups = new ArrayList<>();
        List<InFlightAttempt> reportedInFlight = List.of();
        List<String> overQuota = List.of();
        boolean allowsAttempts = true;
        boolean isolated;
        int startedAttempts;

        @Override
        public List<Event> pollEvents() {
            List<Event> events = List.copyOf(pendingEvents);
            pendingEvents.clear();
            return events;
        }

        @Override
        public int requestReceived(int classIndex, Query query) {
            return 7;
        }

        @Override
        public void queuedRequestsChanged(int classIndex, String tenant, int delta) {
            queuedByClassAndTenant.merge(classIndex + tenant, delta, Integer::sum);
        }

        @Override
        public boolean tryStartAttempt(Query query, int classIndex, String engine) {
            startedAttempts += allowsAttempts ? 1 : 0;
            return allowsAttempts;
        }

        @Override
        public void attemptEnded(EndedAttempt end) {
            endedAttempts.add(end);
        }

        @Override
        public boolean tryAnswerWithoutEngine(int classIndex, Query query, Consumer<Optional<Answer>> then) {
            if (isolated) {
                lookups.add(then);
            }
            return isolated;
        }

        @Override
        public boolean hasAttemptsOverQuota() {
            return !overQuota.isEmpty();
        }

        @Override
        public List<String> attemptsOverQuota(List<InFlightAttempt> out) {
            reportedInFlight = out;
            List<String> overQuotaNow = overQuota;
            overQuota = List.of();
            return overQuotaNow;
        }
    }

    /** An attempt in flight; {@code cancels} has the argument of each call to {@link AttemptHandle#cancel}. */
    record FakeAttempt(AttemptSpec spec, AttemptListener listener, List<Boolean> cancels) {}

    final FakeFleet fleet = new FakeFleet();
    final List<Event> handled = new ArrayList<>();
    final Map<String, List<Answer>> answers = new LinkedHashMap<>();
    final Map<String, FakeAttempt> inFlight = new LinkedHashMap<>(); // by trace id
    final Dispatcher dispatcher;
    private final List<Action> nextActions = new ArrayList<>();
    private final TimerQueue timers = new TimerQueue();
    private Instant now = Instant.EPOCH;

    DispatcherFixture() {
        dispatcher = new Dispatcher(
                this,
                this,
                SETTINGS,
                new PlatformNames(List.of("lookup", "load"), List.of(), List.of(), List.of()),
                this,
                fleet,
                1);
        dispatcher.endpointListReceived(new EndpointListEvent(1, true, List.of(), List.of()));
        dispatcher.processEvents();
        handled.clear();
    }

    /** Submits a query whose answers are collected under its trace id. */
    Dispatcher.PendingQuery submit(String trace, int classIndex, String tenant) {
        Query query = new Query(
                classIndex == 0 ? "lookup" : "load",
                trace,
                Duration.ofSeconds(2),
                Duration.ZERO,
                0,
                -1,
                new byte[0],
                "",
                false,
                tenant,
                "",
                "",
                "");
        answers.put(trace, new ArrayList<>());
        return dispatcher.submit(query, answers.get(trace)::add);
    }

    /** Runs the end of a turn in which the module returns these actions. */
    void turn(Action... actions) {
        nextActions.addAll(List.of(actions));
        fleet.pendingEvents.add(new TimerFired("turn"));
        dispatcher.processEvents();
    }

    /** Advances the clock and runs the timers that are due. */
    void advance(Duration span) {
        now = now.plus(span);
        timers.runDue(now);
    }

    <T extends Event> List<T> handled(Class<T> kind) {
        return handled.stream().filter(kind::isInstance).map(kind::cast).toList();
    }

    /** The id of a request in the decision module. */
    String id(String trace) {
        return handled(RequestReceived.class).stream()
                .map(RequestReceived::id)
                .filter(i -> i.startsWith(trace + "-"))
                .findFirst()
                .orElseThrow();
    }

    @Override
    public void handle(long nowUs, Event event, Consumer<Action> actions) {
        handled.add(event);
        List<Action> decided = List.copyOf(nextActions);
        nextActions.clear();
        decided.forEach(actions);
    }

    @Override
    public Instant now() {
        return now;
    }

    @Override
    public TimerQueue.Timer schedule(Instant at, Runnable task) {
        return timers.schedule(at, task);
    }

    @Override
    public void requestTurn() {
        // the test runs the turns
    }

    @Override
    public void updateEngine(
            String id, InetSocketAddress address, Instant startedAt, boolean available, boolean removed) {
        // every engine is available
    }

    @Override
    public void retainEngines(Set<String> ids) {
        // every engine is available
    }

    @Override
    public boolean isAvailable(String id) {
        return true;
    }

    @Override
    public AttemptHandle startAttempt(String engine, AttemptSpec spec, AttemptListener listener) {
        FakeAttempt attempt = new FakeAttempt(spec, listener, new ArrayList<>());
        inFlight.put(spec.traceId(), attempt);
        return new AttemptHandle() {
            @Override
            public void cancel(boolean requestOver) {
                attempt.cancels.add(requestOver);
            }

            @Override
            public void setPriority(int priority) {
                // no query is running
            }
        };
    }

    @Override
    public void checkHealth(String engine, Consumer<HealthCheckResult> then) {
        throw new IllegalStateException("no health check is expected");
    }

    @Override
    public boolean hasNoPendingCancels() {
        return inFlight.isEmpty();
    }
}
