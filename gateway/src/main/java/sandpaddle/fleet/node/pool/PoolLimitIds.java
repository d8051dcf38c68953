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
 * The limits of a policy. They follow from the policy and the engines present alone, so that a gateway knows what binds
 * it before any leader has told it: a budget whose condition does not hold has no bound.
 */
final class PoolLimitIds {
    /** What the ids of all limits by a policy begin with. */
    static final String PREFIX = "pool/";

    static final String KIND = new Limit(Limit.Scope.KIND, "").id();
    static final String ENGINE = new Limit(Limit.Scope.ENGINE, "").id();
    /** The one slot of a gateway in the limit of an engine, which all tenants share. */
    static final String ALL = "*";

    private PoolLimitIds() {}

    static boolean isPool(String limit) {
        return limit.startsWith(PREFIX);
    }

    /**
     * Every kind has one, since tenants' shares hold there; an engine has one where a budget is for it. A name that is
     * too long for a limit has none: what runs there is bound by its kind's.
     */
    static Set<String> of(Policy policy, Collection<PoolEngine> engines) {
        Set<String> ids = new TreeSet<>();
        if (policy.budgets().isEmpty()) {
            return ids;
        }
        Set<String> single = new TreeSet<>();
        Set<String> kinds = new TreeSet<>();
        for (Budget budget : policy.budgets()) {
            if (budget.scope() == Scope.FLEET) {
                ids.add(Limit.FLEET.id());
            } else if (budget.scope() == Scope.ENGINE) {
                single.add(budget.name());
            } else if (budget.scope() == Scope.EACH_OF_KIND) {
                kinds.add(budget.name());
            }
        }
        for (PoolEngine engine : engines) {
            ids.add(KIND + engine.kind());
            if (single.contains(engine.name()) || kinds.contains(engine.kind())) {
                ids.add(ENGINE + engine.name());
            }
        }
        ids.removeIf(id -> id.length() > LimitSpec.MAX_NAME_BYTES || id.indexOf('|') >= 0);
        return ids;
    }
}
