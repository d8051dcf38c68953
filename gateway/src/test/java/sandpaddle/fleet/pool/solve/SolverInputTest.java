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

    private static String refused(
            List<SolverInput.Gateway> gateways, List<SolverInput.Engine> engines, List<SolverInput.Demand> demands) {
        return assertThrows(
                        IllegalArgumentException.class,
                        () -> new SolverInput(Fleets.calm(), gateways, engines, demands))
                .getMessage();
    }

    @Test
    void namesTwiceUnknownOnesAndNumbersOutOfRangeAreRefused() {
        SolverInput.Engine engine = new SolverInput.Engine("e", "k", false);
        assertEquals("gateway twice: g", refused(List.of(GATEWAY, GATEWAY), List.of(), List.of()));
        assertEquals("engine twice: e", refused(List.of(GATEWAY), List.of(engine, engine), List.of()));
        assertEquals(
                "demand of a gateway unknown: x",
                refused(List.of(GATEWAY), List.of(), List.of(new SolverInput.Demand("t", "c", "x", "k", 1))));
        assertEquals(
                "demand of -1 connections by tenant t, not from 0 to 1000000",
                refused(List.of(GATEWAY), List.of(), List.of(new SolverInput.Demand("t", "c", "g", "k", -1))));
    }

    @Test
    void tooManyDemandsAreRefused() {
        assertEquals(
                "262145 demands, 262144 at most",
                refused(
                        List.of(GATEWAY),
                        List.of(),
                        Collections.nCopies(262_145, new SolverInput.Demand("t", "c", "g", "k", 1))));
    }

    @Test
    void aShareOfEnginesIsAPart() {
        assertThrows(
                IllegalArgumentException.class,
                () -> new FleetState(
                        Fleets.calm().now(), Fleets.calm().timeZone(), Phase.CALM, Double.NaN, Set.of(), List.of()));
    }
}
