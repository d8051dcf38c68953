package sandpaddle.decision.completion;

import sandpaddle.decision.concurrency.ConcurrencyLimits;
import sandpaddle.decision.concurrency.OverloadDetector;
import sandpaddle.decision.event.AttemptEnded;
import sandpaddle.decision.event.AttemptResult;
import sandpaddle.decision.event.ProgressReported;
import sandpaddle.decision.event.ProgressTopic;
import sandpaddle.decision.loadview.Estimators;
import sandpaddle.decision.loadview.InFlightLoad;
import sandpaddle.decision.loadview.LoadSignals;
import sandpaddle.decision.loadview.LoadView;
import sandpaddle.decision.model.Attempt;
import sandpaddle.decision.model.EngineState;
import sandpaddle.decision.model.EventContext;
import sandpaddle.decision.model.PendingRequest;
import sandpaddle.decision.outlier.OutlierDetection;
import sandpaddle.decision.outlier.SilenceDetector;
import sandpaddle.decision.slowstart.SlowStart;

/** Records outcomes and progress of attempts in the estimates, the concurrency limits and the health of engines. */
public final class AttemptOutcomes {
    /**
     * Time for which threads of an ended attempt that may still be running count, as a multiple of its mean latency.
     */
    private static final double RETAINED_LATENCIES = 2.0;

    private final EventContext context;
    private final Estimators estimators;
    private final LoadView loadView;
    private final InFlightLoad inFlightLoad;
    private final SlowStart slowStart;
    private final ConcurrencyLimits limits;
    private final OverloadDetector overload;
    private final OutlierDetection outliers;
    private final SilenceDetector silence;
    private final boolean canCancel;

    /** Creates a recorder from the parts that it updates. */
    public AttemptOutcomes(
            EventContext context,
            LoadSignals load,
            SlowStart slowStart,
            ConcurrencyLimits limits,
            OverloadDetector overload,
            OutlierDetection outliers,
            SilenceDetector silence,
            boolean canCancel) {
        this.context = context;
        this.slowStart = slowStart;
        this.limits = limits;
        this.overload = overload;
        this.outliers = outliers;
        this.silence = silence;
        this.canCancel = canCancel;
        estimators = load.estimators();
        loadView = load.loadView();
        inFlightLoad = load.inFlightLoad();
    }

    /** Records the end of an attempt. */
    public void record(Attempt attempt, AttemptEnded event) {
        EngineState engine = attempt.engine();
        if (loadView.receive(engine, event.loadReport(), reportedAtUs(attempt, event))) {
            slowStart.adjustRate(engine);
        }
        if (event.result() == AttemptResult.OK) {
            recordSuccess(attempt, event);
        } else {
            recordFailure(attempt, event.result());
        }
        if (mayRunOn(event.result())) {
            long retainedUs = (long) (RETAINED_LATENCIES * estimators.classLatencyUs(attempt.request()));
            inFlightLoad.retainThreads(attempt, context.nowUs() + retainedUs);
        } else {
            inFlightLoad.releaseThreads(attempt);
        }
    }

    private long reportedAtUs(Attempt attempt, AttemptEnded event) {
        long nowUs = context.nowUs();
        return event.elapsedUs() > 0 ? Math.min(nowUs, attempt.sentAtUs() + event.elapsedUs()) : nowUs;
    }

    private void recordSuccess(Attempt attempt, AttemptEnded event) {
        PendingRequest request = attempt.request();
        outliers.recordSuccess(attempt.engine(), request.classIndex());
        long sinceSentUs = Math.max(1, context.nowUs() - attempt.sentAtUs());
        double latencyUs = event.elapsedUs() > 0 ? event.elapsedUs() : sinceSentUs;
        limits.recordLatency(attempt, latencyUs, true);
        if (request.missingMb() == 0) {
            estimators.recordMemoryShortfall(request);
        }
        estimators.recordCost(request, event, latencyUs);
    }

    private void recordFailure(Attempt attempt, AttemptResult result) {
        EngineState engine = attempt.engine();
        PendingRequest request = attempt.request();
        if (result.neverRan()) {
            slowStart.recordNeverRan(request, engine);
        }
        switch (result) {
            case QUEUE_FULL -> overload.recordQueueFull(engine);
            case ERROR -> {
                outliers.recordError(engine, request);
                outliers.recordAnswer(engine, request.classIndex());
            }
            case RESET -> outliers.recordError(engine, request);
            case CONNECT_FAILED -> outliers.recordUnreachable(engine);
            case TIMEOUT -> recordTimeout(attempt);
            default -> {
                // a cancelled attempt says nothing about its engine
            }
        }
    }

    /** While answers are fast, a timeout means a lost answer and is no sample of the latency. */
    private void recordTimeout(Attempt attempt) {
        if (silence.isOverdue(attempt)) {
            outliers.recordTimeout(attempt);
        }
        if (!limits.areAnswersFast()) {
            limits.recordLatency(attempt, context.nowUs() - attempt.sentAtUs() + 1, false);
        }
    }

    /**
     * Whether the threads of an ended attempt keep counting for a while: without cancellation its work continues, and
     * an engine that fails attempts immediately must not appear unloaded.
     */
    private boolean mayRunOn(AttemptResult result) {
        boolean notCancelled = !canCancel && (result == AttemptResult.TIMEOUT || result == AttemptResult.CANCELLED);
        return notCancelled || result == AttemptResult.ERROR;
    }

    /** Records the progress of the attempt in flight; its first report of missing memory adjusts later grants. */
    public void recordProgress(PendingRequest request, ProgressReported event) {
        request.recordProgress(context.nowUs());
        if (event.topic() == ProgressTopic.MISSING_MEMORY && request.missingMb() == 0) {
            request.recordMissingMemory(event.value());
            estimators.recordMemoryShortfall(request);
        }
    }
}
