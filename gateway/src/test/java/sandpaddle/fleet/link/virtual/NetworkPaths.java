package sandpaddle.fleet.link.virtual;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** The state of each way from one node to another. */
final class Ways {
    private static final long USUAL_DELAY_US = 200;

    private final Map<String, Long> delays = new HashMap<>();
    private final Set<String> cuts = new HashSet<>();
    private final Set<String> clogs = new HashSet<>();
    private long delayUs = USUAL_DELAY_US;

    private static String way(String from, String to) {
        return from + ">" + to;
    }

    void cut(String from, String to) {
        cuts.add(way(from, to));
    }

    void heal(String from, String to) {
        cuts.remove(way(from, to));
    }

    void healAll() {
        cuts.clear();
    }

    boolean isCut(String from, String to) {
        return !cuts.isEmpty() && cuts.contains(way(from, to));
    }

    void clog(String from, String to) {
        clogs.add(way(from, to));
    }

    void unclog(String from, String to) {
        clogs.remove(way(from, to));
    }

    boolean isClogged(String from, String to) {
        return !clogs.isEmpty() && clogs.contains(way(from, to));
    }

    void delay(String from, String to, long us) {
        delays.put(way(from, to), us);
    }

    void delay(long us) {
        delayUs = us;
    }

    long delayOf(String from, String to) {
        return delays.isEmpty() ? delayUs : delays.getOrDefault(way(from, to), delayUs);
    }
}
