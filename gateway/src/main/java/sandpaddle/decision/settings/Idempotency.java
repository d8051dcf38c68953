package sandpaddle.decision.settings;

/** Effect of running a request of a class more than once. */
public enum Idempotency {
    /** A second run has no further effect. */
    IDEMPOTENT,
    /** Engines drop a second run by its idempotency key, for a time and within a scope. */
    WITH_KEY,
    /** A second run has a second effect. */
    NOT_IDEMPOTENT
}
