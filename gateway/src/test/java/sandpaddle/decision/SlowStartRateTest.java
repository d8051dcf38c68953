package sandpaddle.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * The work that all gateways together send to an engine that is warming up stays within N + 2 sqrt(N) + 2 requests of
 * mean work in every overload window, and such engines are used. The bound, its proof and its limits are in
 * docs/design/cold-ramp.md.
 */
class SlowStartRateTest {
    private static void assertWithinBound(SlowStartSimulation simulation) {
        SlowStartWorkCounter counter = simulation.run().countWork();
        assertTrue(counter.starts > 0 && counter.windows > 0, counter.toString());
        assertEquals(0, counter.windowsOver2, counter.toString());
        assertTrue(simulation.warmingUpUtilization() > 0.05, "utilization " + simulation.warmingUpUtilization());
    }

    /** Uneven traffic, heavy-tailed work, delayed endpoint lists, restarts, and surges. */
    @ParameterizedTest
    @CsvSource({"20, 0", "20, 1", "20, 4", "30, 0", "30, 2", "120, 1"})
    void randomFleetsStayWithinTheBound(int gateways, int seed) {
        assertWithinBound(new SlowStartSimulation(gateways, seed));
    }

    /** Guards against rates that rely on the learnt traffic shares: here these sum to 17 over all gateways. */
    @ParameterizedTest
    @ValueSource(ints = {0, 4})
    void gatewaysWhoseTrafficSharesSumToOverOneStayWithinTheBound(int seed) {
        assertWithinBound(new SlowStartSimulation(20, seed, true));
    }
}
