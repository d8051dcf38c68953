package sandpaddle.fleet.outage.plan;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import sandpaddle.fleet.content.ResultId;

/**
 * Which gateways of a zone hold an answer: rendezvous hashing (Thaler and Ravishankar 1998) ranks the live ones for
 * each answer, and the first {@value #COPIES} hold it; the first of them asks the engine. When a gateway dies, only
 * what it held finds a new holder, and the one left copies it there. O(gateways) for an answer.
 */
public final class ReplicaOwners {
    public static final int COPIES = 2;

    private ReplicaOwners() {}

    /** The holders of an answer among the zone's live gateways, the one that asks first. */
    public static List<String> of(ResultId id, Collection<String> live) {
        List<String> ranked = new ArrayList<>(live);
        ranked.sort(Comparator.comparingLong((String name) -> score(id, name))
                .reversed()
                .thenComparing(Comparator.naturalOrder()));
        return List.copyOf(ranked.subList(0, Math.min(COPIES, ranked.size())));
    }

    /** Whether this gateway is the one to ask an engine for it. */
    public static boolean asks(ResultId id, Collection<String> live, String self) {
        List<String> owners = of(id, live);
        return !owners.isEmpty() && owners.get(0).equals(self);
    }

    /**
     * To whom this gateway, which has a copy, must send one: the other holder, if it is not already known to have it.
     * Empty where this gateway is no holder and two others are: they copy between themselves.
     */
    public static Optional<String> copyTo(ResultId id, Collection<String> live, String self) {
        List<String> owners = of(id, live);
        return owners.contains(self)
                ? owners.stream().filter(o -> !o.equals(self)).findFirst()
                : Optional.empty();
    }

    /**
     * To whom copies of what this gateway has go after the live gateways changed. A holder of before, first of those
     * still there, sends to each holder that is new: so one sender for each copy, and none where nothing changed.
     */
    public static List<String> afterChange(
            ResultId id, Collection<String> before, Collection<String> live, String self) {
        List<String> old = of(id, before);
        Optional<String> sender = old.stream().filter(live::contains).findFirst();
        if (sender.isEmpty() || !sender.get().equals(self)) {
            return List.of();
        }
        return of(id, live).stream().filter(o -> !old.contains(o)).toList();
    }

    /** Murmur's finaliser over both: well spread for names that differ in one digit. */
    private static long score(ResultId id, String name) {
        long h = id.word0() ^ Long.rotateLeft(id.word1(), 17);
        for (int i = 0; i < name.length(); i++) {
            h = mix(h ^ name.charAt(i) * 0x9E3779B97F4A7C15L);
        }
        return mix(h);
    }

    private static long mix(long x) {
        long h = (x ^ x >>> 33) * 0xff51afd7ed558ccdL;
        h = (h ^ h >>> 33) * 0xc4ceb9fe1a85ec53L;
        return h ^ h >>> 33;
    }
}
