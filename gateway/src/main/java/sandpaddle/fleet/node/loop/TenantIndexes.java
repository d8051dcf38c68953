package sandpaddle.fleet.node.loop;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import sandpaddle.fleet.limit.LimitScope;

/**
 * Assigns each tenant that sent a query an index, by which the decision module counts the tenant's queries. Index 0,
 * {@link #OTHERS}, counts queries without a tenant. Once all {@link #MAX_TENANTS} indexes are assigned, index 0 also
 * counts every new tenant, so that memory stays bounded whatever names clients send. Owned by the event loop.
 */
final class TenantIndexes {
    /** Largest number of indexes, that of {@link #OTHERS} included. */
    static final int MAX_TENANTS = 4096;
    /**
     * Name under which queries are counted that have no tenant, a tenant beyond the bound, or a tenant whose name is
     * not valid in a limit.
     */
    static final String OTHERS = "default";

    private final Map<String, Integer> indexes = new LinkedHashMap<>();
    private final Map<String, String> countedNames = new HashMap<>();
    private boolean grown; // whether a tenant was added since the last pollGrown

    TenantIndexes() {
        indexes.put(OTHERS, 0);
        countedNames.put("", OTHERS);
    }

    /** The name under which a tenant is counted; a new name is assigned the next index. */
    String countedName(String tenant) {
        String countedName = countedNames.get(tenant);
        if (countedName == null) {
            countedName = indexes.size() < MAX_TENANTS && LimitScope.isName(tenant) ? tenant : OTHERS;
            if (!indexes.containsKey(countedName)) {
                indexes.put(countedName, indexes.size());
                grown = true;
            }
            if (countedNames.size() < 2 * MAX_TENANTS) {
                countedNames.put(tenant, countedName);
            }
        }
        return countedName;
    }

    /** The index of a counted name that {@link #countedName} returned. */
    int index(String counted) {
        return indexes.get(counted);
    }

    /** The index of a counted name, -1 if no query had it. */
    int indexOrMinusOne(String counted) {
        return indexes.getOrDefault(counted, -1);
    }

    /** Returns whether a tenant was added since the last call, and clears this flag. */
    boolean pollGrown() {
        boolean wasSet = grown;
        grown = false;
        return wasSet;
    }

    /** All counted names, in the order of their indexes. */
    Iterable<String> all() {
        return indexes.keySet();
    }
}
