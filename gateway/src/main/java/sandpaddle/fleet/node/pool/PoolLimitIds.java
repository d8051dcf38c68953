package sandpaddle.fleet.node.pool;

import java.util.Collection;
import java.util.Set;
import java.util.TreeSet;
import sandpaddle.fleet.limit.LimitSpec;
import sandpaddle.fleet.pool.model.Policy;
import sandpaddle.fleet.pool.model.Statement.Budget;
import sandpaddle.fleet.pool.model.Statement.Scope;
import sandpaddle.fleet.pool.solve.Limit;

/**
 * The ids of the limits of a pool policy. They depend only on the policy and the engines present, so a gateway knows
 * which limits apply before it receives them from the leader. A budget whose condition does not hold still has its
 * limit, which is then unbounded.
 */
final class PoolLimitIds {
    /** Prefix of the ids of all limits of a pool policy. */
    static final String PREFIX = "pool/";

    /** Prefix of the id of a kind's limit; the name of the kind follows. */
    static final String KIND = new Limit(Limit.Scope.KIND, "").id();
    /** Prefix of the id of an engine's limit; the id of the engine follows. */
    static final String ENGINE = new Limit(Limit.Scope.ENGINE, "").id();
    /** Name of the only slot of a gateway in the limit of an engine, which all tenants share. */
    static final String ALL = "*";

    private PoolLimitIds() {}

    /** Whether the limit of this id comes from a pool policy. */
    static boolean isPool(String limitId) {
        return limitId.startsWith(PREFIX);
    }

    /**
     * The ids of the limits of a policy. Every kind has a limit, since budgets are divided among tenants by kind; an
     * engine has one only if a budget names it or is for each engine of its kind. An engine whose name is too long for
     * a limit id, or not valid in one, has no limit of its own, only that of its kind.
     */
    static Set<String> of(Policy policy, Collection<PoolEngine> engines) {
        Set<String> ids = new TreeSet<>();
        if (policy.budgets().isEmpty()) {
            return ids;
        }
        Set<String> namedEngines = new TreeSet<>();
        Set<String> perEngineKinds = new TreeSet<>();
        for (Budget budget : policy.budgets()) {
            if (budget.scope() == Scope.FLEET) {
                ids.add(Limit.FLEET.id());
            } else if (budget.scope() == Scope.ENGINE) {
                namedEngines.add(budget.name());
            } else if (budget.scope() == Scope.EACH_OF_KIND) {
                perEngineKinds.add(budget.name());
            }
        }
        for (PoolEngine engine : engines) {
            ids.add(KIND + engine.kind());
            if (namedEngines.contains(engine.name()) || perEngineKinds.contains(engine.kind())) {
                ids.add(ENGINE + engine.name());
            }
        }
        ids.removeIf(id -> id.length() > LimitSpec.MAX_NAME_BYTES || id.indexOf('|') >= 0);
        return ids;
    }
}
