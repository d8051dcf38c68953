package sandpaddle.decision.event;

/**
 * A verdict of the fleet: a condition of an engine, derived from the evidence of all gateways. Times are those of
 * {@link sandpaddle.decision.DecisionModule#handle}.
 *
 * @param engine the engine's id
 * @param condition the condition of the engine
 * @param sinceUs time since which the condition holds
 * @param untilUs time at which the verdict expires unless it is renewed
 */
public record EngineVerdict(String engine, EngineCondition condition, long sinceUs, long untilUs) {}
