package sandpaddle.fleet.pool.model;

import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.OptionalInt;

/** A statement of a policy, which applies while all its conditions hold. */
public sealed interface Statement {
    /** The position of its first token. */
    SourcePosition position();

    /** The conditions that must all hold; if empty, the statement always applies. */
    List<Condition> conditions();

    /** Whether all conditions hold in the given state. */
    default boolean holds(FleetState state) {
        for (Condition condition : conditions()) {
            if (!condition.holds(state)) {
                return false;
            }
        }
        return true;
    }

    /**
     * Orders statements of one subject by increasing precedence: by the number of conditions, then by position in the
     * file.
     */
    Comparator<Statement> BY_CONDITIONS =
            Comparator.<Statement>comparingInt(s -> s.conditions().size()).thenComparing(Statement::position);

    /** What the connections of a budget are counted over. */
    enum Scope {
        /** All engines together. */
        FLEET,
        /** All engines of one kind together. */
        KIND,
        /** Each engine of one kind individually. */
        EACH_OF_KIND,
        /** One engine. */
        ENGINE
    }

    /**
     * A maximum number of connections.
     *
     * @param name of the engine kind or engine; empty for the fleet
     */
    record Budget(SourcePosition position, List<Condition> conditions, Scope scope, String name, int connections)
            implements Statement {}

    /** The purpose of a reserve. */
    enum ReservePurpose {
        /** The gateways' own control connections. */
        CONTROL,
        /** Engines that return after an ejection or outage. */
        RETURNING
    }

    /**
     * A part of every budget that is not divided among tenants.
     *
     * @param percent whether {@code amount} is a percentage of the budget rather than connections for each engine
     */
    record Reserve(
            SourcePosition position, List<Condition> conditions, ReservePurpose purpose, boolean percent, int amount)
            implements Statement {}

    /**
     * Whether connections that a tenant is entitled to but does not use are lent to others.
     *
     * @param reclaimWithin the time within which lent connections return to a tenant that needs them again
     */
    record Borrow(SourcePosition position, List<Condition> conditions, boolean lendsIdle, Duration reclaimWithin)
            implements Statement {}

    /**
     * The weight, floor and ceiling of the connections that a selector covers.
     *
     * @param weight in hundredths
     */
    record Share(
            SourcePosition position,
            List<Condition> conditions,
            Selector selector,
            OptionalInt weight,
            OptionalInt floor,
            OptionalInt ceiling)
            implements Statement {}

    /**
     * Orders share statements by increasing precedence: by the specificity of the selector, then as
     * {@link #BY_CONDITIONS}.
     */
    Comparator<Share> PRECEDENCE =
            Comparator.<Share>comparingInt(s -> s.selector().specificity()).thenComparing(BY_CONDITIONS);
}
