package sandpaddle.decision.admission;

import sandpaddle.decision.action.SendAttempt;
import sandpaddle.decision.action.SetAttemptOptions;
import sandpaddle.decision.concurrency.ConcurrencyLimits;
import sandpaddle.decision.concurrency.OverloadDetector;
import sandpaddle.decision.loadview.Estimators;
import sandpaddle.decision.loadview.InFlightLoad;
import sandpaddle.decision.loadview.LoadSignals;
import sandpaddle.decision.model.Attempt;
import sandpaddle.decision.model.EngineState;
import sandpaddle.decision.model.EventContext;
import sandpaddle.decision.model.PendingRequest;
import sandpaddle.decision.outlier.SilenceDetector;
import sandpaddle.decision.quota.QuotaCheck;
import sandpaddle.decision.retry.RetryPolicy;
import sandpaddle.decision.settings.EngineFeatures;
import sandpaddle.decision.slowstart.SlowStart;

/** Sends an attempt to the selected engine with its timeout, priority and memory grant, and updates all counters. */
public final class AttemptSender {
    /** Multiple of the expected latency before an attempt may be abandoned; about 1 % of queries take as long. */
    private static final double MIN_LATENCIES_BEFORE_ABANDONING = 6;
    /** Memory grant as a multiple of the expected memory, to allow for its variance. */
    private static final double GRANT_MULTIPLE = 1.15;

    /** Priority of the class with the highest priority weight per work; priorities are from 0 to 3. */
    private static final int HIGH_PRIORITY = 3;
    /** Priority of the other classes. */
    private static final int NORMAL_PRIORITY = 1;

    private final EventContext context;
    private final EngineFeatures features;
    private final Estimators estimators;
    private final InFlightLoad inFlightLoad;
    private final SlowStart slowStart;
    private final ConcurrencyLimits limits;
    private final OverloadDetector overload;
    private final RetryPolicy retryPolicy;
    private final QuotaCheck quotaCheck;

    /** Creates a sender from the parts that it updates. */
    public AttemptSender(
            EventContext context,
            EngineFeatures features,
            LoadSignals load,
            SlowStart slowStart,
            ConcurrencyLimits limits,
            OverloadDetector overload,
            RetryPolicy retryPolicy,
            QuotaCheck quotaCheck) {
        this.context = context;
        this.features = features;
        this.slowStart = slowStart;
        this.limits = limits;
        this.overload = overload;
        this.retryPolicy = retryPolicy;
        this.quotaCheck = quotaCheck;
        estimators = load.estimators();
        inFlightLoad = load.inFlightLoad();
    }

    /** Sends an attempt of a request to an engine. */
    public void send(PendingRequest request, EngineState engine) {
        overload.recordSend(request, engine);
        slowStart.recordSend(request, engine);
        long expectedUs = estimators.expectedLatencyUs(request);
        Attempt attempt = new Attempt(request, engine, request.attempts(), context.nowUs(), expectedUs);
        double grantMb = features.memoryGrants() ? estimators.expectedMemoryMb(request) * GRANT_MULTIPLE : 0;
        request.startAttempt(attempt, grantMb);
        inFlightLoad.startAttempt(attempt);
        quotaCheck.recordStart(request, engine);
        emit(attempt, grantMb);
    }

    private void emit(Attempt attempt, double grantMb) {
        PendingRequest request = attempt.request();
        EngineState engine = attempt.engine();
        int priority = priority(request.classIndex());
        if (grantMb > 0 || priority != NORMAL_PRIORITY) {
            context.emit(new SetAttemptOptions(request.id(), priority, grantMb));
        }
        boolean trial = isAnyUnresponsive(engine, request.classIndex());
        long timeoutUs = timeoutUs(request, attempt.expectedUs());
        long writeDeadlineUs = retryPolicy.writeDeadlineUs(request);
        context.emit(new SendAttempt(request.id(), engine.id(), timeoutUs, trial, writeDeadlineUs));
    }

    private int priority(int classIndex) {
        boolean high = features.priorities() && estimators.hasHighestWeightPerWork(classIndex);
        return high ? HIGH_PRIORITY : NORMAL_PRIORITY;
    }

    /** An engine that is on trial because of errors is reachable, so only unresponsive scopes count. */
    private static boolean isAnyUnresponsive(EngineState engine, int classIndex) {
        return engine.health().isUnresponsive()
                || engine.zoneHealth().isUnresponsive()
                || engine.classHealth(classIndex).isUnresponsive();
    }

    /**
     * Returns the timeout (us). Where an attempt may be abandoned, it ends early enough for a retry to be answered when
     * due, which protects against lost answers and unresponsive engines. A heavy query that is abandoned has to run
     * again from the start, so this is done only while answers are fast.
     */
    private long timeoutUs(PendingRequest request, long expectedUs) {
        long untilExpiryUs = request.expiresAtUs() - context.nowUs();
        long untilLastRetryUs = request.dueAtUs() - context.nowUs() - expectedUs;
        boolean mayAbandon =
                estimators.hasBaseline(request) && retryPolicy.allowsAbandoning(request) && limits.areAnswersFast();
        double minUs = Math.max(SilenceDetector.MIN_OVERDUE_US, MIN_LATENCIES_BEFORE_ABANDONING * expectedUs);
        return mayAbandon && untilLastRetryUs > minUs ? Math.min(untilExpiryUs, untilLastRetryUs) : untilExpiryUs;
    }
}
