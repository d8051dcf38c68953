package sandpaddle.lab.capacity;

/** The size of the planned fleet, and the budgets that its operators set. */
final class PlannedFleet {
    static final int GATEWAYS = 5_300;
    static final int ENGINES = 8_500;
    /** Assumed as one limit per engine; the operators gave no number. */
    static final int LIMITS = ENGINES;

    static final int CONNECTIONS_PER_GATEWAY = 8_302;
    static final int STATEMENTS_PER_GATEWAY = 1_491;
    static final double CHANGES_PER_SECOND = 0.36;
    static final int CONTROL_MACHINES = 16;
    static final int GATEWAYS_PER_CONTROL_MACHINE = 331;
    static final int ZONES = 6;
    static final int REGIONS = 2;
    static final int GATEWAYS_PER_ZONE = GATEWAYS / ZONES;
    static final int ENGINES_PER_ZONE = (int) Math.round((double) ENGINES / ZONES);
    static final int MACHINE_FAILURES_PER_DAY = 38;
    static final int RESTARTS_PER_DAY = 4_100;

    /** CPU budget of the fleet component of a gateway, in cores. */
    static final double CONTROL_CORES = 0.037;

    /** Memory budget of the fleet component of a gateway, in megabytes. */
    static final double CONTROL_MB = 128;
    /** Network budget of the fleet component of a gateway. */
    static final double CONTROL_BYTES_PER_SECOND = 21_000;
    /** Time within which a change of configuration must be applied everywhere, in milliseconds. */
    static final double CONFIGURATION_MS = 11_000;

    /** Time within which a change of primary must be complete, in milliseconds. */
    static final double PRIMARY_MS = 18_000;

    /** Cores of a deployed gateway. */
    static final double GATEWAY_CORES = 1;

    /** Heap of a deployed gateway, in megabytes. */
    static final double GATEWAY_HEAP_MB = 88;
    /** Total memory of a deployed gateway, in megabytes. */
    static final double GATEWAY_MB = 192;
    /** Limit on open descriptors of a deployed gateway. */
    static final int GATEWAY_DESCRIPTORS = 1_024;

    private PlannedFleet() {}
}
