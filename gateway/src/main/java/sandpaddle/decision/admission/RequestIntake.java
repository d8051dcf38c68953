package sandpaddle.decision.admission;

import java.util.SplittableRandom;
import sandpaddle.decision.completion.RequestCompletion;
import sandpaddle.decision.event.RequestReceived;
import sandpaddle.decision.loadview.ArrivalRate;
import sandpaddle.decision.loadview.Estimators;
import sandpaddle.decision.loadview.LoadSignals;
import sandpaddle.decision.model.EventContext;
import sandpaddle.decision.model.PendingRequest;
import sandpaddle.decision.model.PendingRequests;
import sandpaddle.decision.retry.KeyOrdering;
import sandpaddle.decision.retry.RetryBudget;
import sandpaddle.decision.settings.DecisionSettings;
import sandpaddle.decision.settings.RequestClass;

/** Queues received requests, and rejects sheddable ones that cannot be sent immediately. */
public final class RequestIntake {
    private final DecisionSettings settings;
    private final EventContext context;
    private final SplittableRandom random;
    private final PendingRequests requests;
    private final ArrivalRate arrivals;
    private final Estimators estimators;
    private final KeyOrdering keyOrdering;
    private final RetryBudget retryBudget;
    private final EngineSelector selector;
    private final RequestCompletion completion;
    private long nextSequence;

    /** Creates an intake; {@code random} provides the random number of each request. */
    public RequestIntake(
            DecisionSettings settings,
            EventContext context,
            SplittableRandom random,
            PendingRequests requests,
            LoadSignals load,
            KeyOrdering keyOrdering,
            RetryBudget retryBudget,
            EngineSelector selector,
            RequestCompletion completion) {
        this.settings = settings;
        this.context = context;
        this.random = random;
        this.requests = requests;
        this.keyOrdering = keyOrdering;
        this.retryBudget = retryBudget;
        this.selector = selector;
        this.completion = completion;
        arrivals = load.arrivals();
        estimators = load.estimators();
    }

    /** Queues a request; a request whose id is already pending is ignored. */
    public void receive(RequestReceived event) {
        if (requests.contains(event.id())) {
            return;
        }
        retryBudget.recordRequest();
        arrivals.recordArrival();
        PendingRequest request = create(event);
        requests.add(request);
        keyOrdering.add(request);
        if (event.sheddable() && !canRunAtOnce(request)) {
            completion.giveUp(request);
        }
    }

    private PendingRequest create(RequestReceived event) {
        RequestClass requestClass = settings.classes().get(event.classIndex());
        long expiresAtUs = context.nowUs() + event.expiresInUs();
        double unloadedLatencyUs = estimators.expectedWorkUs(event) / requestClass.threads();
        long objectiveAtUs = context.nowUs()
                + requestClass.latencyObjectiveUs()
                + (long) (requestClass.objectiveStretch() * unloadedLatencyUs);
        long dueAtUs = Math.min(expiresAtUs, objectiveAtUs);
        long sequence = nextSequence++;
        return new PendingRequest(event, requestClass, sequence, expiresAtUs, dueAtUs, random.nextDouble());
    }

    /** Whether a request delays no other: it is at the head of the queue, and an engine has spare capacity for it. */
    private boolean canRunAtOnce(PendingRequest request) {
        return requests.isFirst(request) && selector.hasUnloadedEngine(request);
    }
}
