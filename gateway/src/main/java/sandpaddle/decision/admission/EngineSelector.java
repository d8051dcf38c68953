package sandpaddle.decision.admission;

import java.util.List;
import sandpaddle.decision.balancing.LeastLoadBalancer;
import sandpaddle.decision.candidates.CandidateFilter;
import sandpaddle.decision.concurrency.OverloadDetector;
import sandpaddle.decision.model.EngineRegistry;
import sandpaddle.decision.model.EngineState;
import sandpaddle.decision.model.PendingRequest;
import sandpaddle.decision.slowstart.SlowStart;

/** Selects the engine for a request: filters candidates, applies concurrency limits, and balances the load. */
public final class EngineSelector {
    private final EngineRegistry engines;
    private final SlowStart slowStart;
    private final CandidateFilter candidateFilter;
    private final OverloadDetector overload;
    private final LeastLoadBalancer balancer;

    /** Creates a selector from its steps. */
    public EngineSelector(
            EngineRegistry engines,
            SlowStart slowStart,
            CandidateFilter candidateFilter,
            OverloadDetector overload,
            LeastLoadBalancer balancer) {
        this.engines = engines;
        this.slowStart = slowStart;
        this.candidateFilter = candidateFilter;
        this.overload = overload;
        this.balancer = balancer;
    }

    /** Returns the engine to send a request to, or null where none has capacity. */
    EngineState select(PendingRequest request) {
        List<EngineState> candidates = candidateFilter.candidates(request);
        candidates.removeIf(engine -> !overload.hasCapacity(request, engine));
        return candidates.isEmpty() ? null : balancer.choose(request, candidates);
    }

    /** Whether a request has a warm candidate that is not overloaded and has capacity. */
    boolean hasUnloadedEngine(PendingRequest request) {
        for (EngineState engine : candidateFilter.candidates(request)) {
            if (overload.hasCapacity(request, engine) && !overload.isOverloaded(engine) && slowStart.isWarm(engine)) {
                return true;
            }
        }
        return false;
    }

    /** Whether a request must wait for a turn at an engine that is warming up; lighter ones of its class need not. */
    boolean waitsForTurn(PendingRequest request) {
        for (EngineState engine : engines.up()) {
            if (slowStart.mustWaitForTurn(request, engine)) {
                return true;
            }
        }
        return false;
    }
}
