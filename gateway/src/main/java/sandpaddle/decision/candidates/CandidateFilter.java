package sandpaddle.decision.candidates;

import java.util.ArrayList;
import java.util.List;
import sandpaddle.decision.event.EngineCondition;
import sandpaddle.decision.model.EngineRegistry;
import sandpaddle.decision.model.EngineState;
import sandpaddle.decision.model.EventContext;
import sandpaddle.decision.model.HealthScope;
import sandpaddle.decision.model.PendingRequest;
import sandpaddle.decision.outlier.EjectionPolicy;
import sandpaddle.decision.quota.QuotaCheck;
import sandpaddle.decision.retry.RetryPolicy;
import sandpaddle.decision.slowstart.SlowStart;
import sandpaddle.decision.verdict.FleetVerdicts;

/**
 * Determines the engines that a request may be sent to: by placement, deduplication, draining, slow start, health and
 * quotas. In LBQP (see {@link sandpaddle.decision.balancing.LeastLoadBalancer}) this is the set of sites that hold a
 * copy of the data. Concurrency limits are applied afterwards.
 */
public final class CandidateFilter {
    /** Share of healthy cores below which health is ignored, since a common cause may make all engines look faulty. */
    private static final double PANIC_THRESHOLD = 0.5;

    private final EventContext context;
    private final EngineRegistry engines;
    private final FleetVerdicts verdicts;
    private final SlowStart slowStart;
    private final RetryPolicy retryPolicy;
    private final EjectionPolicy ejection;
    private final QuotaCheck quotaCheck;

    /** Creates a filter from the parts that it depends on. */
    public CandidateFilter(
            EventContext context,
            EngineRegistry engines,
            FleetVerdicts verdicts,
            SlowStart slowStart,
            RetryPolicy retryPolicy,
            EjectionPolicy ejection,
            QuotaCheck quotaCheck) {
        this.context = context;
        this.engines = engines;
        this.verdicts = verdicts;
        this.slowStart = slowStart;
        this.retryPolicy = retryPolicy;
        this.ejection = ejection;
        this.quotaCheck = quotaCheck;
    }

    /** Returns the engines that a request may be sent to, in a list that the caller may modify. */
    public List<EngineState> candidates(PendingRequest request) {
        List<EngineState> permitted = new ArrayList<>();
        List<EngineState> healthy = new ArrayList<>();
        double cores = 0;
        double healthyCores = 0;
        for (EngineState engine : engines.up()) {
            if (!isPermitted(request, engine)) {
                continue;
            }
            List<HealthScope> scopes = engine.healthScopes(request.classIndex());
            cores += engine.cores();
            healthyCores += isAnyUnhealthy(scopes) ? 0 : engine.cores();
            if (slowStart.allows(request, engine)) {
                permitted.add(engine);
                if (isAdmittedByAll(scopes, request)) {
                    healthy.add(engine);
                }
            }
        }
        if (healthyCores < PANIC_THRESHOLD * cores) {
            permitted.removeIf(engine -> isUnreachable(engine, request));
            return withinQuotas(permitted, request);
        }
        return withinQuotas(healthy, request);
    }

    private boolean isPermitted(PendingRequest request, EngineState engine) {
        return request.requestClass().permits(engine.entry())
                && retryPolicy.allowsEngine(request, engine)
                && !verdicts.has(engine, EngineCondition.DRAINING);
    }

    private boolean isAnyUnhealthy(List<HealthScope> scopes) {
        for (HealthScope scope : scopes) {
            if (ejection.isUnhealthy(scope)) {
                return true;
            }
        }
        return false;
    }

    private boolean isAdmittedByAll(List<HealthScope> scopes, PendingRequest request) {
        for (HealthScope scope : scopes) {
            if (!ejection.admits(scope, request)) {
                return false;
            }
        }
        return true;
    }

    /** Whether an engine is known not to answer, which counts even below the panic threshold. */
    private boolean isUnreachable(EngineState engine, PendingRequest request) {
        HealthScope health = engine.health();
        return health.isUnresponsive() && context.nowUs() < health.ejectedUntilUs()
                || isExcludedAsUnresponsive(engine.zoneHealth(), request)
                || isExcludedAsUnresponsive(engine.classHealth(request.classIndex()), request);
    }

    private boolean isExcludedAsUnresponsive(HealthScope scope, PendingRequest request) {
        return scope.isUnresponsive() && !ejection.admits(scope, request);
    }

    /** Removes engines that exceed a quota, and for a retry the previous engine if there is another. */
    private List<EngineState> withinQuotas(List<EngineState> candidates, PendingRequest request) {
        candidates.removeIf(engine -> !quotaCheck.allows(request, engine));
        if (candidates.size() > 1 && request.isRetry()) {
            candidates.remove(request.lastEngine());
        }
        return candidates;
    }
}
