package sandpaddle.fleet.verdict;

import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * All verdicts that one gateway derived from its evidence at one time; immutable.
 *
 * @param engines verdicts on whole engines, then those on this zone's links, then those from the engine list
 * @param exempted engines with enough evidence for an ejection that are not ejected, because the maximum fraction of
 *     the engines is ejected already or because this gateway's zone is isolated
 * @param unreachableEnginesByZone by zone, engines that do not answer it although the engine is not known to be at
 *     fault
 * @param tenantsOverQuota tenants whose usage exceeds their quota
 * @param zones reachability by zone name
 * @param selfSuspectingGateways gateways that suspect a fault of their own; their evidence on engines is ignored
 */
public record VerdictSnapshot(
        List<FleetEngineVerdict> engines,
        List<String> exempted,
        Map<String, Set<String>> unreachableEnginesByZone,
        Set<String> tenantsOverQuota,
        Map<String, ZoneLink> zones,
        Set<String> selfSuspectingGateways) {
    /** No verdicts. */
    public static final VerdictSnapshot NONE =
            new VerdictSnapshot(List.of(), List.of(), Map.of(), Set.of(), Map.of(), Set.of());
}
