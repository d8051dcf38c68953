package sandpaddle.lab.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.TreeSet;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Tests that sizes over the limits of the program or the machine are rejected before the run, with the reasons. */
class ScaleLimitsTest {
    private static final MachineLimits.Available LARGE = new MachineLimits.Available(1_000_000, 1_000_000, 1_000_000);

    private static ScalePlan.Size gateways(int count) {
        return new ScalePlan.Size(count, 10, 10, 6, 2, 3);
    }

    private static String rejectionMessage(ScalePlan.Size size) {
        return assertThrows(RunRejectedException.class, () -> ScaleFleet.check(size))
                .getMessage();
    }

    @Test
    void rejectsSizesOverProgramLimits() {
        assertTrue(
                rejectionMessage(gateways(600)).contains("LinkSettings.Bounds.USUAL.accepted"),
                rejectionMessage(gateways(600)));
        assertTrue(
                rejectionMessage(gateways(1100)).contains("Roster.MAX_MEMBERS = 1024"),
                rejectionMessage(gateways(1100)));
        assertTrue(
                rejectionMessage(new ScalePlan.Size(10, 10, 1024, 6, 2, 3)).contains("LimitCommandCodec.MAX_LIMITS"));
        assertTrue(rejectionMessage(new ScalePlan.Size(10, 10, 10, 6, 2, 4)).contains("one, three or five"));
    }

    @Test
    void reportsNeededAndAvailableResources() {
        assertEquals(List.of(), MachineLimits.faults(gateways(100), 1, 100, LARGE));
        List<String> faults = MachineLimits.faults(gateways(100), 1, 100, new MachineLimits.Available(100, 50, 10));
        assertEquals(3, faults.size(), faults.toString());
        assertTrue(faults.get(0).endsWith("MB of memory needed, 100 available"), faults.toString());
        assertTrue(faults.get(1).endsWith("descriptors in one process needed, 50 available"), faults.toString());
        assertTrue(faults.get(2).endsWith("threads needed, 10 available"), faults.toString());
    }

    @Test
    void assignsEveryGatewayToOneHostWithinItsMaximum() {
        for (int n : new int[] {1, 100, 101, 125, 126, 400}) {
            List<String> all =
                    IntStream.range(0, n).mapToObj(i -> "gateway-" + i).toList();
            List<List<String>> gatewaysByHost = ScaleRun.distribute(all);
            assertEquals(ScaleRun.hostCount(n), gatewaysByHost.size());
            assertEquals(
                    new TreeSet<>(all),
                    gatewaysByHost.stream().flatMap(List::stream).collect(Collectors.toCollection(TreeSet::new)));
            assertEquals(n, gatewaysByHost.stream().mapToInt(List::size).sum());
            assertTrue(gatewaysByHost.stream().allMatch(h -> h.size() <= ScaleRun.MAX_GATEWAYS_PER_HOST), "" + n);
        }
    }

    @Test
    void rejectsUnknownAndUnimplementedFaults() throws RunRejectedException {
        assertEquals(Fault.RESTART_TENTH, Fault.of("restart-tenth"));
        RunRejectedException e = assertThrows(RunRejectedException.class, () -> Fault.of("slow-disk"));
        assertTrue(e.getMessage().startsWith("fault 'slow-disk' is not implemented"), e.getMessage());
        assertThrows(RunRejectedException.class, () -> Fault.of("no-such-fault"));
    }
}
