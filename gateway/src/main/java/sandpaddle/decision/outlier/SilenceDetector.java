package sandpaddle.decision.outlier;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import sandpaddle.decision.action.CancelAttempt;
import sandpaddle.decision.action.LogMessage;
import sandpaddle.decision.model.Attempt;
import sandpaddle.decision.model.EngineRegistry;
import sandpaddle.decision.model.EngineState;
import sandpaddle.decision.model.EventContext;
import sandpaddle.decision.model.HealthScope;
import sandpaddle.decision.model.PendingRequest;
import sandpaddle.decision.retry.RetryPolicy;
import sandpaddle.decision.settings.DecisionSettings;

/**
 * Detects unresponsive scopes, which do not answer while others do: attempts sent there since the last answer or
 * ejection are overdue. Single-engine scopes take several overdue attempts, since a single one may be a heavy query.
 *
 * <p>A zone is unresponsive if two of its engines have overdue attempts, including attempts that timed out: a gateway
 * with little traffic uses each engine too rarely to detect from one engine that a whole zone is cut off. A class on an
 * engine is a scope of its own, since an engine may answer all classes but one. This protects against a lost route to a
 * zone, a zone without power, and lost answers. The cost is that a zone that is only slow may be limited to one query
 * at a time for a few seconds, while the other zones take its load.
 */
public final class SilenceDetector {
    /** Least age of an overdue attempt (us). */
    public static final long MIN_OVERDUE_US = 400_000;

    /** Multiple of its expected latency after which an attempt is overdue. */
    private static final double OVERDUE_MULTIPLE = 4.0;
    /** Number of missed progress reports after which an attempt is lost. */
    private static final int MAX_MISSED_REPORTS = 4;
    /** Overdue attempts from which a scope is unresponsive; a single one may be a heavy query. */
    private static final int MIN_OVERDUE_ATTEMPTS = 2;

    private final EventContext context;
    private final EngineRegistry engines;
    private final OutlierDetection outliers;
    private final EjectionPolicy ejection;
    private final RetryPolicy retryPolicy;
    private final boolean canCancel;
    private final long maxProgressGapUs;

    /** Creates a detector that ejects unresponsive scopes by an ejection policy. */
    public SilenceDetector(
            DecisionSettings settings,
            EventContext context,
            EngineRegistry engines,
            OutlierDetection outliers,
            EjectionPolicy ejection,
            RetryPolicy retryPolicy) {
        this.context = context;
        this.engines = engines;
        this.outliers = outliers;
        this.ejection = ejection;
        this.retryPolicy = retryPolicy;
        canCancel = settings.limits().cancel();
        maxProgressGapUs = settings.features().progressIntervalUs() * MAX_MISSED_REPORTS;
    }

    /** Checks all scopes. After a stall it must not be called before the answers that arrived meanwhile are handled. */
    public void checkAll() {
        for (HealthScope zone : engines.zones()) {
            check(zone);
        }
        for (EngineState engine : engines.up()) {
            if (engine.ownQueries() > 0) {
                check(engine.health());
                checkClasses(engine);
            }
        }
    }

    private void checkClasses(EngineState engine) {
        for (int i = 0; i < engine.classes(); i++) {
            HealthScope scope = engine.classHealth(i);
            if (!scope.inFlight().isEmpty()) {
                check(scope);
            }
        }
    }

    private void check(HealthScope scope) {
        boolean othersAnswered = context.nowUs() - outliers.lastSuccessAtUs() <= MIN_OVERDUE_US;
        if (!othersAnswered) {
            return;
        }
        int overdue = countOverdue(scope);
        boolean stillUnresponsive = overdue > 0 && scope.isUnresponsive();
        if (overdue < MIN_OVERDUE_ATTEMPTS && !stillUnresponsive) {
            return;
        }
        if (!scope.isUnresponsive()) {
            context.emit(new LogMessage("silent " + scope.id() + " overdue " + overdue));
        }
        scope.setUnresponsive(true);
        ejection.eject(scope);
        cancelLost(scope);
    }

    /**
     * Counts overdue attempts sent since the last answer or ejection; for a zone, the engines that have such attempts.
     */
    private int countOverdue(HealthScope scope) {
        long sinceUs = Math.max(scope.lastAnswerAtUs(), scope.ejectedUntilUs() - 1);
        List<Attempt> overdue = new ArrayList<>();
        for (Attempt attempt : scope.timedOut()) {
            if (attempt.sentAtUs() > sinceUs) {
                overdue.add(attempt);
            }
        }
        for (Attempt attempt : scope.inFlight()) {
            if (attempt.sentAtUs() > sinceUs && isLost(scope, attempt)) {
                overdue.add(attempt);
            }
        }
        return scope.kind() == HealthScope.Kind.ZONE ? countEngines(overdue) : overdue.size();
    }

    private static int countEngines(List<Attempt> attempts) {
        Set<EngineState> engines = new HashSet<>();
        for (Attempt attempt : attempts) {
            engines.add(attempt.engine());
        }
        return engines.size();
    }

    /** Cancels attempts lost on an unresponsive scope, so that they are retried elsewhere, if they may be abandoned. */
    private void cancelLost(HealthScope scope) {
        if (!canCancel) {
            return;
        }
        for (Attempt attempt : scope.inFlight()) {
            PendingRequest request = attempt.request();
            boolean open = !request.isCancelRequested() && !request.isFinished();
            if (open && isLost(scope, attempt) && retryPolicy.allowsAbandoning(request)) {
                request.requestCancel();
                context.emit(new CancelAttempt(request.id(), attempt.number()));
            }
        }
    }

    /** A class has few attempts on an engine, so there an attempt that still reports progress is heavy, not lost. */
    private boolean isLost(HealthScope scope, Attempt attempt) {
        boolean hasProgress = attempt.request().lastProgressAtUs() != EventContext.NEVER;
        if (scope.kind() == HealthScope.Kind.ENGINE_CLASS && hasProgress) {
            return isProgressMissing(attempt);
        }
        return isOverdue(attempt);
    }

    /** Whether an attempt takes much longer than expected, or its progress reports have stopped. */
    public boolean isOverdue(Attempt attempt) {
        double maxUs = Math.max(MIN_OVERDUE_US, OVERDUE_MULTIPLE * attempt.expectedUs());
        return context.nowUs() - attempt.sentAtUs() > maxUs || isProgressMissing(attempt);
    }

    /** A running attempt reports progress regardless of its duration, so an attempt without reports is lost. */
    private boolean isProgressMissing(Attempt attempt) {
        if (maxProgressGapUs <= 0) {
            return false;
        }
        long lastSignUs = Math.max(attempt.request().lastProgressAtUs(), attempt.sentAtUs());
        return context.nowUs() - lastSignUs > maxProgressGapUs;
    }
}
