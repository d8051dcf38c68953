package sandpaddle.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.tinylog.Logger;
import sandpaddle.config.EndpointListEvent;
import sandpaddle.config.PlatformNames;
import sandpaddle.decision.DecisionModule;
import sandpaddle.decision.Micros;
import sandpaddle.decision.action.Action;
import sandpaddle.decision.event.Event;
import sandpaddle.decision.event.RequestReceived;
import sandpaddle.decision.settings.DecisionSettings;
import sandpaddle.decision.settings.Idempotency;
import sandpaddle.decision.settings.RequestClass;
import sandpaddle.eventloop.Scheduler;
import sandpaddle.overload.OverloadSettings;
import sandpaddle.query.Answer;
import sandpaddle.query.EngineClient;
import sandpaddle.query.FleetCoordination;
import sandpaddle.query.Query;
import sandpaddle.query.QueryService;

/**
 * Connects the frontends and the engines through the decision module. Events of a turn are queued; {@link
 * #processEvents()} passes them to the module at the end of the turn and then carries out its actions in their order.
 *
 * <p>Confined to the event loop's thread. A failure of the module on one event is logged and fails the request that
 * the event belongs to; the others are not affected.
 */
public final class Dispatcher implements QueryService {
    /** Limit on the timeout that a client may state, as a multiple of the deadline of its class. */
    private static final long MAX_TIMEOUT_FACTOR = 2;

    private static final PendingQuery ANSWERED = () -> {};

    private final Scheduler loop;
    private final DecisionModule module;
    private final DecisionSettings settings;
    private final PlatformNames names;
    private final FleetCoordination fleet;
    private final AdmissionControl admission;
    private final EventQueue events;
    private final ActiveRequests requests;
    private final StoredAnswerLookups storedAnswerLookups;
    private final EndpointListHandler endpointList;
    private final ActionExecutor executor;
    private CoalescedRuns coalescedRuns; // null until named runs are first enabled
    private boolean namedRunsEnabled;
    private boolean stopping;

    /** Creates a dispatcher of a gateway that shares no state with others. */
    public Dispatcher(
            Scheduler loop,
            DecisionModule module,
            DecisionSettings settings,
            PlatformNames names,
            EngineClient engines,
            long seed) {
        this(loop, module, settings, names, engines, FleetCoordination.NONE, seed);
    }

    /**
     * Creates a dispatcher that knows no engines yet.
     *
     * @param loop gives the time and runs timers
     * @param module decides on requests
     * @param settings the settings that the module was created with
     * @param names names of the request classes and load report fields in the settings
     * @param engines runs attempts
     * @param fleet state shared with other gateways
     * @param seed for random draws outside the module
     */
    public Dispatcher(
            Scheduler loop,
            DecisionModule module,
            DecisionSettings settings,
            PlatformNames names,
            EngineClient engines,
            FleetCoordination fleet,
            long seed) {
        this.loop = loop;
        this.module = module;
        this.settings = settings;
        this.names = names;
        this.fleet = fleet;
        admission = new AdmissionControl(loop, settings, seed);
        events = new EventQueue(loop, names.loadReportFields());
        requests = new ActiveRequests(loop, settings, admission, events, fleet);
        storedAnswerLookups = new StoredAnswerLookups(fleet);
        endpointList = new EndpointListHandler(loop, engines, admission, fleet, events);
        AttemptRunner attempts = new AttemptRunner(loop, engines, fleet, admission, requests, events);
        executor = new ActionExecutor(loop, engines, fleet, requests, events, attempts);
    }

    /** Applies the operator's settings. Named runs are retained while the feature is disabled. */
    public void applySettings(OverloadSettings next) {
        admission.applySettings(next);
        namedRunsEnabled = next.loadDeduplication().enabled();
        if (coalescedRuns != null) {
            coalescedRuns.applySettings(next.loadDeduplication());
        } else if (namedRunsEnabled) {
            coalescedRuns = new CoalescedRuns(loop, next.loadDeduplication());
        }
    }

    /** Applies an event of the endpoint list. On return no attempt is started that the list forbids. */
    public void endpointListReceived(EndpointListEvent event) {
        endpointList.eventReceived(event);
    }

    // ---- Requests.

    @Override
    public boolean isReady() {
        return endpointList.hasFullList();
    }

    @Override
    public Optional<Duration> connectionOpened() {
        return admission.connectionOpened();
    }

    @Override
    public Duration retryAfterWhenFull() {
        return admission.retryAfterWhenFull();
    }

    @Override
    public PendingQuery submit(
            Query received, Duration waited, BooleanSupplier connectionCheck, Consumer<Answer> callback) {
        Query query = received.withTimeout(received.timeout().minus(waited));
        int classIndex = names.requestClasses().indexOf(query.route());
        Answer refusal = validate(query, received.timeout(), classIndex);
        if (refusal != null) {
            callback.accept(refusal);
            return ANSWERED;
        }
        if (isNamedRun(query, classIndex)) {
            return coalescedRuns.submit(
                    query,
                    admission.fingerprint(query, classIndex),
                    Micros.span(settings.classes().get(classIndex).deadlineUs()),
                    callback,
                    (run, runCallback) -> admit(run, classIndex, () -> true, runCallback));
        }
        return admit(query, classIndex, connectionCheck, callback);
    }

    /** Returns the answer to a query that cannot be accepted; null if it can. */
    private Answer validate(Query query, Duration statedTimeout, int classIndex) {
        if (classIndex < 0) {
            return new Answer.Invalid("unknown route '" + query.route() + "'");
        }
        RequestClass requestClass = settings.classes().get(classIndex);
        if (statedTimeout.compareTo(Micros.span(MAX_TIMEOUT_FACTOR * requestClass.deadlineUs())) > 0) {
            return new Answer.Invalid("a patience of " + statedTimeout.toMillis() + " ms is out of range");
        }
        if (stopping || query.timeout().isNegative() || query.timeout().isZero()) {
            return new Answer.Rejected(Duration.ZERO);
        }
        if (!namedRunsEnabled && isNamedRun(query, classIndex)) { // without its name it could run twice
            return new Answer.Invalid("field 'once' is not in use here");
        }
        return null;
    }

    private boolean isNamedRun(Query query, int classIndex) {
        return !query.runName().isEmpty()
                && settings.classes().get(classIndex).idempotency() == Idempotency.NOT_IDEMPOTENT;
    }

    private PendingQuery admit(
            Query query, int classIndex, BooleanSupplier connectionCheck, Consumer<Answer> callback) {
        if (requests.isFull(storedAnswerLookups.size())) {
            callback.accept(new Answer.Rejected(admission.retryAfterWhenFull()));
            return ANSWERED;
        }
        int tenant = fleet.requestReceived(classIndex, query);
        ActiveRequest.Client client = new ActiveRequest.Client(connectionCheck, callback);
        return storedAnswerLookups.findOrElse(
                classIndex, query, callback, () -> openRequest(query, classIndex, tenant, client));
    }

    private PendingQuery openRequest(Query query, int classIndex, int tenant, ActiveRequest.Client client) {
        String conflict = requests.traceConflict(query.traceId());
        if (conflict != null) {
            client.callback().accept(new Answer.Invalid(conflict));
            return ANSWERED;
        }
        ActiveRequest request = requests.open(query, classIndex, client);
        events.add(new RequestReceived(
                request.id(),
                classIndex,
                query.orderingKey().isEmpty() ? null : query.orderingKey(),
                Micros.of(query.timeout()),
                Micros.of(query.estimatedWork()),
                query.memoryMb(),
                query.dataGroup(),
                request.trackedQuery() != null && request.trackedQuery().isFromReturningClient(),
                request.trackedQuery() != null && request.trackedQuery().isSheddable(),
                tenant));
        return () -> requests.clientDisconnected(request);
    }

    /** Gives every request its final answer now, and rejects those that follow: the process is about to end. */
    public void answerAllAndStop() {
        stopping = true;
        storedAnswerLookups.rejectAll();
        requests.answerAll();
    }

    /** Whether no request waits for its answer and no attempt is in flight. */
    public boolean isIdle() {
        return requests.isEmpty() && storedAnswerLookups.size() == 0;
    }

    // ---- The end of a turn.

    /** Requests a turn of the event loop that polls the fleet's events. */
    public void requestFleetPoll() {
        loop.requestTurn();
    }

    /** Passes the queued events to the module and carries out its actions. Called at the end of each turn. */
    public void processEvents() {
        fleet.retryStormChanged(admission.isRetryStormActive());
        List<Event> fleetEvents = fleet.pollEvents();
        if (fleet.hasAttemptsOverQuota()) {
            cancelAttemptsOverQuota();
        }
        List<Event> queued = events.drain();
        if (queued.isEmpty() && fleetEvents.isEmpty()) {
            return;
        }
        List<Action> actions = new ArrayList<>();
        long nowUs = Micros.of(loop.now());
        fleetEvents.forEach(event -> handle(nowUs, event, actions)); // first: no attempt starts on a lapsed quota
        queued.forEach(event -> handle(nowUs, event, actions));
        actions.forEach(executor::execute);
        requests.cancelAbandoned();
    }

    private void handle(long nowUs, Event event, List<Action> actions) {
        try {
            module.handle(nowUs, event, actions::add);
        } catch (RuntimeException fault) {
            Logger.error(fault, "decision module failed on event {}", event);
            if (event instanceof RequestReceived received) {
                requests.answer(received.id(), new Answer.Failed("internal error"));
            }
        }
    }

    /** Cancels the attempts that this gateway's quotas no longer cover, so that the fleet's limits hold. */
    private void cancelAttemptsOverQuota() {
        List<FleetCoordination.InFlightAttempt> inFlight = requests.withAttemptInFlight().stream()
                .map(request -> new FleetCoordination.InFlightAttempt(
                        request.id(), request.classIndex(), request.query().tenant(), request.engine()))
                .toList();
        for (String id : fleet.attemptsOverQuota(inFlight)) {
            ActiveRequest request = requests.get(id);
            if (request != null) {
                request.cancelAttempt("over the fleet's quota");
            }
        }
    }
}
