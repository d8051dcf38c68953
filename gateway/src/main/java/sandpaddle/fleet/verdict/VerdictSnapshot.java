package sandpaddle.fleet.verdict;

import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * All verdicts of one gateway at one time; immutable.
 *
 * @param engines verdicts on whole engines, then those on this zone's links, then those from the engine list
 * @param spared engines with enough evidence for a verdict that stay open because too many are condemned already
 * @param unreachableEnginesByZone by zone, engines that do not answer it although the engine is not known to be at
 *     fault
 * @param tenantsOverQuota tenants whose usage exceeds their quota
 * @param zones reachability by zone name
 * @param selfDoubtingGateways gateways whose evidence on engines is currently ignored
 */
public record VerdictSnapshot(
        List<FleetEngineVerdict> engines,
        List<String> spared,
        Map<String, Set<String>> unreachableEnginesByZone,
        Set<String> tenantsOverQuota,
        Map<String, ZoneLink> zones,
        Set<String> selfDoubtingGateways) {
    /** No verdicts. */
    public static final VerdictSnapshot NONE =
            new VerdictSnapshot(List.of(), List.of(), Map.of(), Set.of(), Map.of(), Set.of());
}
