package sandpaddle.fleet.outage.plan;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import sandpaddle.fleet.content.ResultId;

/**
 * Assigns stored answers to the gateways of a zone by rendezvous hashing (Thaler and Ravishankar 1998). The hash ranks
 * the live gateways for each answer; the first {@value #REPLICA_COUNT} own a replica, and the first of them fetches the
 * answer. If a gateway fails, only its answers get a new owner, and the remaining owner copies them there. O(n log n)
 * per answer for n gateways.
 */
public final class ReplicaOwners {
    /** Number of gateways that store an answer. */
    public static final int REPLICA_COUNT = 2;

    private ReplicaOwners() {}

    /** Returns the owners of an answer among the live gateways of the zone, the one that fetches it first. */
    public static List<String> of(ResultId id, Collection<String> liveGateways) {
        List<String> ranked = new ArrayList<>(liveGateways);
        ranked.sort(Comparator.comparingLong((String name) -> score(id, name))
                .reversed()
                .thenComparing(Comparator.naturalOrder()));
        return List.copyOf(ranked.subList(0, Math.min(REPLICA_COUNT, ranked.size())));
    }

    /** Whether this gateway is the one that fetches an answer from an engine. */
    public static boolean isFetcher(ResultId id, Collection<String> liveGateways, String self) {
        List<String> owners = of(id, liveGateways);
        return !owners.isEmpty() && owners.get(0).equals(self);
    }

    /**
     * Returns the gateway to which this gateway, which has a copy, must send one: the other owner. Empty if this
     * gateway is not an owner, since the owners copy between themselves, or if it is the only one.
     */
    public static Optional<String> replicationTarget(ResultId id, Collection<String> liveGateways, String self) {
        List<String> owners = of(id, liveGateways);
        return owners.contains(self)
                ? owners.stream().filter(owner -> !owner.equals(self)).findFirst()
                : Optional.empty();
    }

    /**
     * Returns the gateways to which this gateway must copy an answer after the set of live gateways changed. The first
     * previous owner that is still live sends to each new owner, so each copy has one sender; without a new owner the
     * result is empty.
     */
    public static List<String> replicationTargetsAfterChange(
            ResultId id, Collection<String> previousGateways, Collection<String> liveGateways, String self) {
        List<String> previousOwners = of(id, previousGateways);
        Optional<String> sender =
                previousOwners.stream().filter(liveGateways::contains).findFirst();
        if (sender.isEmpty() || !sender.get().equals(self)) {
            return List.of();
        }
        return of(id, liveGateways).stream()
                .filter(owner -> !previousOwners.contains(owner))
                .toList();
    }

    /** Hashes answer and gateway with the finalizer of MurmurHash3, which spreads names that differ in one digit. */
    private static long score(ResultId id, String name) {
        long hash = id.word0() ^ Long.rotateLeft(id.word1(), 17);
        for (int i = 0; i < name.length(); i++) {
            hash = mix(hash ^ name.charAt(i) * 0x9E3779B97F4A7C15L);
        }
        return mix(hash);
    }

    private static long mix(long value) {
        long hash = (value ^ value >>> 33) * 0xff51afd7ed558ccdL;
        hash = (hash ^ hash >>> 33) * 0xc4ceb9fe1a85ec53L;
        return hash ^ hash >>> 33;
    }
}
