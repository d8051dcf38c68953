package sandpaddle.fleet.pool.model;

/** Limits of a policy file, which bound the cost of parsing, checking and evaluating it. */
public final class PolicyLimits {
    /** Size of the file in bytes. */
    public static final int MAX_BYTES = 256 * 1024;
    /** Statements of all kinds. */
    public static final int MAX_STATEMENTS = 10_000;
    /** Tenant groups. */
    public static final int MAX_GROUPS = 1_024;
    /** Depth of groups within groups. */
    public static final int MAX_GROUP_NESTING = 16;
    /** Tenants that are named. */
    public static final int MAX_TENANTS = 4_096;
    /** Selectors of all share statements together, after the expansion of groups to their tenants. */
    public static final int MAX_EXPANDED_SELECTORS = 100_000;

    /** Conditions of one statement. */
    public static final int MAX_CONDITIONS = 8;
    /** Length of a name in Unicode code points. */
    public static final int MAX_NAME_LENGTH = 128;
    /** Connections in one budget, reserve, floor or ceiling. */
    public static final int MAX_CONNECTIONS = 1_000_000;
    /** Weights are integers in hundredths, so that sums of products of three weights are exact in a {@code long}. */
    public static final int MIN_WEIGHT_HUNDREDTHS = 1;

    /** The greatest weight, in hundredths. */
    public static final int MAX_WEIGHT_HUNDREDTHS = 100 * 100;

    private PolicyLimits() {}
}
