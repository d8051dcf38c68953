package sandpaddle.fleet.node.loop;

import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Set;
import sandpaddle.decision.event.EngineEntry;
import sandpaddle.decision.event.EngineListKind;
import sandpaddle.decision.event.EngineListReceived;
import sandpaddle.decision.event.EngineStatus;

/** The engines that the endpoint list shows as up, and which are in this gateway's zone. Owned by the event loop. */
final class ListedEngines {
    private final int zone;
    private final Set<String> up = new LinkedHashSet<>();
    private final Set<String> inZone = new HashSet<>();

    ListedEngines(int zone) {
        this.zone = zone;
    }

    /** Applies a full list, or changes to it. */
    void update(EngineListReceived list) {
        if (list.kind() != EngineListKind.CHANGES) {
            up.clear();
        }
        for (EngineEntry entry : list.entries()) {
            boolean isUp = entry.status() == EngineStatus.UP;
            put(up, entry.id(), isUp);
            put(inZone, entry.id(), isUp && entry.zone() == zone);
        }
        inZone.retainAll(up);
    }

    private static void put(Set<String> set, String id, boolean present) {
        if (present) {
            set.add(id);
        } else {
            set.remove(id);
        }
    }

    /** Ids of the engines that are up, in the order of the list; a live view of them. */
    Set<String> up() {
        return up;
    }

    /** Whether an engine in this gateway's zone is up. */
    boolean hasInZone() {
        return !inZone.isEmpty();
    }
}
