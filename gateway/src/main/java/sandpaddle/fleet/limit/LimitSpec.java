package sandpaddle.fleet.limit;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * A limit for the whole fleet.
 *
 * @param id name in the operator's file; of an instance followed by its names, separated by {@code |}
 * @param scope the queries that the limit covers
 * @param unit what is counted
 * @param amount a whole number for concurrent limits, thousandths per second for rates
 * @param burst what a gateway may use at once above its rate, in thousandths; 0 for concurrent limits
 */
public record LimitSpec(String id, LimitScope scope, LimitUnit unit, long amount, long burst) {
    /** Max length of the id of a limit or instance, in bytes of UTF-8. */
    public static final int MAX_ID_BYTES = 512;
    /** Max length of the name of a zone, class, tenant, engine or member, in bytes of UTF-8. */
    public static final int MAX_NAME_BYTES = 128;
    /** Max amount or burst, in the limit's unit. */
    public static final long MAX_AMOUNT = 1_000_000_000L;

    /** Describes the first fault of this limit; empty if it is valid. */
    public Optional<String> fault() {
        if (id == null || id.isEmpty() || id.length() > MAX_NAME_BYTES || id.indexOf('|') >= 0) {
            return Optional.of("limit id \"" + id + "\" is not 1 to " + MAX_NAME_BYTES + " characters without '|'");
        }
        if (amount < 0 || amount > MAX_AMOUNT) {
            return Optional.of("limit " + id + ": amount " + amount + " is not from 0 to " + MAX_AMOUNT);
        }
        if (burst < 0 || burst > MAX_AMOUNT || unit != LimitUnit.RATE && burst != 0) {
            return Optional.of("limit " + id + ": burst " + burst + " is not from 0 to "
                    + (unit == LimitUnit.RATE ? MAX_AMOUNT : 0));
        }
        for (String name : scope.dimensions()) {
            if (name != null && (name.length() > MAX_NAME_BYTES || name.indexOf('|') >= 0)) {
                return Optional.of("limit " + id + ": scope name of " + name.length()
                        + " characters, or with '|'; at most " + MAX_NAME_BYTES);
            }
        }
        return Optional.empty();
    }

    /**
     * The limit that counts a query with these names: this one or an instance; empty if it does not cover the query.
     */
    public Optional<LimitSpec> instanceFor(LimitScope query) {
        if (!scope.covers(query)) {
            return Optional.empty();
        }
        if (!scope.hasWildcard()) {
            return Optional.of(this);
        }
        LimitScope resolved = scope.resolve(query);
        List<String> names = new ArrayList<>(List.of(id));
        for (int i = 0; i < 4; i++) {
            if (LimitScope.EACH.equals(scope.dimensions().get(i))) {
                names.add(resolved.dimensions().get(i));
            }
        }
        return Optional.of(new LimitSpec(String.join("|", names), resolved, unit, amount, burst));
    }
}
