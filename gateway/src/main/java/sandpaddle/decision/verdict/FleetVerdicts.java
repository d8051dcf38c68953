package sandpaddle.decision.verdict;

import static java.util.stream.Collectors.groupingBy;

import java.util.List;
import java.util.Map;
import sandpaddle.decision.event.EngineCondition;
import sandpaddle.decision.event.EngineVerdict;
import sandpaddle.decision.event.EngineVerdictsChanged;
import sandpaddle.decision.model.EngineState;
import sandpaddle.decision.model.EventContext;

/** Verdicts of the fleet on engines, each in force until it expires. */
public final class FleetVerdicts {
    private final EventContext context;
    private Map<String, List<EngineVerdict>> byEngine = Map.of();

    /** Creates an empty set of verdicts. */
    public FleetVerdicts(EventContext context) {
        this.context = context;
    }

    /** Replaces all verdicts. */
    public void replace(EngineVerdictsChanged event) {
        byEngine = event.verdicts().stream().collect(groupingBy(EngineVerdict::engine));
    }

    /**
     * Returns the time since which the latest verdict in force states a condition (us), or {@link EventContext#NEVER}.
     */
    public long sinceUs(String id, EngineCondition condition) {
        List<EngineVerdict> verdicts = byEngine.get(id);
        if (verdicts == null) {
            return EventContext.NEVER;
        }
        long sinceUs = EventContext.NEVER;
        for (EngineVerdict verdict : verdicts) {
            if (verdict.condition() == condition && context.nowUs() < verdict.untilUs()) {
                sinceUs = Math.max(sinceUs, verdict.sinceUs());
            }
        }
        return sinceUs;
    }

    /** Whether a verdict in force states a condition of an engine. */
    public boolean has(EngineState engine, EngineCondition condition) {
        return sinceUs(engine.id(), condition) > EventContext.NEVER;
    }
}
