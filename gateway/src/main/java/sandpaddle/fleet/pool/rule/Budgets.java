package sandpaddle.fleet.pool.rule;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import sandpaddle.fleet.pool.model.FleetState;
import sandpaddle.fleet.pool.model.Policy;
import sandpaddle.fleet.pool.model.Statement;
import sandpaddle.fleet.pool.model.Statement.Borrow;
import sandpaddle.fleet.pool.model.Statement.Budget;
import sandpaddle.fleet.pool.model.Statement.Reserve;
import sandpaddle.fleet.pool.model.Statement.ReservePurpose;
import sandpaddle.fleet.pool.model.Statement.Scope;

/** The budgets, reserves and lending of a policy that apply in one state of the fleet, after precedence. */
public final class Budgets {
    private record BudgetKey(Scope scope, String name) {}

    private final Map<BudgetKey, Budget> budgets = new HashMap<>();
    private final Map<ReservePurpose, Reserve> reserves = new HashMap<>();
    private Borrow borrow;

    private Budgets(Policy policy, FleetState state) {
        for (Budget budget : policy.budgets()) {
            if (budget.holds(state)) {
                budgets.merge(new BudgetKey(budget.scope(), budget.name()), budget, Budgets::higherPrecedence);
            }
        }
        for (Reserve reserve : policy.reserves()) {
            if (reserve.holds(state)) {
                reserves.merge(reserve.purpose(), reserve, Budgets::higherPrecedence);
            }
        }
        for (Borrow candidate : policy.borrows()) {
            if (candidate.holds(state)) {
                borrow = borrow == null ? candidate : higherPrecedence(borrow, candidate);
            }
        }
    }

    /** Selects the statements that apply in the given state. */
    public static Budgets of(Policy policy, FleetState state) {
        return new Budgets(policy, state);
    }

    private static <T extends Statement> T higherPrecedence(T first, T second) {
        return Statement.BY_CONDITIONS.compare(first, second) >= 0 ? first : second;
    }

    /** The budget of the given scope and name. */
    public Optional<Budget> budget(Scope scope, String name) {
        return Optional.ofNullable(budgets.get(new BudgetKey(scope, name)));
    }

    /** The reserve for the given purpose. */
    public Optional<Reserve> reserve(ReservePurpose purpose) {
        return Optional.ofNullable(reserves.get(purpose));
    }

    /** The statement that allows idle connections to be lent; empty if none does, which is the default. */
    public Optional<Borrow> idleLending() {
        return Optional.ofNullable(borrow).filter(Borrow::lendsIdle);
    }
}
