package sandpaddle.fleet.pool.model;

/** A phase of the overload controller that the conditions of a policy can refer to. */
public enum Phase {
    /** Normal operation; {@code calm} in the policy language. */
    CALM,
    /** A retry storm; {@code storm} in the policy language. */
    STORM,
    /** Recovery after a retry storm; {@code recovery} in the policy language. */
    RECOVERY
}
