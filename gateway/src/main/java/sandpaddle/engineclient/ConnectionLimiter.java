package sandpaddle.engineclient;

/**
 * Counts the connections to all engines against the process's limit on file descriptors and against the fleet's {@link
 * ConnectionBudget}; closes idle ones to stay within them. Confined to the event loop's thread.
 */
final class ConnectionLimiter {
    /** Reserved for calls that cancel an attempt: without a connection it would run concurrently with its retry. */
    private static final int RESERVED_CONNECTIONS = 8;

    private final int maxUnreserved;
    private final Iterable<ConnectionPool> pools;
    private ConnectionBudget budget = ConnectionBudget.NONE;
    private int connections;

    /**
     * Creates a limiter.
     *
     * @param maxConnections limit on all connections, the reserved ones included
     * @param pools the pools whose idle connections may be closed to stay within the limit
     */
    ConnectionLimiter(int maxConnections, Iterable<ConnectionPool> pools) {
        maxUnreserved = Math.max(1, maxConnections - RESERVED_CONNECTIONS);
        this.pools = pools;
    }

    /** Sets the budget; call it before the first connection is opened. */
    void setBudget(ConnectionBudget next) {
        budget = next;
        budget.onReduced(this::closeExceeding);
    }

    /** Whether a file descriptor is available; closes idle connections if there is none. */
    boolean hasDescriptor(boolean reserved) {
        int max = maxUnreserved + (reserved ? RESERVED_CONNECTIONS : 0);
        if (connections >= max) {
            pools.forEach(ConnectionPool::closeUnused);
        }
        return connections < max;
    }

    /** Acquires one connection of the budget; if none is left, closes idle ones, those of the same pool first. */
    boolean tryAcquire(ConnectionPool pool, boolean reserved) {
        boolean acquired = budget.tryAcquire(pool.id(), reserved);
        while (!acquired && pool.closeOldest()) {
            acquired = budget.tryAcquire(pool.id(), reserved);
        }
        return acquired || tryAcquireFromOthers(pool, reserved);
    }

    private boolean tryAcquireFromOthers(ConnectionPool pool, boolean reserved) {
        for (ConnectionPool other : pools) {
            while (other.closeOldest()) {
                if (budget.tryAcquire(pool.id(), reserved)) {
                    return true;
                }
            }
        }
        return false;
    }

    /** Acquires one connection of the budget if one and a file descriptor are available without closing any. */
    boolean tryAcquireSpare(ConnectionPool pool) {
        return connections < maxUnreserved && budget.tryAcquire(pool.id(), false);
    }

    /** Counts the file descriptor of a connection that the budget has counted. */
    void opened() {
        connections++;
    }

    /** Releases a connection that was counted and has ended, or was never established. */
    void closed(ConnectionPool pool) {
        connections--;
        budget.release(pool.id());
    }

    private void closeExceeding() {
        for (ConnectionPool pool : pools) {
            boolean closed = true;
            while (closed && budget.isExceeded(pool.id())) {
                closed = pool.closeOldest();
            }
        }
    }
}
