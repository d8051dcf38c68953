package sandpaddle.decision.completion;

import sandpaddle.decision.event.AttemptEnded;
import sandpaddle.decision.event.ProgressReported;
import sandpaddle.decision.loadview.InFlightLoad;
import sandpaddle.decision.model.Attempt;
import sandpaddle.decision.model.PendingRequest;
import sandpaddle.decision.model.PendingRequests;
import sandpaddle.decision.quota.QuotaCheck;
import sandpaddle.decision.retry.KeyOrdering;
import sandpaddle.decision.retry.RetryPolicy;

/** Completes attempts: records the outcome, then finishes the request, queues it for a retry, or gives it up. */
public final class AttemptCompletion {
    private final PendingRequests requests;
    private final InFlightLoad inFlightLoad;
    private final AttemptOutcomes outcomes;
    private final KeyOrdering keyOrdering;
    private final RetryPolicy retryPolicy;
    private final QuotaCheck quotaCheck;
    private final RequestCompletion completion;

    /** Creates a completion from the parts that it informs. */
    public AttemptCompletion(
            PendingRequests requests,
            InFlightLoad inFlightLoad,
            AttemptOutcomes outcomes,
            KeyOrdering keyOrdering,
            RetryPolicy retryPolicy,
            QuotaCheck quotaCheck,
            RequestCompletion completion) {
        this.requests = requests;
        this.inFlightLoad = inFlightLoad;
        this.outcomes = outcomes;
        this.keyOrdering = keyOrdering;
        this.retryPolicy = retryPolicy;
        this.quotaCheck = quotaCheck;
        this.completion = completion;
    }

    /** Completes an attempt; the event is ignored if the attempt is not in flight. */
    public void end(AttemptEnded event) {
        Attempt attempt = findInFlight(event.id(), event.attempt());
        if (attempt == null) {
            return;
        }
        PendingRequest request = attempt.request();
        request.endAttempt(event.result());
        inFlightLoad.endAttempt(attempt);
        quotaCheck.recordEnd(request, attempt.engine());
        outcomes.record(attempt, event);
        keyOrdering.pauseAfter(request, event.result());
        if (event.settled() || request.isFinished()) {
            completion.finish(request);
        } else if (retryPolicy.allowsAttempt(request)) {
            requests.requeue(request);
        } else {
            completion.giveUp(request);
        }
    }

    /** Records the progress of an attempt; the event is ignored if the attempt is not in flight. */
    public void recordProgress(ProgressReported event) {
        Attempt attempt = findInFlight(event.id(), event.attempt());
        if (attempt != null) {
            outcomes.recordProgress(attempt.request(), event);
        }
    }

    private Attempt findInFlight(String id, int number) {
        PendingRequest request = requests.find(id);
        Attempt attempt = request == null ? null : request.inFlight();
        return attempt != null && attempt.number() == number ? attempt : null;
    }
}
