package sandpaddle.decision.outlier;

import sandpaddle.decision.event.EngineCondition;
import sandpaddle.decision.loadview.ArrivalRate;
import sandpaddle.decision.model.Attempt;
import sandpaddle.decision.model.EventContext;
import sandpaddle.decision.model.HealthScope;
import sandpaddle.decision.model.PendingRequest;
import sandpaddle.decision.settings.Idempotency;
import sandpaddle.decision.verdict.FleetVerdicts;

/**
 * Ejects health scopes with exponential backoff, and decides which requests they may be sent. After its ejection a
 * scope is on trial, the half-open state of a circuit breaker: one query at a time is sent there until it answers and
 * its error rate is low.
 */
public final class EjectionPolicy {
    /** Error rate above the fleet's from which a scope is on trial. */
    private static final double TRIAL_ERROR_RATE = 0.12;
    /** Weight of one outcome in the error rate of a scope; two consecutive errors lead to an ejection. */
    private static final double OUTCOME_WEIGHT = 0.2;
    /** Weight of one outcome in the fleet's error rate. */
    private static final double FLEET_OUTCOME_WEIGHT = 0.02;
    /** Duration of the first ejection (us); it doubles with each further one. */
    private static final long MIN_EJECTION_US = 500_000;
    /** Greatest duration of an ejection by doubling (us), the longest that an engine which has recovered waits. */
    private static final long MAX_EJECTION_US = 4_000_000;
    /** Own queries per trial: trials cost a few percent of the queries at most. */
    private static final double QUERIES_PER_TRIAL = 20;

    private final EventContext context;
    private final ArrivalRate arrivals;
    private final FleetVerdicts verdicts;
    private double fleetErrorRate;

    /** Creates a policy; no scope is ejected. */
    public EjectionPolicy(EventContext context, ArrivalRate arrivals, FleetVerdicts verdicts) {
        this.context = context;
        this.arrivals = arrivals;
        this.verdicts = verdicts;
    }

    /** Adds an outcome, 1 for an error and 0 for a success, to the error rates of its scope and of the fleet. */
    void recordOutcome(HealthScope scope, int error) {
        scope.recordOutcome(error, OUTCOME_WEIGHT);
        fleetErrorRate += FLEET_OUTCOME_WEIGHT * (error - fleetErrorRate);
    }

    /** Returns the error rate minus the fleet's, since errors that all engines return do not indicate an outlier. */
    double relativeErrorRate(HealthScope scope) {
        return scope.errorRate() - fleetErrorRate;
    }

    /**
     * Ejects a scope unless it is ejected already. A trial may cost a query, so with little traffic trials are rare.
     */
    void eject(HealthScope scope) {
        if (context.nowUs() >= scope.ejectedUntilUs()) {
            long trialIntervalUs = (long) (QUERIES_PER_TRIAL * 1e6 / (1 + arrivals.perSecond()));
            scope.ejectUntil(context.nowUs() + Math.max(scope.ejectionTimeUs(), trialIntervalUs));
            scope.setEjectionTimeUs(Math.min(2 * scope.ejectionTimeUs(), MAX_EJECTION_US));
        }
    }

    /** Records that a scope answers again; the next ejection is short again if its error rate is low. */
    void readmit(HealthScope scope) {
        scope.setUnresponsive(false);
        if (relativeErrorRate(scope) < TRIAL_ERROR_RATE) {
            scope.setEjectionTimeUs(MIN_EJECTION_US);
        }
    }

    /** Ends the ejection of a scope whose engine has restarted. */
    void readmitNow(HealthScope scope) {
        scope.ejectUntil(context.nowUs());
        readmit(scope);
    }

    private boolean isOnTrial(HealthScope scope) {
        return scope.isUnresponsive() || relativeErrorRate(scope) >= TRIAL_ERROR_RATE;
    }

    /**
     * Whether a fleet verdict states that an engine has been faulty since its last successful answer to this gateway.
     * It gets no trials, since otherwise each of many gateways would lose a query to learn the same.
     */
    private boolean isFaultyByVerdict(HealthScope scope) {
        long failingUs = verdicts.sinceUs(scope.id(), EngineCondition.FAILING);
        long unresponsiveUs = verdicts.sinceUs(scope.id(), EngineCondition.UNRESPONSIVE);
        long sinceUs = Math.max(failingUs, unresponsiveUs);
        return sinceUs > EventContext.NEVER && scope.lastSuccessAtUs() <= sinceUs;
    }

    /** Whether a scope is ejected or on trial. */
    public boolean isUnhealthy(HealthScope scope) {
        return context.nowUs() < scope.ejectedUntilUs() || isOnTrial(scope) || isFaultyByVerdict(scope);
    }

    /**
     * Whether a request may be sent to a scope. A scope on trial gets one query at a time, and no request that cannot
     * be retried, except where the scope is a class, which no other request could try. Attempts sent before the end of
     * the ejection do not count as trials.
     */
    public boolean admits(HealthScope scope, PendingRequest request) {
        if (context.nowUs() < scope.ejectedUntilUs() || isFaultyByVerdict(scope)) {
            return false;
        }
        if (!isOnTrial(scope)) {
            return true;
        }
        boolean mayTry = request.requestClass().idempotency() != Idempotency.NOT_IDEMPOTENT
                || scope.kind() == HealthScope.Kind.ENGINE_CLASS;
        return mayTry && !hasTrialInFlight(scope);
    }

    private static boolean hasTrialInFlight(HealthScope scope) {
        for (Attempt attempt : scope.inFlight()) {
            if (attempt.sentAtUs() >= scope.ejectedUntilUs()) {
                return true;
            }
        }
        return false;
    }
}
