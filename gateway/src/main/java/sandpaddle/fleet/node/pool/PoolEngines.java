package sandpaddle.fleet.node.pool;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import sandpaddle.decision.event.EngineEntry;
import sandpaddle.decision.event.EngineListKind;
import sandpaddle.decision.event.EngineListReceived;
import sandpaddle.decision.event.EngineStatus;

/**
 * The engines that pool budgets apply to, with the names of their kinds. An engine that is no longer up is kept for
 * {@value #RETENTION_US} us: attempts may still run on it, and its limit must exist as long as they do. At {@value
 * #MAX_ENGINES} engines, those that are down are removed at once. Owned by the fleet's thread.
 */
public final class PoolEngines {
    static final int MAX_ENGINES = 4096;
    private static final long RETENTION_US = 60_000_000;

    private final List<String> kinds;
    private final Map<String, PoolEngine> engines = new TreeMap<>();
    private final Map<String, Long> removeAtUs = new HashMap<>(); // of the engines that are down, by name

    /** Creates an empty collection; {@code kinds} are the names of the engine kinds by number. */
    public PoolEngines(List<String> kinds) {
        this.kinds = List.copyOf(kinds);
    }

    /** Applies a full endpoint list, or changes to it. */
    public void update(long nowUs, EngineListReceived list) {
        if (list.kind() != EngineListKind.CHANGES) {
            List.copyOf(engines.values()).forEach(engine -> markDown(nowUs, engine));
        }
        for (EngineEntry entry : list.entries()) {
            if (entry.status() == EngineStatus.UP) {
                String kind = entry.kind() >= 0 && entry.kind() < kinds.size()
                        ? kinds.get(entry.kind())
                        : "kind-" + entry.kind();
                removeAtUs.remove(entry.id());
                if (engines.containsKey(entry.id()) || engines.size() < MAX_ENGINES) {
                    engines.put(entry.id(), new PoolEngine(entry.id(), kind, true));
                }
            } else if (engines.containsKey(entry.id())) {
                markDown(nowUs, engines.get(entry.id()));
            }
        }
        removeExpired(engines.size() >= MAX_ENGINES ? Long.MAX_VALUE : nowUs);
    }

    private void markDown(long nowUs, PoolEngine engine) {
        if (engine.up()) {
            engines.put(engine.name(), new PoolEngine(engine.name(), engine.kind(), false));
            removeAtUs.put(engine.name(), nowUs + RETENTION_US);
        }
    }

    private void removeExpired(long nowUs) {
        removeAtUs.entrySet().removeIf(entry -> {
            boolean isExpired = entry.getValue() <= nowUs;
            if (isExpired) {
                engines.remove(entry.getKey());
            }
            return isExpired;
        });
    }

    /** The engines at this time, in the order of their names. */
    public List<PoolEngine> all(long nowUs) {
        removeExpired(nowUs);
        return new ArrayList<>(engines.values());
    }
}
