package sandpaddle.fleet.verdict.judge;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Assigns the gateways that continue to probe a condemned engine, so that a large fleet does not probe it from
 * everywhere: rendezvous hashing (Thaler and Ravishankar, 1998) over the live gateways that do not doubt themselves,
 * of two zones if possible. Gateways with the same evidence agree; with different evidence, an additional gateway may
 * probe.
 */
final class ProbeAssignment {
    private ProbeAssignment() {}

    /** The probers of an engine among the live gateways, at most {@code max}. */
    static Set<String> probersOf(String engine, Collection<String> live, ZoneRoster roster, int max) {
        List<String> byWeight = new ArrayList<>(live);
        byWeight.sort(Comparator.<String>comparingLong(gateway -> weight(engine, gateway))
                .thenComparing(gateway -> gateway));
        Set<String> chosen = new HashSet<>();
        Set<String> zones = new HashSet<>();
        for (String gateway : byWeight) {
            if (chosen.size() < max && zones.add(roster.zoneOfGateway(gateway))) {
                chosen.add(gateway);
            }
        }
        for (String gateway : byWeight) {
            if (chosen.size() < max) {
                chosen.add(gateway);
            }
        }
        return chosen;
    }

    private static long weight(String engine, String gateway) {
        long x = engine.hashCode() * 0x9E3779B97F4A7C15L ^ gateway.hashCode() * 0xC2B2AE3D27D4EB4FL;
        x = (x ^ (x >>> 31)) * 0xBF58476D1CE4E5B9L;
        x = (x ^ (x >>> 29)) * 0x94D049BB133111EBL;
        return x ^ (x >>> 32);
    }
}
