package sandpaddle.fleet.pool.solve;

import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.time.ZoneOffset;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import sandpaddle.fleet.pool.PoolPolicyCheck;
import sandpaddle.fleet.pool.model.FleetState;
import sandpaddle.fleet.pool.model.KnownNames;
import sandpaddle.fleet.pool.model.Phase;
import sandpaddle.fleet.pool.model.Policy;
import sandpaddle.fleet.pool.model.SolverInput;

/** Generates random policies and fleets. */
final class Fleets {
    private Fleets() {}

    static Policy policy(String... lines) {
        String text = "policy \"p\" version 1\n" + String.join("\n", lines) + "\n";
        PoolPolicyCheck check = PoolPolicyCheck.check(text.getBytes(StandardCharsets.UTF_8), KnownNames.NONE);
        return check.policy().orElseThrow(() -> new AssertionError(check.diagnostics() + " in\n" + text));
    }

    static FleetState calm() {
        return new FleetState(
                Instant.parse("2026-01-15T12:00:00Z"), ZoneOffset.UTC, Phase.CALM, 0, Set.of(), List.of());
    }

    /**
     * Gateways g0, g1, ... in zones h0 to h2, engines of kinds k0 and k1, tenants t0, t1, ... with demand on some
     * gateways.
     */
    static SolverInput draw(Random random, int tenants, int gateways, int engines, int maxDemand) {
        List<SolverInput.Gateway> gatewayList = new ArrayList<>();
        for (int i = 0; i < gateways; i++) {
            gatewayList.add(new SolverInput.Gateway("g" + i, "h" + i % 3));
        }
        List<SolverInput.Engine> engineList = new ArrayList<>();
        for (int i = 0; i < engines; i++) {
            engineList.add(new SolverInput.Engine("e" + i, "k" + i % 2, random.nextInt(8) == 0));
        }
        List<SolverInput.Demand> demandList = new ArrayList<>();
        for (int t = 0; t < tenants; t++) {
            for (int i = 0; i < gateways; i++) {
                if (random.nextInt(4) > 0) {
                    demandList.add(new SolverInput.Demand(
                            "t" + t,
                            random.nextBoolean() ? "dash" : "adhoc",
                            "g" + i,
                            "k" + random.nextInt(2),
                            random.nextInt(maxDemand + 1)));
                }
            }
        }
        return new SolverInput(calm(), gatewayList, engineList, demandList);
    }

    /**
     * Random weights, ceilings and floors of tenants; the floors form one family that fits into the budget of the
     * fleet.
     */
    static Policy draw(Random random, int tenants, int fleet, boolean lendIdle) {
        List<String> lines = new ArrayList<>();
        lines.add("budget fleet " + fleet + " connections");
        lines.add("budget engine kind \"k0\" " + (3 + random.nextInt(20)) + " connections each");
        lines.add("budget engine kind \"k1\" " + (fleet / 3 + 1) + " connections");
        lines.add("budget engine kind \"k1\" " + (3 + random.nextInt(20)) + " connections each");
        lines.add("budget engine \"e0\" " + (3 + random.nextInt(5)) + " connections");
        lines.add("reserve control 1 percent");
        lines.add("reserve returning 5 percent");
        lines.add(lendIdle ? "borrow idle give back within 2 s" : "borrow nothing");
        lines.add("hall \"h0\" weight " + (1 + random.nextInt(5)));
        lines.add("hall \"h1\" ceiling " + (fleet / 4 + random.nextInt(fleet)));
        lines.add("class \"dash\" weight 2.5");
        lines.add("default gateway ceiling " + (fleet / 3 + 1));
        for (int t = 0; t < tenants; t += 2) {
            lines.add("tenant \"t" + t + "\" weight " + (1 + random.nextInt(9)) + " floor "
                    + random.nextInt(Math.max(1, fleet / 4 / tenants)));
        }
        return policy(lines.toArray(new String[0]));
    }
}
