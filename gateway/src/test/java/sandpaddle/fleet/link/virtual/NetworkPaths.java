package sandpaddle.fleet.link.virtual;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** Delay and faults of each directed path between two nodes. */
final class NetworkPaths {
    private static final long DEFAULT_DELAY_US = 200;

    private final Map<String, Long> delays = new HashMap<>();
    private final Set<String> cuts = new HashSet<>();
    private final Set<String> stalledReads = new HashSet<>();
    private long delayUs = DEFAULT_DELAY_US;

    private static String path(String from, String to) {
        return from + ">" + to;
    }

    void cut(String from, String to) {
        cuts.add(path(from, to));
    }

    void heal(String from, String to) {
        cuts.remove(path(from, to));
    }

    void healAll() {
        cuts.clear();
    }

    boolean isCut(String from, String to) {
        return !cuts.isEmpty() && cuts.contains(path(from, to));
    }

    void stallReads(String from, String to) {
        stalledReads.add(path(from, to));
    }

    void resumeReads(String from, String to) {
        stalledReads.remove(path(from, to));
    }

    boolean isStalled(String from, String to) {
        return !stalledReads.isEmpty() && stalledReads.contains(path(from, to));
    }

    void delay(String from, String to, long us) {
        delays.put(path(from, to), us);
    }

    void delay(long us) {
        delayUs = us;
    }

    long delayOf(String from, String to) {
        return delays.isEmpty() ? delayUs : delays.getOrDefault(path(from, to), delayUs);
    }
}
