package sandpaddle.lab.scale;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Tracks when each version of the configuration was applied at each gateway, and finds regressions and losses. */
final class VersionPropagation {
    private record Incarnation(String gateway, long start) {}

    private final Map<Incarnation, Long> versionInForce = new HashMap<>();
    private final TreeMap<Long, Long> proposedAtUs = new TreeMap<>(); // by version
    private final Map<Long, Map<String, Long>> receivedAtUs = new HashMap<>(); // by version, then by gateway
    private long highestVersion = 1;
    private long regressions;

    void proposed(long version, long us) {
        proposedAtUs.put(version, us);
        receivedAtUs.put(version, new HashMap<>());
    }

    void versionApplied(String gateway, long start, long version, long us) {
        Long previous = versionInForce.put(new Incarnation(gateway, start), version);
        regressions += previous != null && version < previous ? 1 : 0;
        highestVersion = Math.max(highestVersion, version);
        proposedAtUs
                .headMap(version, true)
                .keySet()
                .forEach(proposed -> receivedAtUs.get(proposed).putIfAbsent(gateway, us));
    }

    /** How often a gateway went back to an older version without a restart in between. */
    long regressions() {
        return regressions;
    }

    /**
     * The number of versions that were applied at any gateway and are superseded by no version applied at the end.
     *
     * @param starts the latest start number of each gateway
     */
    long lostVersions(Map<String, Long> starts) {
        long last = starts.entrySet().stream()
                .mapToLong(e -> versionInForce.getOrDefault(new Incarnation(e.getKey(), e.getValue()), 0L))
                .max()
                .orElse(0);
        return proposedAtUs.keySet().stream()
                .filter(proposed -> proposed > last && proposed <= highestVersion)
                .count();
    }

    /** Milliseconds from each proposal until each of these gateways applied that version or a later one. */
    List<Long> delaysMs(List<String> gateways) {
        List<Long> all = new ArrayList<>();
        proposedAtUs.forEach((version, at) -> gateways.stream()
                .map(receivedAtUs.get(version)::get)
                .filter(received -> received != null)
                .forEach(received -> all.add((received - at) / 1000)));
        return all;
    }

    /** The number of pairs of a version and a gateway that applied neither that version nor a later one. */
    long notReceived(List<String> gateways) {
        return proposedAtUs.keySet().stream()
                .mapToLong(proposed -> gateways.stream()
                        .filter(gateway -> !receivedAtUs.get(proposed).containsKey(gateway))
                        .count())
                .sum();
    }
}
