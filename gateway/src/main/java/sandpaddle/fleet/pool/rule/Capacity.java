package sandpaddle.fleet.pool.rule;

import java.util.Optional;
import sandpaddle.fleet.pool.model.Statement.Budget;
import sandpaddle.fleet.pool.model.Statement.Reserve;
import sandpaddle.fleet.pool.model.Statement.ReservePurpose;

/**
 * The connections of a budget and the reserves that are deducted from it.
 *
 * @param budget in connections
 * @param control reserved for the gateways' own control connections
 * @param returning reserved for returning engines
 */
public record Capacity(long budget, long control, long returning) {
    /** The connections that are left for tenants, 0 or more. */
    public int available() {
        return (int) Math.max(0, budget - control - returning);
    }

    /**
     * The capacity of a budget for one engine. The reserve for returning engines is deducted only while this engine
     * returns, since no other engine could use it.
     */
    public static Capacity ofEngine(Budgets budgets, Budget budget, boolean returning) {
        return new Capacity(
                budget.connections(),
                reserved(budgets.reserve(ReservePurpose.CONTROL), budget, 1),
                returning ? reserved(budgets.reserve(ReservePurpose.RETURNING), budget, 1) : 0);
    }

    /** The capacity of a budget that several engines share; both reserves are always deducted. */
    public static Capacity ofMany(Budgets budgets, Budget budget, int engines) {
        return new Capacity(
                budget.connections(),
                reserved(budgets.reserve(ReservePurpose.CONTROL), budget, engines),
                reserved(budgets.reserve(ReservePurpose.RETURNING), budget, engines));
    }

    private static long reserved(Optional<Reserve> reserve, Budget budget, int engines) {
        if (reserve.isEmpty()) {
            return 0;
        }
        long amount = reserve.get().amount();
        return reserve.get().percent() ? (amount * budget.connections() + 99) / 100 : amount * engines;
    }
}
