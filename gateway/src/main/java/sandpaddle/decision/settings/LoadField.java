package sandpaddle.decision.settings;

/** A field of a load report. */
public enum LoadField {
    /** Running queries of all gateways. */
    IN_FLIGHT,
    /** Queries that are queued for memory. */
    QUEUED,
    /** CPU utilization, from 0 to 1. */
    UTILIZATION,
    /** Latency of recent queries, in milliseconds. */
    LATENCY_MS,
    /** Queries per second. */
    REQUESTS_PER_S,
    /** Failed queries per second. */
    ERRORS_PER_S,
    /** Memory utilization; above 1 where the engine swaps. */
    MEMORY,
    /** Utilization of the disks' throughput, from 0 to 1. */
    DISKS
}
