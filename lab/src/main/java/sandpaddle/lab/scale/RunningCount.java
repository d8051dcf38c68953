package sandpaddle.lab.scale;

import java.util.HashMap;
import java.util.Map;

/** How far what ran at engines was over the fleet's concurrent limits, by the events of attempts alone. */
final class RunningCount {
    private final Map<String, Long> limits = new HashMap<>();
    private final Map<String, Long> running = new HashMap<>();
    private final Map<String, String> tenantOf = new HashMap<>(); // by attempt that runs
    private long overMost;
    private long began;
    private long gaveUp;

    void limit(String name, long amount) {
        limits.put(name, amount);
    }

    void begins(String attempt, String tenant) {
        tenantOf.put(attempt, tenant);
        began++;
        count(ScaleSite.ALL_LIMIT, 1);
        count(tenant, 1);
    }

    void ends(String attempt) {
        String tenant = tenantOf.remove(attempt);
        if (tenant != null) {
            count(ScaleSite.ALL_LIMIT, -1);
            count(tenant, -1);
        }
    }

    /** A tenant's limit has the tenant's name. */
    private void count(String limit, long more) {
        long now = running.merge(limit, more, Long::sum);
        if (limits.containsKey(limit)) {
            overMost = Math.max(overMost, now - limits.get(limit));
        }
    }

    /** The most over any limit at any moment, 0 where none was exceeded. */
    long overMost() {
        return overMost;
    }

    /** A query found no right in time. */
    void gaveUp() {
        gaveUp++;
    }

    /** Queries that found no right in time. */
    long withoutRight() {
        return gaveUp;
    }

    /** Attempts that began. */
    long began() {
        return began;
    }
}
