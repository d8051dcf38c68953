package sandpaddle.fleet.pool.solve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Collections;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import sandpaddle.fleet.pool.model.FleetState;
import sandpaddle.fleet.pool.model.Phase;
import sandpaddle.fleet.pool.model.SolverInput;

class SolverInputTest {
    private static final SolverInput.Gateway GATEWAY = new SolverInput.Gateway("g", "h");

    private static String rejectionMessage(
            List<SolverInput.Gateway> gateways, List<SolverInput.Engine> engines, List<SolverInput.Demand> demands) {
        return assertThrows(
                        IllegalArgumentException.class,
                        () -> new SolverInput(Fleets.calm(), gateways, engines, demands))
                .getMessage();
    }

    @Test
    void rejectsDuplicateNamesUnknownGatewaysAndDemandOutOfRange() {
        SolverInput.Engine engine = new SolverInput.Engine("e", "k", false);
        assertEquals("duplicate gateway g", rejectionMessage(List.of(GATEWAY, GATEWAY), List.of(), List.of()));
        assertEquals("duplicate engine e", rejectionMessage(List.of(GATEWAY), List.of(engine, engine), List.of()));
        assertEquals(
                "demand for unknown gateway x",
                rejectionMessage(List.of(GATEWAY), List.of(), List.of(new SolverInput.Demand("t", "c", "x", "k", 1))));
        assertEquals(
                "demand of -1 connections by tenant t; expected 0 to 1000000",
                rejectionMessage(List.of(GATEWAY), List.of(), List.of(new SolverInput.Demand("t", "c", "g", "k", -1))));
    }

    @Test
    void rejectsTooManyDemands() {
        assertEquals(
                "262145 demands; at most 262144 are allowed",
                rejectionMessage(
                        List.of(GATEWAY),
                        List.of(),
                        Collections.nCopies(262_145, new SolverInput.Demand("t", "c", "g", "k", 1))));
    }

    @Test
    void rejectsEjectedFractionOutOfRange() {
        assertThrows(
                IllegalArgumentException.class,
                () -> new FleetState(
                        Fleets.calm().now(), Fleets.calm().timeZone(), Phase.CALM, Double.NaN, Set.of(), List.of()));
    }
}
