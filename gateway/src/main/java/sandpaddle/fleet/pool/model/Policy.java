package sandpaddle.fleet.pool.model;

import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A policy without errors.
 *
 * @param groups the tenants of each group, including those of nested groups
 * @param tenants all tenants that the policy names; every other tenant is accounted to {@link #DEFAULT_TENANT}
 */
public record Policy(
        String name,
        int version,
        Map<String, Set<String>> groups,
        Set<String> tenants,
        List<Statement.Budget> budgets,
        List<Statement.Reserve> reserves,
        List<Statement.Borrow> borrows,
        List<Statement.Share> shares) {
    /** The tenant to which the connections of all tenants that the policy does not name are accounted. */
    public static final String DEFAULT_TENANT = "default";

    /** The only supported version of the policy language. */
    public static final int LANGUAGE = 1;

    /** The tenant to which the connections of the given tenant are accounted. */
    public String accountedTenant(String tenant) {
        return tenants.contains(tenant) ? tenant : DEFAULT_TENANT;
    }
}
