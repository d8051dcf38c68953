package sandpaddle.decision.admission;

import java.util.HashMap;
import java.util.Map;

/** Classes without an engine with capacity in one pass over the queue, by tenant, for first attempts and retries. */
final class FullClasses {
    /** Index of first attempts. */
    private static final int FIRST_ATTEMPT = 0;
    /** Index of retries. */
    private static final int RETRY = 1;

    private final int classes;
    private final Map<Integer, boolean[][]> byTenant = new HashMap<>();

    FullClasses(int classes) {
        this.classes = classes;
    }

    /** Begins a new pass. */
    void clear() {
        byTenant.clear();
    }

    /** Whether requests of a class can be skipped; retries have one candidate less than first attempts. */
    boolean isFull(int tenant, int classIndex, boolean retry) {
        boolean[][] full = byTenant.get(tenant);
        return full != null && (full[FIRST_ATTEMPT][classIndex] || retry && full[RETRY][classIndex]);
    }

    /** Records that no engine has capacity for a request of a class. */
    void setFull(int tenant, int classIndex, boolean retry) {
        boolean[][] full = byTenant.computeIfAbsent(tenant, unused -> new boolean[2][classes]);
        full[retry ? RETRY : FIRST_ATTEMPT][classIndex] = true;
    }
}
