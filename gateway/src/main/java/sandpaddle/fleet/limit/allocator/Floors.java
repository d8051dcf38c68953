package sandpaddle.fleet.limit.allocator;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The floors of a limit: what each gateway may use without a lease, when it is partitioned from the leader. Normally
 * each gateway has an equal part of {@code floorShare} of the limit. If that part is less than one unit, each gateway
 * has one unit, provided that the limit has a unit for each. If it has not, half of its units go to gateways chosen by
 * hashing, one unit each, and the others have no floor.
 *
 * <p>The limits of single engines that come from one limit for each engine differ: if the equal part is less than one
 * unit and the limit is no rate, a gateway has a floor of one unit on some of the engines only, chosen by rendezvous
 * hashing ({@link #onEngines}).
 */
public final class Floors {
    private Floors() {}

    /** The floor of each gateway if all have an equal one, rounded down, in the unit of {@code amount}. */
    public static long even(long amount, int members, double floorShare) {
        return members == 0 ? 0 : (long) (amount * floorShare / members);
    }

    /** The floors of a limit, in the order of {@code members}, unless {@link #onEngines} places them. */
    public static long[] of(String limit, long amount, List<String> members, double floorShare) {
        long[] floors = new long[members.size()];
        long each = even(amount, members.size(), floorShare);
        if (each == 0 && amount >= members.size()) {
            each = 1;
        }
        if (each > 0) {
            Arrays.fill(floors, each);
            return floors;
        }
        List<Integer> order = new ArrayList<>();
        for (int i = 0; i < floors.length; i++) {
            order.add(i);
        }
        order.sort(Comparator.comparingLong(i -> RendezvousHash.hash(members.get(i), limit)));
        order.stream().limit(amount / 2).forEach(i -> floors[i] = 1);
        return floors;
    }

    /**
     * Returns how many gateways have a floor of one unit on each engine: enough that each gateway has one on some
     * engine, or {@code floorShare} of the engine's limit if that is more, but at most half of the limit.
     *
     * @param amount limit of one engine
     * @param members number of gateways
     * @param engines number of engines
     * @param floorShare part of the limit that is given out as floors
     */
    static long places(long amount, int members, int engines, double floorShare) {
        long needed = (members + engines - 1) / Math.max(1, engines);
        return Math.min(amount / 2, Math.max(needed, (long) (amount * floorShare)));
    }

    /**
     * Chooses the gateways that have a floor of one unit on each engine. In rounds, each gateway gets a place on that
     * engine with a free place which ranks highest for the gateway.
     *
     * @param limits ids of the limits, one for each engine
     * @param places number of gateways with a floor on each engine
     * @param members names of the gateways
     * @return names of the gateways with a floor, by limit id
     */
    static Map<String, Set<String>> onEngines(List<String> limits, long places, List<String> members) {
        Map<String, Set<String>> membersByLimit = new HashMap<>();
        limits.forEach(limit -> membersByLimit.put(limit, new HashSet<>()));
        List<String> order = new ArrayList<>(members);
        order.sort(Comparator.comparingLong(member -> RendezvousHash.hash(member, "")));
        long remaining = places * limits.size();
        boolean placed = true;
        while (remaining > 0 && placed) {
            placed = false;
            for (String member : order) {
                Optional<String> best = bestEngine(member, limits, places, membersByLimit);
                if (best.isPresent() && remaining > 0) {
                    membersByLimit.get(best.get()).add(member);
                    remaining--;
                    placed = true;
                }
            }
        }
        return membersByLimit;
    }

    private static Optional<String> bestEngine(
            String member, List<String> limits, long places, Map<String, Set<String>> membersByLimit) {
        String best = null;
        for (String limit : limits) {
            Set<String> there = membersByLimit.get(limit);
            boolean free = there.size() < places && !there.contains(member);
            if (free && (best == null || RendezvousHash.hash(member, limit) > RendezvousHash.hash(member, best))) {
                best = limit;
            }
        }
        return Optional.ofNullable(best);
    }
}
