package sandpaddle.fleet.limit;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Objects;

/**
 * The queries that a limit covers, by four dimensions. A dimension is null (any name), a name (only that one), or
 * {@link #EACH} (each name has a limit of its own).
 *
 * @param zone failure domain of the gateway
 * @param requestClass class of the query
 * @param tenant tenant of the query
 * @param engine engine that the query is sent to
 */
public record LimitScope(String zone, String requestClass, String tenant, String engine) {
    /** The wildcard: an instance of the limit is created for each name of the dimension. */
    public static final String EACH = "*";
    /** Covers every query of the fleet. */
    public static final LimitScope WHOLE_FLEET = new LimitScope(null, null, null, null);

    /** The dimensions: zone, class, tenant, engine; names may be null. */
    public List<String> dimensions() {
        return Arrays.asList(zone, requestClass, tenant, engine);
    }

    /** Whether a name is valid in a scope and in a message; clients and engines may have any other text as a name. */
    public static boolean isName(String name) {
        return !name.isBlank()
                && !name.equals(EACH)
                && name.indexOf('|') < 0
                && name.indexOf('\0') < 0
                && name.length() <= LimitSpec.MAX_NAME_BYTES
                && name.getBytes(StandardCharsets.UTF_8).length <= LimitSpec.MAX_NAME_BYTES;
    }

    /** Whether any dimension is {@link #EACH}. */
    public boolean hasWildcard() {
        return dimensions().contains(EACH);
    }

    /** Whether this scope covers a query with these names. */
    public boolean covers(LimitScope names) {
        List<String> own = dimensions();
        List<String> theirs = names.dimensions();
        for (int i = 0; i < own.size(); i++) {
            if (own.get(i) != null && !own.get(i).equals(EACH) && !Objects.equals(own.get(i), theirs.get(i))) {
                return false;
            }
        }
        return true;
    }

    /** This scope with each {@link #EACH} replaced by the name that the query has; an empty name if it has none. */
    public LimitScope resolve(LimitScope names) {
        return new LimitScope(
                resolve(zone, names.zone),
                resolve(requestClass, names.requestClass),
                resolve(tenant, names.tenant),
                resolve(engine, names.engine));
    }

    private static String resolve(String own, String theirs) {
        return EACH.equals(own) ? Objects.requireNonNullElse(theirs, "") : own;
    }
}
