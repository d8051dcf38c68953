package sandpaddle.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import sandpaddle.decision.Micros;
import sandpaddle.decision.event.ClientDisconnected;
import sandpaddle.decision.settings.DecisionSettings;
import sandpaddle.decision.settings.Idempotency;
import sandpaddle.decision.settings.RequestClass;
import sandpaddle.eventloop.Scheduler;
import sandpaddle.query.Answer;
import sandpaddle.query.FleetCoordination;
import sandpaddle.query.Query;

/**
 * The requests that this gateway serves, each until its final answer has been given and no attempt is in flight. Every
 * final answer passes {@link #finish}. Bounded by the setting {@code maxQueued}: callers check {@link #isFull} first.
 *
 * <p>Confined to the event loop's thread.
 */
final class ActiveRequests {
    /**
     * How long after its deadline a request is answered without the decision module if that has not answered it. Less
     * than the 20 ms by which an answer may be late.
     */
    private static final Duration DECISION_GRACE = Duration.ofMillis(8);

    private final Scheduler loop;
    private final DecisionSettings settings;
    private final AdmissionControl admission;
    private final EventQueue events;
    private final FleetCoordination fleet;
    private final Map<String, ActiveRequest> requests = new HashMap<>();
    private final TraceIds traceIds = new TraceIds();
    private final List<ActiveRequest> abandoned = new ArrayList<>();
    private long nextSerial;

    ActiveRequests(
            Scheduler loop,
            DecisionSettings settings,
            AdmissionControl admission,
            EventQueue events,
            FleetCoordination fleet) {
        this.loop = loop;
        this.settings = settings;
        this.admission = admission;
        this.events = events;
        this.fleet = fleet;
    }

    /**
     * Whether the gateway is at its limit of requests.
     *
     * @param pendingElsewhere number of requests that count towards the limit and are not active
     */
    boolean isFull(int pendingElsewhere) {
        return requests.size() + pendingElsewhere >= settings.limits().maxQueued();
    }

    boolean isEmpty() {
        return requests.isEmpty();
    }

    /** Returns the request; null if it is no longer active. */
    ActiveRequest get(String id) {
        return requests.get(id);
    }

    /** The requests with an attempt in flight. */
    List<ActiveRequest> withAttemptInFlight() {
        return requests.values().stream()
                .filter(ActiveRequest::hasAttemptInFlight)
                .toList();
    }

    /** Whether the settings allow an attempt of this number, from 0. */
    boolean isAttemptAllowed(int attempt) {
        return attempt < settings.limits().maxAttempts();
    }

    /** Why a query with this trace id cannot be accepted; null if it can. */
    String traceConflict(String traceId) {
        return traceIds.conflict(traceId, loop.now());
    }

    /** Counts an attempt as running until the returned task runs. */
    Runnable attemptStarted(ActiveRequest request) {
        return traceIds.attemptStarted(request.query().traceId());
    }

    /** Accepts a query whose trace id is in no conflict. */
    ActiveRequest open(Query query, int classIndex, ActiveRequest.Client client) {
        traceIds.opened(query.traceId());
        ActiveRequest request = new ActiveRequest(
                query.traceId() + "-" + nextSerial++,
                query,
                classIndex,
                loop.now(),
                admission.requestReceived(query, classIndex),
                client);
        requests.put(request.id(), request);
        setQueued(request, true);
        RequestLog.received(request, settings.classes().get(classIndex));
        request.setDecisionTimeout(loop.schedule(request.deadline().plus(DECISION_GRACE), () -> {
            RequestLog.decisionTimedOut(request);
            answerWithoutModule(request);
        }));
        return request;
    }

    /** Notifies the fleet when a request starts or stops to wait for an engine without an attempt in flight. */
    void setQueued(ActiveRequest request, boolean queued) {
        if (request.setQueued(queued)) {
            fleet.queuedRequestsChanged(request.classIndex(), request.query().tenant(), queued ? 1 : -1);
        }
    }

    /** The client disconnected: its attempt is cancelled at the end of the turn, and no answer follows. */
    void clientDisconnected(ActiveRequest request) {
        if (!request.isAnswered()) {
            admission.clientDisconnected(request);
            RequestLog.clientDisconnected(request);
            request.close();
            setQueued(request, false);
            abandon(request);
        }
    }

    /** Gives the final answer that the module decided on; no effect if the request is no longer active. */
    void answer(String id, Answer answer) {
        ActiveRequest request = requests.get(id);
        if (request != null) {
            finish(request, answer);
            removeIfDone(request);
        }
    }

    /** Gives the final answer if it is still due. All final answers pass here. */
    void finish(ActiveRequest request, Answer answer) {
        if (!request.isAnswered()) {
            Answer adjusted = admission.requestAnswered(request, answer);
            RequestLog.answered(request, adjusted, loop.now());
            request.answer(adjusted);
            setQueued(request, false);
        }
    }

    /** Gives every request its final answer now: the process is about to end. */
    void answerAll() {
        for (ActiveRequest request : List.copyOf(requests.values())) {
            if (!request.isAnswered()) {
                answerWithoutModule(request);
            }
        }
    }

    private void answerWithoutModule(ActiveRequest request) {
        finish(request, defaultAnswer(request));
        abandon(request);
    }

    /** Returns a rejection if the client may safely retry, otherwise a failure. */
    private Answer defaultAnswer(ActiveRequest request) {
        boolean idempotent = settings.classes().get(request.classIndex()).idempotency() == Idempotency.IDEMPOTENT;
        return idempotent || !request.mayHaveRun() ? new Answer.Rejected(Duration.ZERO) : new Answer.Failed("given up");
    }

    private void abandon(ActiveRequest request) {
        abandoned.add(request);
        events.add(new ClientDisconnected(request.id()));
    }

    /** Cancels the attempts of the requests that ended in this turn without the module. */
    void cancelAbandoned() {
        List<ActiveRequest> ended = List.copyOf(abandoned);
        abandoned.clear();
        ended.forEach(request -> {
            request.cancelAttempt("answered without the module, or its client disconnected");
            removeIfDone(request);
        });
    }

    /** Removes a request that has its answer and no attempt in flight. */
    void removeIfDone(ActiveRequest request) {
        if (request.isAnswered() && !request.hasAttemptInFlight() && requests.remove(request.id()) != null) {
            traceIds.closed(request.query().traceId());
            rememberIfMayHaveRun(request);
        }
    }

    /**
     * A client that was served knows that its request has run; any other may send it again, though it must not run
     * twice.
     */
    private void rememberIfMayHaveRun(ActiveRequest request) {
        RequestClass requestClass = settings.classes().get(request.classIndex());
        if (requestClass.idempotency() == Idempotency.NOT_IDEMPOTENT && request.mayHaveRun() && !request.isServed()) {
            traceIds.spent(request.query().traceId(), loop.now(), Micros.span(requestClass.deadlineUs()));
        }
    }
}
