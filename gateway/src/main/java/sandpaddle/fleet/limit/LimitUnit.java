package sandpaddle.fleet.limit;

/** The unit that a limit is counted in. */
public enum LimitUnit {
    /** Queries that run at engines at one time. */
    RUNNING,
    /** Connections to engines at one time. */
    CONNECTIONS,
    /** Queries or units of work, in thousandths per second. */
    RATE
}
