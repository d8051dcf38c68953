package sandpaddle.decision.event;

/** Status of an engine in the engine list. */
public enum EngineStatus {
    /** The engine may be sent new attempts. */
    UP,
    /** The engine finishes its attempts in flight and must not be sent new ones. */
    DRAINING,
    /** The engine is no longer part of the deployment. */
    REMOVED
}
