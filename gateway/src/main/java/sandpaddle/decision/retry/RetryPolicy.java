package sandpaddle.decision.retry;

import sandpaddle.decision.model.EngineState;
import sandpaddle.decision.model.EventContext;
import sandpaddle.decision.model.PendingRequest;
import sandpaddle.decision.settings.DecisionSettings;
import sandpaddle.decision.settings.Idempotency;

/** Decides whether and where a request may be retried without a second effect. */
public final class RetryPolicy {
    /** Number of errors after which the request itself counts as the cause. */
    private static final int MAX_ERRORS = 3;

    private final EventContext context;
    private final RetryBudget budget;
    private final int maxAttempts;

    /** Creates a policy that uses a budget. */
    public RetryPolicy(DecisionSettings settings, EventContext context, RetryBudget budget) {
        this.context = context;
        this.budget = budget;
        maxAttempts = settings.limits().maxAttempts();
    }

    /** Whether a request may have one more attempt, regardless of the retry budget. */
    public boolean allowsAttempt(PendingRequest request) {
        boolean exhausted = request.attempts() >= maxAttempts
                || context.nowUs() >= request.expiresAtUs()
                || request.errors() >= MAX_ERRORS;
        return !exhausted && (isWithoutEffect(request) || isDeduplicated(request));
    }

    /** Whether another run has no second effect: no attempt may have run, or the request is idempotent. */
    public boolean isWithoutEffect(PendingRequest request) {
        return !request.mayHaveRun() || isIdempotent(request);
    }

    /** Whether engines still drop a repeat of the request by its idempotency key. */
    private boolean isDeduplicated(PendingRequest request) {
        return request.requestClass().idempotency() == Idempotency.WITH_KEY
                && context.nowUs() < deduplicatedUntilUs(request);
    }

    private static long deduplicatedUntilUs(PendingRequest request) {
        return request.firstRanAtUs() + request.requestClass().deduplicationWindowUs();
    }

    private static boolean isIdempotent(PendingRequest request) {
        return request.requestClass().idempotency() == Idempotency.IDEMPOTENT;
    }

    /** Returns the time (us) from which an attempt must not be written, even if its connection is established later. */
    public long writeDeadlineUs(PendingRequest request) {
        return isWithoutEffect(request) ? request.expiresAtUs() : deduplicatedUntilUs(request);
    }

    /** Whether a retry may be sent to an engine: a request that may have run stays within its deduplication scope. */
    public boolean allowsEngine(PendingRequest request, EngineState engine) {
        if (isWithoutEffect(request)) {
            return true;
        }
        return isDeduplicated(request)
                && request.requestClass()
                        .deduplicationScope()
                        .isSharedBy(engine.entry(), request.firstRanOn().entry());
    }

    /** Whether the attempt in flight may be abandoned for a retry. */
    public boolean allowsAbandoning(PendingRequest request) {
        return isIdempotent(request) && allowsAttempt(request) && budget.allowsRetry();
    }
}
