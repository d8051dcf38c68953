package sandpaddle.decision.admission;

import sandpaddle.decision.completion.RequestCompletion;
import sandpaddle.decision.model.EngineState;
import sandpaddle.decision.model.PendingRequest;
import sandpaddle.decision.model.PendingRequests;
import sandpaddle.decision.quota.QuotaCheck;
import sandpaddle.decision.retry.KeyOrdering;
import sandpaddle.decision.retry.RetryBudget;
import sandpaddle.decision.settings.Idempotency;

/** Sends queued requests, earliest due first, while an engine has capacity for them. */
public final class AdmissionQueue {
    /** Tenant under which all requests count while there are no quotas. */
    private static final int ANY_TENANT = -1;

    private final PendingRequests requests;
    private final KeyOrdering keyOrdering;
    private final RetryBudget retryBudget;
    private final QuotaCheck quotaCheck;
    private final EngineSelector selector;
    private final AttemptSender sender;
    private final RequestCompletion completion;
    private final FullClasses fullClasses;

    /** Creates a queue for a number of classes. */
    public AdmissionQueue(
            int classes,
            PendingRequests requests,
            KeyOrdering keyOrdering,
            RetryBudget retryBudget,
            QuotaCheck quotaCheck,
            EngineSelector selector,
            AttemptSender sender,
            RequestCompletion completion) {
        this.requests = requests;
        this.keyOrdering = keyOrdering;
        this.retryBudget = retryBudget;
        this.quotaCheck = quotaCheck;
        this.selector = selector;
        this.sender = sender;
        this.completion = completion;
        fullClasses = new FullClasses(classes);
    }

    /**
     * Sends each queued request for which an engine has capacity. If there is none, the rest of the request's class is
     * skipped in this pass (while there are quotas: of its class and tenant), so that a long queue costs little.
     */
    public void admit() {
        fullClasses.clear();
        for (PendingRequest request : requests.queued()) {
            if (request.isRetry() && !retryBudget.allowsRetry()) {
                completion.giveUp(request);
            } else if (keyOrdering.isInTurn(request) && !isClassFull(request)) {
                admit(request);
            }
        }
    }

    private void admit(PendingRequest request) {
        EngineState engine = selector.select(request);
        if (engine == null) {
            if (representsClass(request)) {
                fullClasses.setFull(tenant(request), request.classIndex(), request.isRetry());
            }
            return;
        }
        if (request.isRetry()) {
            retryBudget.recordRetry();
        }
        requests.dequeue(request);
        sender.send(request, engine);
    }

    private boolean isClassFull(PendingRequest request) {
        return fullClasses.isFull(tenant(request), request.classIndex(), request.isRetry());
    }

    /** Whether the rest of the class finds no engine either; some retries and heavy queries have fewer candidates. */
    private boolean representsClass(PendingRequest request) {
        boolean idempotent = request.requestClass().idempotency() == Idempotency.IDEMPOTENT;
        return (idempotent || !request.isRetry()) && !selector.waitsForTurn(request);
    }

    private int tenant(PendingRequest request) {
        return quotaCheck.isUnlimited() ? ANY_TENANT : request.request().tenant();
    }
}
