package sandpaddle.fleet.member;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Which peers and zones this gateway reaches, since when, and the round trip times. It is the view of one gateway:
 * the fleet's verdicts compare several views to decide whether a peer or the path to it fails. Memory: one record for
 * each watched peer. Not thread-safe. Times are monotonic microseconds.
 */
public final class LinkHealth {
    /**
     * A peer as seen from this gateway.
     *
     * @param name name of the peer
     * @param zone zone of the peer
     * @param isUp whether there is a link to it
     * @param sinceUs when it came up, went down or was first watched
     * @param roundTripUs smoothed round trip time of the link, 0 before the first measurement
     * @param incarnation last known incarnation of its process, 0 if unknown
     * @param lastLoss how the link was lost last, empty if it never was
     */
    public record Peer(
            String name,
            String zone,
            boolean isUp,
            long sinceUs,
            long roundTripUs,
            long incarnation,
            String lastLoss) {}

    /**
     * A zone as seen from this gateway.
     *
     * @param name name of the zone
     * @param memberCount number of watched members in the zone
     * @param upCount number of them that a link is up to
     * @param isReachable whether at least half of the watched members are up
     * @param sinceUs when {@code isReachable} changed last
     */
    public record Zone(String name, int memberCount, int upCount, boolean isReachable, long sinceUs) {}

    private record ZoneState(boolean isReachable, long sinceUs) {}

    private final Map<String, Peer> peers = new TreeMap<>();
    private final Map<String, ZoneState> zones = new TreeMap<>();

    /** Sets the peers that need links; the state of those that stay is retained. */
    public void setPeers(long nowUs, Collection<Member> members) {
        Map<String, Peer> kept = new TreeMap<>();
        for (Member member : members) {
            Peer peer = peers.get(member.name());
            kept.put(
                    member.name(),
                    peer == null
                            ? new Peer(member.name(), member.zone(), false, nowUs, 0, 0, "")
                            : new Peer(
                                    peer.name,
                                    member.zone(),
                                    peer.isUp,
                                    peer.sinceUs,
                                    peer.roundTripUs,
                                    peer.incarnation,
                                    peer.lastLoss));
        }
        peers.clear();
        peers.putAll(kept);
        updateZones(nowUs);
    }

    /** A link to a peer came up. */
    public void linkUp(long nowUs, String name, long incarnation) {
        Peer peer = peers.get(name);
        if (peer != null) {
            peers.put(name, new Peer(name, peer.zone, true, nowUs, peer.roundTripUs, incarnation, peer.lastLoss));
            updateZones(nowUs);
        }
    }

    /**
     * A link or an attempt to connect ended. After several in a row, {@code sinceUs} is that of the first.
     *
     * @param nowUs monotonic time (us)
     * @param name name of the peer
     * @param reason how the link was lost
     */
    public void linkDown(long nowUs, String name, String reason) {
        Peer peer = peers.get(name);
        if (peer != null) {
            peers.put(
                    name,
                    new Peer(name, peer.zone, false, peer.isUp ? nowUs : peer.sinceUs, 0, peer.incarnation, reason));
            updateZones(nowUs);
        }
    }

    /** The round trip time of a link was measured. */
    public void roundTripMeasured(String name, long roundTripUs) {
        Peer peer = peers.get(name);
        if (peer != null && peer.isUp) {
            peers.put(
                    name, new Peer(name, peer.zone, true, peer.sinceUs, roundTripUs, peer.incarnation, peer.lastLoss));
        }
    }

    private void updateZones(long nowUs) {
        Map<String, int[]> counts = counts();
        zones.keySet().retainAll(counts.keySet());
        counts.forEach((zone, count) -> {
            boolean reachable = 2 * count[1] >= count[0];
            ZoneState before = zones.get(zone);
            if (before == null || before.isReachable != reachable) {
                zones.put(zone, new ZoneState(reachable, nowUs));
            }
        });
    }

    /** By zone: the number of watched members, then the number of those that are up. */
    private Map<String, int[]> counts() {
        Map<String, int[]> counts = new TreeMap<>();
        for (Peer peer : peers.values()) {
            int[] count = counts.computeIfAbsent(peer.zone, zone -> new int[2]);
            count[0]++;
            count[1] += peer.isUp ? 1 : 0;
        }
        return counts;
    }

    /** All peers, ordered by name. */
    public List<Peer> peers() {
        return List.copyOf(peers.values());
    }

    /** All zones, ordered by name. */
    public List<Zone> zones() {
        List<Zone> all = new ArrayList<>();
        counts().forEach((zone, count) -> {
            ZoneState state = zones.get(zone);
            all.add(new Zone(zone, count[0], count[1], state.isReachable, state.sinceUs));
        });
        return all;
    }

    /** Whether a zone is reachable; false for an unknown one. */
    public boolean isReachable(String zone) {
        ZoneState state = zones.get(zone);
        return state != null && state.isReachable;
    }
}
