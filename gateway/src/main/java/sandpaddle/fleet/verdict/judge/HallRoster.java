package sandpaddle.fleet.verdict.judge;

import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

/** The fleet's gateways and their halls, as agreed: no message can say that a gateway stands elsewhere. */
record HallRoster(String self, Map<String, String> hallOf) {
    HallRoster {
        hallOf = new TreeMap<>(hallOf);
    }

    String hall(String gateway) {
        return hallOf.getOrDefault(gateway, "");
    }

    String ownHall() {
        return hall(self);
    }

    TreeSet<String> halls() {
        return new TreeSet<>(hallOf.values());
    }
}
