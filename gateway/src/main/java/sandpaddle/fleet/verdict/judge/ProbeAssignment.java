package sandpaddle.fleet.verdict.judge;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Assigns the gateways that continue to probe an ejected engine, so that not every gateway of a large fleet probes it:
 * rendezvous hashing (Thaler and Ravishankar, 1998) over the live gateways that do not suspect themselves, in
 * different zones if possible. Gateways with the same evidence agree; with different evidence, an additional gateway
 * may probe.
 */
final class ProbeAssignment {
    private ProbeAssignment() {}

    /** Returns the probers of an engine among the live gateways, at most {@code maxProbers}. */
    static Set<String> probersOf(String engine, Collection<String> live, ZoneRoster roster, int maxProbers) {
        List<String> byWeight = new ArrayList<>(live);
        byWeight.sort(Comparator.<String>comparingLong(gateway -> weight(engine, gateway))
                .thenComparing(gateway -> gateway));
        Set<String> probers = new HashSet<>();
        Set<String> usedZones = new HashSet<>();
        for (String gateway : byWeight) {
            if (probers.size() < maxProbers && usedZones.add(roster.zoneOfGateway(gateway))) {
                probers.add(gateway);
            }
        }
        for (String gateway : byWeight) {
            if (probers.size() < maxProbers) {
                probers.add(gateway);
            }
        }
        return probers;
    }

    /** Mixes the hashes of both names with the multipliers of SplitMix64 and xxHash64. */
    private static long weight(String engine, String gateway) {
        long hash = engine.hashCode() * 0x9E3779B97F4A7C15L ^ gateway.hashCode() * 0xC2B2AE3D27D4EB4FL;
        hash = (hash ^ (hash >>> 31)) * 0xBF58476D1CE4E5B9L;
        hash = (hash ^ (hash >>> 29)) * 0x94D049BB133111EBL;
        return hash ^ (hash >>> 32);
    }
}
