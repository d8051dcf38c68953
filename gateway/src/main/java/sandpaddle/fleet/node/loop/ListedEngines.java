package sandpaddle.fleet.node.loop;

import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Set;
import sandpaddle.decision.event.EngineEntry;
import sandpaddle.decision.event.EngineListKind;
import sandpaddle.decision.event.EngineListReceived;
import sandpaddle.decision.event.EngineStatus;

/** The engines that the list shows as up, and which of them stand in this gateway's zone. Used on the event loop. */
final class ListedEngines {
    private final int zone;
    private final Set<String> up = new LinkedHashSet<>();
    private final Set<String> inside = new HashSet<>();

    ListedEngines(int zone) {
        this.zone = zone;
    }

    /** Applies a list or its changes. */
    void update(EngineListReceived list) {
        if (list.kind() != EngineListKind.CHANGES) {
            up.clear();
        }
        for (EngineEntry entry : list.entries()) {
            boolean isUp = entry.status() == EngineStatus.UP;
            put(up, entry.id(), isUp);
            put(inside, entry.id(), isUp && entry.zone() == zone);
        }
        inside.retainAll(up);
    }

    private static void put(Set<String> set, String id, boolean in) {
        if (in) {
            set.add(id);
        } else {
            set.remove(id);
        }
    }

    Set<String> up() {
        return up;
    }

    boolean hasInside() {
        return !inside.isEmpty();
    }
}
