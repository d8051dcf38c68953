package sandpaddle.fleet.view;

import java.util.Collection;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Number of open connections to each engine, including idle ones. Written by the event loop, read by the fleet's
 * thread. The event loop counts a connection before it opens it and checks the quota after; the fleet's thread
 * publishes a lower quota first and reads the counts after. Memory: the engines with open connections.
 */
public final class OpenConnections {
    private final Map<String, AtomicInteger> countByEngine = new ConcurrentHashMap<>();

    /** Counts a connection that is about to open; on the event loop. */
    public void opened(String engine) {
        countByEngine.computeIfAbsent(engine, e -> new AtomicInteger()).incrementAndGet();
    }

    /** Counts a closed connection; on the event loop. */
    public void closed(String engine) {
        if (countByEngine.get(engine).decrementAndGet() == 0) {
            countByEngine.remove(engine);
        }
    }

    /** Connections to one engine; from any thread. */
    public int count(String engine) {
        AtomicInteger open = countByEngine.get(engine);
        return open == null ? 0 : open.get();
    }

    /** Connections to these engines, or to all if null; from any thread. */
    public int countAll(Collection<String> engines) {
        int sum = 0;
        if (engines == null) {
            for (AtomicInteger open : countByEngine.values()) {
                sum += open.get();
            }
        } else {
            for (String engine : engines) {
                sum += count(engine);
            }
        }
        return sum;
    }
}
