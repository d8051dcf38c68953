package sandpaddle.fleet.node.loop;

import java.lang.invoke.VarHandle;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;
import sandpaddle.engineclient.ConnectionBudget;
import sandpaddle.fleet.view.FleetView;
import sandpaddle.fleet.view.LimitSlot;
import sandpaddle.fleet.view.OpenConnections;
import sandpaddle.fleet.view.Publication;

/**
 * Limits this gateway's connections by the budgets of the pool policy: for each limit that covers an engine (its own,
 * that of its kind and that of the fleet), the open connections, idle ones included, are at most the sum of this
 * gateway's quotas in it. A connection is counted before the quotas are read, with a full fence between, as in {@link
 * sandpaddle.fleet.view.AttemptCounters}. Cost: O(limits that cover an engine) for each connection opened or checked.
 * Owned by the event loop, except {@link #setControlConnections}.
 */
public final class PoolBudget implements ConnectionBudget {
    /** One limit of a view: its slots, and one of them, which names the engines whose connections count. */
    private record PooledLimit(LimitSlot scope, List<Integer> slots) {}

    private final Publication<FleetView> views;
    private final OpenConnections connections;
    private final LongSupplier clock;
    private volatile Map<String, Integer> controlConnections = Map.of(); // by engine, in addition to the quotas
    private FleetView lastView = FleetView.EMPTY; // the limits below are those of its slots
    private List<PooledLimit> sharedLimits = List.of();
    private Map<String, PooledLimit> engineLimits = Map.of();
    private Runnable closeIdle = () -> {};

    /**
     * Creates a budget that is unlimited until a view limits connections.
     *
     * @param views views of the fleet's thread
     * @param connections counters of open connections
     * @param clock monotonic time (us)
     */
    public PoolBudget(Publication<FleetView> views, OpenConnections connections, LongSupplier clock) {
        this.views = views;
        this.connections = connections;
        this.clock = clock;
    }

    /** Sets the connections by engine that control calls may open in addition to the quotas. Thread-safe. */
    public void setControlConnections(Map<String, Integer> byEngine) {
        controlConnections = Map.copyOf(byEngine);
    }

    /** Returns the current view, after reading its limits on connections if its slots changed. */
    private FleetView view() {
        FleetView current = views.current();
        if (current.slots() != lastView.slots()) {
            Map<String, PooledLimit> pools = new HashMap<>();
            for (int i = 0; i < current.slots().size(); i++) {
                LimitSlot slot = current.slots().get(i);
                if (slot.counts() == LimitSlot.Counts.CONNECTIONS
                        && slot.classIndex() < 0
                        && slot.tenant() == null | slot.poolScope() != null) {
                    pools.computeIfAbsent(slot.id(), id -> new PooledLimit(slot, new ArrayList<>()))
                            .slots
                            .add(i);
                }
            }
            Map<String, PooledLimit> byEngineName = new HashMap<>();
            List<PooledLimit> shared = new ArrayList<>();
            for (PooledLimit pool : pools.values()) {
                if (pool.scope.engine() != null) {
                    byEngineName.merge(pool.scope.engine(), pool, (a, b) -> a);
                } else {
                    shared.add(pool);
                }
            }
            engineLimits = byEngineName;
            sharedLimits = shared;
        }
        lastView = current;
        return current;
    }

    /** By how many connections the open ones exceed the quotas, the maximum over all limits that cover the engine. */
    private long excess(String engine, int extra) {
        FleetView view = view();
        long nowUs = clock.getAsLong();
        PooledLimit engineLimit = engineLimits.get(engine);
        long max = engineLimit == null ? 0 : excess(view, engineLimit, nowUs, extra);
        for (PooledLimit pool : sharedLimits) {
            boolean covers = pool.scope.poolScope() == null
                    || pool.scope.poolScope().engines() == null
                    || pool.scope.poolScope().engines().contains(engine);
            max = covers ? Math.max(max, excess(view, pool, nowUs, extra)) : max;
        }
        return max;
    }

    /** By how many connections the open ones exceed the quotas in one limit; negative if more may be opened. */
    private long excess(FleetView view, PooledLimit pool, long nowUs, int extra) {
        long allowed = extra;
        for (int slot : pool.slots) {
            allowed += view.quota(slot, nowUs);
        }
        long open = pool.scope.engine() != null
                ? connections.count(pool.scope.engine())
                : connections.countAll(
                        pool.scope.poolScope() == null
                                ? null
                                : pool.scope.poolScope().engines());
        return open - allowed;
    }

    @Override
    public boolean tryAcquire(String engine, boolean forControl) {
        connections.opened(engine);
        VarHandle.fullFence();
        if (excess(engine, forControl ? controlConnections.getOrDefault(engine, 0) : 0) <= 0) {
            return true;
        }
        connections.closed(engine);
        return false;
    }

    @Override
    public void release(String engine) {
        connections.closed(engine);
    }

    @Override
    public boolean isExceeded(String engine) {
        return excess(engine, controlConnections.getOrDefault(engine, 0)) > 0;
    }

    @Override
    public void onReduced(Runnable trim) {
        closeIdle = trim;
    }

    /** Closes idle connections if the open ones exceed a limit. Checks each limit once. */
    void closeIdleIfExceeded() {
        FleetView view = view();
        long nowUs = clock.getAsLong();
        boolean isExceeded = false;
        for (Map.Entry<String, PooledLimit> entry : engineLimits.entrySet()) {
            isExceeded |= excess(view, entry.getValue(), nowUs, controlConnections.getOrDefault(entry.getKey(), 0)) > 0;
        }
        for (PooledLimit pool : sharedLimits) {
            isExceeded |= excess(view, pool, nowUs, 0) > 0;
        }
        if (isExceeded) {
            closeIdle.run();
        }
    }
}
