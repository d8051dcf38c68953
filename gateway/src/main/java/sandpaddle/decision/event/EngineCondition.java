package sandpaddle.decision.event;

/** Condition of an engine that a verdict of the fleet states. */
public enum EngineCondition {
    /** The engine answers with errors. */
    FAILING,
    /** The engine does not answer, or cannot be reached. */
    UNRESPONSIVE,
    /** The engine answers more slowly than the others. */
    SLOW,
    /** The engine has started recently and has not reached its full capacity. */
    WARMING_UP,
    /** The engine is about to shut down and must not be sent new attempts. */
    DRAINING
}
