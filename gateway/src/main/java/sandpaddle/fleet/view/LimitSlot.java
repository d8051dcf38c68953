package sandpaddle.fleet.view;

import java.util.Set;

/**
 * A part of a limit that this gateway has a quota for: which of its attempts count, and what is counted.
 *
 * @param id id of the limit
 * @param poolTenant tenant whose part of a pool's budget this is, else empty
 * @param classIndex index of the query class, -1 for any
 * @param tenant tenant, null for any, {@link #EACH} for a per-key limit
 * @param engine engine, null for any, {@link #EACH} for a per-key limit
 * @param counts what is counted
 * @param poolScope restriction to a part of a pool's budget, null for none
 */
public record LimitSlot(
        String id,
        String poolTenant,
        int classIndex,
        String tenant,
        String engine,
        Counts counts,
        PoolScope poolScope) {
    /**
     * Restriction to a tenant's part of a budget; waiting queries count too.
     *
     * @param engines engines of the budget, null for all
     * @param excludedTenants tenants with parts of their own if this part is for all others, else null
     */
    public record PoolScope(Set<String> engines, Set<String> excludedTenants) {
        boolean covers(String tenant, String engine) {
            return (engines == null || engine.isEmpty() || engines.contains(engine))
                    && (excludedTenants == null || !excludedTenants.contains(tenant));
        }
    }

    /** A slot without a pool scope. */
    public LimitSlot(String id, String poolTenant, int classIndex, String tenant, String engine, Counts counts) {
        this(id, poolTenant, classIndex, tenant, engine, counts, null);
    }

    /** Stands for each engine or tenant: each has a slot of its own, and may use nothing before it exists. */
    public static final String EACH = "*";

    /** What a slot counts. */
    public enum Counts {
        /** Running attempts. */
        RUNNING,
        /** Open connections to engines. */
        CONNECTIONS,
        /** Rate of attempts started. */
        STARTS,
        /** Rate of estimated work (ms) of attempts started. */
        WORK;

        /** Whether a rate is limited, not a number at one time. */
        public boolean isRate() {
            return this == STARTS || this == WORK;
        }
    }

    /** Whether the slots of this per-key limit have ids that start with its id; else with its id and {@code |}. */
    public boolean isPrefix() {
        return id.endsWith("/");
    }

    /** Whether an attempt counts in this slot; the engine is empty while a query waits for one. */
    public boolean covers(int attemptClass, String attemptTenant, String attemptEngine) {
        return (classIndex < 0 || classIndex == attemptClass)
                && covers(tenant, attemptTenant)
                && covers(engine, attemptEngine)
                && (poolScope == null || poolScope.covers(attemptTenant, attemptEngine));
    }

    private static boolean covers(String required, String actual) {
        return required == null || required.equals(actual) || required.equals(EACH) && !actual.isEmpty();
    }
}
