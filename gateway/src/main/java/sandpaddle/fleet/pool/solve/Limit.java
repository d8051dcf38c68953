package sandpaddle.fleet.pool.solve;

/**
 * Identifies the fleet-wide limit that enforces a budget.
 *
 * @param name of the engine kind or engine; empty for the fleet
 */
public record Limit(Scope scope, String name) {
    /** What the connections of the limit are counted over. */
    public enum Scope {
        /** All engines together. */
        FLEET,
        /** All engines of one kind together. */
        KIND,
        /** One engine. */
        ENGINE
    }

    /** The limit of the whole fleet. */
    public static final Limit FLEET = new Limit(Scope.FLEET, "");

    /** The id in the table of limits: {@code pool/fleet}, {@code pool/kind/KIND} or {@code pool/engine/ENGINE}. */
    public String id() {
        return switch (scope) {
            case FLEET -> "pool/fleet";
            case KIND -> "pool/kind/" + name;
            case ENGINE -> "pool/engine/" + name;
        };
    }
}
