package sandpaddle.fleet.outage.quota;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Floors for the length of an expected outage: the gateways of the zone that leaves get what they are expected to
 * need, within a stated part of the limit, and the floors of all others shrink by as much in proportion, each to its
 * least at most. The sum of floors never grows, so that whatever bound on a limit held with the usual floors holds
 * with these. While the shift lasts is a matter of the wall clock; that a quota is another's only once its holder
 * must have given it up is the lease's, as for every move of quotas. O(n log n) for n gateways; whole units.
 */
public final class FloorShift {
    private FloorShift() {}

    /** Whether an outage's floors are in force at a time (wall, ms); what it is past, the usual floors return. */
    public static boolean isInForce(PlannedOutage leave, long wall, QuotaShiftSettings settings) {
        return wall >= leave.lossAt() - settings.leadMs() && wall < leave.returnAt();
    }

    /** The zones whose shift is in force: by schedule, or because they are still cut off. */
    public static Set<String> leaving(
            List<PlannedOutage> leaves, Set<String> cutOff, long wall, QuotaShiftSettings settings) {
        Set<String> zones = new TreeSet<>();
        leaves.stream().filter(l -> isInForce(l, wall, settings)).forEach(l -> zones.add(l.zone()));
        // unannounced outages move nothing: who is cut off hears of no new floor
        leaves.stream()
                .filter(l -> cutOff.contains(l.zone()) && wall >= l.lossAt() - settings.leadMs())
                .forEach(l -> zones.add(l.zone()));
        return zones;
    }

    /** The floors of all gateways of one limit while some zones leave; the usual ones where none does. */
    public static Map<String, Long> floors(
            long limit, List<FloorShare> shares, Set<String> leaving, QuotaShiftSettings s) {
        Map<String, Long> floors = new LinkedHashMap<>();
        shares.forEach(x -> floors.put(x.gateway(), x.floor()));
        List<FloorShare> going =
                shares.stream().filter(x -> leaving.contains(x.zone())).toList();
        List<FloorShare> staying =
                shares.stream().filter(x -> !leaving.contains(x.zone())).toList();
        long wanted =
                going.stream().mapToLong(x -> Math.max(0, x.need() - x.floor())).sum();
        long spare = staying.stream()
                .mapToLong(x -> Math.max(0, x.floor() - s.minEach()))
                .sum();
        long had = going.stream().mapToLong(FloorShare::floor).sum();
        long cap = Math.max(0, (long) Math.floor(limit * s.maxShare()) - had);
        // what is not reserved for anybody is not taken: the sum of floors stays what the limit was checked with
        long moved = Math.min(Math.min(wanted, spare), cap);
        if (moved <= 0) {
            return floors;
        }
        divide(moved, going, x -> Math.max(0, x.need() - x.floor())).forEach((g, n) -> floors.merge(g, n, Long::sum));
        divide(moved, staying, x -> Math.max(0, x.floor() - s.minEach()))
                .forEach((g, n) -> floors.merge(g, -n, Long::sum));
        return floors;
    }

    /**
     * What a gateway needs at once, by Little's law: asks expected in a time (ms), each holding a quota for so long
     * (us). Rounded up; nothing for no asks.
     */
    public static long need(double asks, double heldUs, long lengthMs) {
        return (long) Math.ceil(Math.max(0, asks) * Math.max(0, heldUs) / (Math.max(1, lengthMs) * 1000.0));
    }

    private interface Claim {
        long of(FloorShare share);
    }

    /** Divides whole units in proportion to claims, none above its claim: largest remainder, ties by name. */
    private static Map<String, Long> divide(long units, List<FloorShare> shares, Claim claim) {
        long sum = shares.stream().mapToLong(claim::of).sum();
        Map<String, Long> parts = new LinkedHashMap<>();
        Map<String, Double> rests = new HashMap<>();
        long left = units;
        for (FloorShare x : shares) {
            double exact = (double) units * claim.of(x) / sum;
            long part = Math.min(claim.of(x), (long) Math.floor(exact));
            parts.put(x.gateway(), part);
            rests.put(x.gateway(), exact - part);
            left -= part;
        }
        List<FloorShare> byRest = new ArrayList<>(shares);
        byRest.sort(Comparator.comparingDouble((FloorShare x) -> rests.get(x.gateway()))
                .reversed()
                .thenComparing(FloorShare::gateway));
        while (left > 0) {
            for (FloorShare x : byRest) {
                if (left > 0 && parts.get(x.gateway()) < claim.of(x)) {
                    parts.merge(x.gateway(), 1L, Long::sum);
                    left--;
                }
            }
        }
        return parts;
    }
}
