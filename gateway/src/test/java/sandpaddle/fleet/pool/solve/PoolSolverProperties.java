package sandpaddle.fleet.pool.solve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import sandpaddle.fleet.pool.model.Policy;
import sandpaddle.fleet.pool.model.SolverInput;
import sandpaddle.fleet.pool.solve.Allocation.BudgetCapacity;
import sandpaddle.fleet.pool.solve.Allocation.Cell;
import sandpaddle.fleet.pool.solve.Allocation.Row;

/** Checks the solver from policy and input to targets, on random fleets. */
class PoolSolverProperties {
    @Property(seed = "31", tries = 200)
    void targetsNeverExceedTheirBudget(@ForAll long seed) {
        Random random = new Random(seed);
        SolverInput solverInput = Fleets.draw(random, 8, 6, 5, 30);
        Allocation allocation =
                PoolSolver.solve(Fleets.draw(random, 8, 60, random.nextBoolean()), solverInput, Allocation.NONE);
        Map<Limit, Integer> sums = new HashMap<>();
        for (Target target : Target.of(allocation)) {
            assertTrue(target.floor() <= target.target() && target.floor() >= 0);
            sums.merge(target.slot().limit(), target.target(), Integer::sum);
        }
        for (BudgetCapacity budget : allocation.budgets()) {
            assertTrue(sums.getOrDefault(budget.limit(), 0) <= budget.capacity().available(), budget + " of " + sums);
        }
    }

    /** If each engine of a kind has a budget, the cells of a gateway add up to the rows of its tenants. */
    @Property(seed = "32", tries = 200)
    void engineConnectionsEqualTenantConnections(@ForAll long seed) {
        Random random = new Random(seed);
        SolverInput solverInput = Fleets.draw(random, 8, 6, 5, 30);
        Allocation allocation = PoolSolver.solve(Fleets.draw(random, 8, 60, true), solverInput, Allocation.NONE);
        Map<String, Integer> rows = new HashMap<>();
        for (Row row : allocation.rows()) {
            rows.merge(row.gateway() + row.kind(), row.connections(), Integer::sum);
        }
        for (Cell cell : allocation.cells()) {
            rows.merge(cell.gateway() + cell.kind(), -cell.connections(), Integer::sum);
        }
        rows.forEach((gateway, left) -> assertEquals(0, left, gateway));
    }

    @Property(seed = "33", tries = 200)
    void grantsFloorsOfOneFamily(@ForAll long seed) {
        Random random = new Random(seed);
        SolverInput solverInput = Fleets.draw(random, 8, 6, 8, 30);
        Policy policy = Fleets.policy(
                "budget fleet 64 connections",
                "default tenant floor 7",
                "tenant \"t3\" weight 9",
                "tenant \"t4\" floor 9",
                "borrow idle give back within 1 s");
        Allocation allocation = PoolSolver.solve(policy, solverInput, Allocation.NONE);
        assertEquals(List.of(), allocation.unmetFloors());
        for (String tenant : List.of("t3", "t4", "default")) {
            int demanded = solverInput.demands().stream()
                    .filter(d -> policy.accountedTenant(d.tenant()).equals(tenant))
                    .mapToInt(SolverInput.Demand::connections)
                    .sum();
            assertTrue(allocation.connectionsOfTenant(tenant) >= Math.min(demanded, tenant.equals("t4") ? 9 : 7));
        }
    }

    @Property(seed = "34", tries = 100)
    void resultIsIndependentOfInputOrderAndStable(@ForAll long seed) {
        Random random = new Random(seed);
        SolverInput solverInput = Fleets.draw(random, 8, 6, 5, 30);
        Policy policy = Fleets.draw(random, 8, 60, true);
        List<SolverInput.Demand> demands = new ArrayList<>(solverInput.demands());
        List<SolverInput.Engine> engines = new ArrayList<>(solverInput.engines());
        Collections.shuffle(demands, random);
        Collections.shuffle(engines, random);
        Allocation first = PoolSolver.solve(policy, solverInput, Allocation.NONE);
        assertEquals(
                first,
                PoolSolver.solve(
                        policy,
                        new SolverInput(solverInput.state(), solverInput.gateways(), engines, demands),
                        Allocation.NONE));
        Allocation again = PoolSolver.solve(policy, solverInput, first);
        assertEquals(first.rows(), again.rows());
        assertEquals(first.cells(), again.cells());
    }

    /** One tenant demands one more connection; few of the 500 connections move. */
    @Property(seed = "35", tries = 50)
    void oneMoreConnectionOfDemandMovesFewConnections(@ForAll long seed) {
        Random random = new Random(seed);
        SolverInput solverInput = Fleets.draw(random, 20, 10, 20, 10);
        Policy policy = Fleets.policy(
                "budget fleet 500 connections",
                "budget engine kind \"k0\" 40 connections each",
                "borrow idle give back within 2 s",
                "hall \"h1\" weight 2",
                "tenant \"t1\" weight 3",
                "tenant \"t2\" weight 4");
        List<SolverInput.Demand> demands = new ArrayList<>(solverInput.demands());
        SolverInput.Demand d = demands.get(0);
        demands.set(0, new SolverInput.Demand(d.tenant(), d.className(), d.gateway(), d.kind(), d.connections() + 1));
        Allocation first = PoolSolver.solve(policy, solverInput, Allocation.NONE);
        Allocation second = PoolSolver.solve(
                policy,
                new SolverInput(solverInput.state(), solverInput.gateways(), solverInput.engines(), demands),
                first);
        Map<Row, Integer> moved = new HashMap<>();
        first.rows().forEach(r -> moved.merge(key(r), r.connections(), Integer::sum));
        second.rows().forEach(r -> moved.merge(key(r), -r.connections(), Integer::sum));
        int sum = moved.values().stream().mapToInt(Math::abs).sum();
        assertTrue(sum <= 4, sum + " moved");
        Map<String, Integer> cells = new HashMap<>();
        first.cells().forEach(c -> cells.merge(c.engine() + "/" + c.gateway(), c.connections(), Integer::sum));
        second.cells().forEach(c -> cells.merge(c.engine() + "/" + c.gateway(), -c.connections(), Integer::sum));
        int cellSum = cells.values().stream().mapToInt(Math::abs).sum();
        assertTrue(cellSum <= 16, cellSum + " moved at engines");
    }

    private static Row key(Row row) {
        return new Row(row.kind(), row.gateway(), row.tenant(), row.className(), 0, 0, 0);
    }

    /** Floors that do not fit are scaled fairly within a family, after more specific families, and all are reported. */
    @Example
    void scalesFloorsThatDoNotFitAndReportsThem() {
        Policy policy = Fleets.policy(
                "budget fleet 100 connections",
                "budget engine kind \"k0\" 20 connections each",
                "tenant \"a\" floor 30",
                "tenant \"b\" floor 30",
                "tenant \"a\" hall \"h0\" floor 8",
                "borrow idle give back within 2 s");
        SolverInput solverInput = new SolverInput(
                Fleets.calm(),
                List.of(new SolverInput.Gateway("g0", "h0"), new SolverInput.Gateway("g1", "h1")),
                List.of(new SolverInput.Engine("e0", "k0", false)),
                List.of(
                        new SolverInput.Demand("a", "c", "g0", "k0", 50),
                        new SolverInput.Demand("a", "c", "g1", "k0", 50),
                        new SolverInput.Demand("b", "c", "g1", "k0", 50)));
        Allocation allocation = PoolSolver.solve(policy, solverInput, Allocation.NONE);
        assertEquals(20, allocation.connectionsOfTenant("a") + allocation.connectionsOfTenant("b"));
        assertEquals(8, allocation.connections("k0", "g0", "a", "c"));
        assertEquals(
                List.of("tenant \"a\"", "tenant \"b\""),
                allocation.unmetFloors().stream()
                        .map(u -> u.selector().toString())
                        .toList());
        assertEquals(
                List.of(4, 5),
                allocation.unmetFloors().stream()
                        .map(Allocation.UnmetFloor::line)
                        .toList());
    }

    @Example
    void reportsBorrowedConnections() {
        Policy policy = Fleets.policy(
                "budget fleet 100 connections",
                "tenant \"a\" weight 1",
                "tenant \"b\" weight 1",
                "borrow idle give back within 2 s");
        SolverInput solverInput = new SolverInput(
                Fleets.calm(),
                List.of(new SolverInput.Gateway("g0", "h0")),
                List.of(new SolverInput.Engine("e0", "k0", false)),
                List.of(
                        new SolverInput.Demand("a", "c", "g0", "k0", 10),
                        new SolverInput.Demand("b", "c", "g0", "k0", 500)));
        Allocation allocation = PoolSolver.solve(policy, solverInput, Allocation.NONE);
        assertEquals(
                List.of(0, 40), allocation.rows().stream().map(Row::borrowed).toList());
        assertEquals(2, allocation.reclaimWithin().orElseThrow().toSeconds());
    }
}
