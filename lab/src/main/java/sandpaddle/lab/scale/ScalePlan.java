package sandpaddle.lab.scale;

import java.nio.file.Path;
import java.time.Duration;

/**
 * Parameters of one scale run.
 *
 * @param changesPerSecond rate of changes of the configuration during the measurement
 * @param warmUp time between the ready fleet and the start of the measurement
 * @param measured length of the measurement
 * @param jar jar of the gateway, or a class path
 * @param folder directory for logs, disks and events
 */
public record ScalePlan(
        Size size,
        Fault fault,
        double changesPerSecond,
        Duration warmUp,
        Duration measured,
        long seed,
        Path jar,
        Path folder) {

    /**
     * Size of the fleet.
     *
     * @param gateways number of simulated gateways
     * @param engines number of engines that each gateway lists
     * @param limits number of concurrency limits that simulated gateways use; the configuration has one more, an unused
     *     rate limit that carries its version
     * @param controlMachines number of gateway processes that are voters, one of which is the leader
     */
    public record Size(int gateways, int engines, int limits, int zones, int regions, int controlMachines) {
        /** The zone of a gateway or control machine, by its index. */
        String zone(int index) {
            int zone = index % zones;
            return "region-" + zone % regions + "-zone-" + zone;
        }
    }
}
