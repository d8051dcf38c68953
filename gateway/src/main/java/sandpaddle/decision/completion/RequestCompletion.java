package sandpaddle.decision.completion;

import sandpaddle.decision.action.CancelAttempt;
import sandpaddle.decision.action.FailRequest;
import sandpaddle.decision.action.RejectRequest;
import sandpaddle.decision.loadview.Estimators;
import sandpaddle.decision.model.EventContext;
import sandpaddle.decision.model.PendingRequest;
import sandpaddle.decision.model.PendingRequests;
import sandpaddle.decision.model.Sweep;
import sandpaddle.decision.quota.QuotaCheck;
import sandpaddle.decision.retry.KeyOrdering;
import sandpaddle.decision.retry.RetryPolicy;
import sandpaddle.decision.settings.DecisionSettings;
import sandpaddle.decision.settings.DeduplicationScope;
import sandpaddle.decision.settings.Idempotency;
import sandpaddle.decision.settings.RequestClass;

/** Finishes requests: emits the final answer of those that are given up, and removes those that are done. */
public final class RequestCompletion {
    /** Multiple of its expected latency that must remain until a queued request is due; with less, half are late. */
    private static final double MIN_LATENCIES_LEFT = 1.5;
    /** Default Retry-After of a rejected request (us). */
    private static final long RETRY_AFTER_US = 500_000;

    private final EventContext context;
    private final PendingRequests requests;
    private final Estimators estimators;
    private final KeyOrdering keyOrdering;
    private final RetryPolicy retryPolicy;
    private final QuotaCheck quotaCheck;
    private final boolean canCancel;
    private final long maxRetryAfterUs;

    /** Creates a completion from the parts that it informs. */
    public RequestCompletion(
            DecisionSettings settings,
            EventContext context,
            PendingRequests requests,
            Estimators estimators,
            KeyOrdering keyOrdering,
            RetryPolicy retryPolicy,
            QuotaCheck quotaCheck) {
        this.context = context;
        this.requests = requests;
        this.estimators = estimators;
        this.keyOrdering = keyOrdering;
        this.retryPolicy = retryPolicy;
        this.quotaCheck = quotaCheck;
        canCancel = settings.limits().cancel();
        maxRetryAfterUs = settings.limits().retryAfter() ? settings.limits().maxRetryAfterUs() : 0;
    }

    /**
     * Gives up the queued requests that are unlikely to be answered when due, or that the next sweep would find late.
     */
    public void giveUpExpectedLate() {
        for (PendingRequest request : requests.queued()) {
            long neededUs = (long) (MIN_LATENCIES_LEFT * estimators.expectedLatencyUs(request));
            if (context.nowUs() + Math.max(neededUs, Sweep.INTERVAL_US) > request.dueAtUs()) {
                giveUp(request);
            }
        }
    }

    /** Rejects a request if a retry by its client would have no second effect, and fails it otherwise. */
    public void giveUp(PendingRequest request) {
        if (retryPolicy.isWithoutEffect(request) || isDeduplicatedEverywhere(request.requestClass())) {
            long retryAfterUs = quotaCheck.retryAfterUs(request, RETRY_AFTER_US);
            context.emit(new RejectRequest(request.id(), Math.min(maxRetryAfterUs, retryAfterUs)));
        } else {
            context.emit(new FailRequest(request.id()));
        }
        finish(request);
    }

    private static boolean isDeduplicatedEverywhere(RequestClass requestClass) {
        return requestClass.idempotency() == Idempotency.WITH_KEY
                && requestClass.deduplicationScope() == DeduplicationScope.ALL;
    }

    /** Finishes a request whose client has disconnected, and cancels its attempt if the request is idempotent. */
    public void abandon(PendingRequest request) {
        boolean idempotent = request.requestClass().idempotency() == Idempotency.IDEMPOTENT;
        if (request.inFlight() != null && canCancel && idempotent) {
            context.emit(new CancelAttempt(request.id(), request.inFlight().number()));
        }
        finish(request);
    }

    /** Finishes a request; an attempt in flight still counts on its engine and keeps its place in the key's queue. */
    public void finish(PendingRequest request) {
        request.finish();
        requests.dequeue(request);
        if (request.inFlight() == null) {
            requests.remove(request);
            keyOrdering.remove(request);
        }
    }
}
