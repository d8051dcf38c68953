package sandpaddle.lab.scale;

import java.util.HashMap;
import java.util.Map;

/** Counts concurrent attempts against the fleet's concurrency limits, from the events of attempts alone. */
final class ConcurrencyCounter {
    private final Map<String, Long> limits = new HashMap<>();
    private final Map<String, Long> running = new HashMap<>();
    private final Map<String, String> tenantByAttempt = new HashMap<>(); // attempts that are running
    private long maxExcess;
    private long startedAttempts;
    private long quotaWaitTimeouts;

    void limit(String name, long amount) {
        limits.put(name, amount);
    }

    void attemptStarted(String attempt, String tenant) {
        tenantByAttempt.put(attempt, tenant);
        startedAttempts++;
        add(ScaleFleet.ALL_LIMIT, 1);
        add(tenant, 1);
    }

    void attemptEnded(String attempt) {
        String tenant = tenantByAttempt.remove(attempt);
        if (tenant != null) {
            add(ScaleFleet.ALL_LIMIT, -1);
            add(tenant, -1);
        }
    }

    /** Changes the count of a limit. The limit of a tenant has the name of the tenant. */
    private void add(String limit, long change) {
        long current = running.merge(limit, change, Long::sum);
        if (limits.containsKey(limit)) {
            maxExcess = Math.max(maxExcess, current - limits.get(limit));
        }
    }

    /** The largest excess over any limit at any time; 0 if none was exceeded. */
    long maxExcess() {
        return maxExcess;
    }

    /** Records that a query got no quota before its deadline. */
    void quotaWaitTimedOut() {
        quotaWaitTimeouts++;
    }

    /** The number of queries that got no quota before their deadline. */
    long quotaWaitTimeouts() {
        return quotaWaitTimeouts;
    }

    /** The number of attempts that were started. */
    long startedAttempts() {
        return startedAttempts;
    }
}
