package sandpaddle.fleet.node.quota;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import sandpaddle.fleet.limit.lease.Quotas;
import sandpaddle.fleet.limit.lease.UsageSource;
import sandpaddle.fleet.view.FleetView;
import sandpaddle.fleet.view.LimitSlot;
import sandpaddle.fleet.view.OpenConnections;
import sandpaddle.fleet.view.Publication;
import sandpaddle.fleet.view.SlotUsage;

/**
 * The usage and demand of this gateway's slots, read from the event loop's counters. A query that waits for an engine
 * counts as demand of every limit that is not for one engine. Limits for one engine get an even part of all waiting
 * queries, since a query may go to any engine. Not thread-safe: owned by the fleet's thread.
 */
final class MeasuredUsage implements UsageSource {
    private static final double RATE_SMOOTHING = 0.2; // weight of the latest heartbeat: about five count
    private static final long THOUSANDTHS_PER_UNIT = 1000;
    private static final double US_PER_SECOND = 1e6;

    /** The smoothed arrival rate of one slot. */
    private static final class ArrivalRate {
        private long received; // counter value of the last sample
        private double perSecond;
    }

    private final SlotNumbering numbering;
    private final Publication<SlotUsage> usages;
    private final OpenConnections connections;
    private final Map<Quotas.Key, ArrivalRate> rates = new HashMap<>();
    private long sampledAtUs;
    private long sampledNumbering = -1;
    private int engineCount = 1;
    // connections above the quota by limit, since the last view was published
    private final Map<String, Long> excessByLimit = new HashMap<>();
    private FleetView view = FleetView.EMPTY;
    private long nowUs; // time of the last sample

    MeasuredUsage(SlotNumbering numbering, Publication<SlotUsage> usages, OpenConnections connections) {
        this.numbering = numbering;
        this.usages = usages;
        this.connections = connections;
    }

    /** Records the view that the event loop adopts from now on. */
    void onViewPublished(FleetView next) {
        view = next;
        excessByLimit.clear();
    }

    /** Sets the number of engines in the endpoint list. */
    void setEngineCount(int count) {
        engineCount = Math.max(1, count);
    }

    /** Updates the arrival rates for rate limits; called once per heartbeat. */
    void sample(long atUs) {
        nowUs = atUs;
        SlotUsage usage = usages.current();
        SlotNumbering.SlotOrder order = numbering.order(usage.numbering()).orElse(null);
        if (order == null) {
            return;
        }
        boolean sameNumbering = usage.numbering() == sampledNumbering;
        rates.keySet().retainAll(order.indexes().keySet());
        order.indexes().forEach((key, index) -> {
            if (order.slots().get(index).counts().isRate()) {
                ArrivalRate rate = rates.computeIfAbsent(key, missing -> new ArrivalRate());
                long received = usage.received(index);
                if (sameNumbering && atUs > sampledAtUs) {
                    rate.perSecond += RATE_SMOOTHING
                            * ((received - rate.received) * US_PER_SECOND / (atUs - sampledAtUs) - rate.perSecond);
                }
                rate.received = received;
            }
        });
        sampledNumbering = usage.numbering();
        sampledAtUs = atUs;
    }

    @Override
    public long used(String limit, String tenant) {
        SlotUsage usage = usages.current();
        Integer index = slotIndex(usage, limit, tenant);
        long running = index == null ? 0 : usage.running(index);
        Integer latestIndex = numbering.latest().indexes().get(new Quotas.Key(limit, tenant));
        LimitSlot slot = latestIndex == null ? null : numbering.latest().slots().get(latestIndex);
        if (slot == null
                || slot.counts() != LimitSlot.Counts.CONNECTIONS
                || view.numbering() != numbering.latest().number()) {
            return running;
        }
        if (slot.poolScope() == null) {
            return slot.engine() == null ? running : Math.max(running, connections.count(slot.engine()));
        }
        long excess = excessByLimit.computeIfAbsent(
                limit, id -> connections.countAll(slot.poolScope().engines()) - quotaOfAllSlots(limit));
        return excess <= 0 ? running : Math.max(running, view.quota(latestIndex, nowUs)) + excess;
    }

    /**
     * Sum of the quotas of this gateway's slots under one limit. An idle connection belongs to no tenant. So while more
     * connections are open than this sum, each slot counts the whole excess as used: the leader cannot allocate any of
     * it to another gateway before it is closed.
     */
    private long quotaOfAllSlots(String limit) {
        long sum = 0;
        List<LimitSlot> slots = view.slots();
        for (int i = 0; i < slots.size(); i++) {
            sum += slots.get(i).id().equals(limit) ? view.quota(i, nowUs) : 0;
        }
        return sum;
    }

    /** The index of a slot in the numbering of these counters; null if it has none. */
    private Integer slotIndex(SlotUsage usage, String limit, String tenant) {
        return numbering
                .order(usage.numbering())
                .map(order -> order.indexes().get(new Quotas.Key(limit, tenant)))
                .orElse(null);
    }

    @Override
    public long demand(String limit, String tenant) {
        SlotUsage usage = usages.current();
        Integer index = slotIndex(usage, limit, tenant);
        if (index == null) {
            return 0;
        }
        LimitSlot slot =
                numbering.order(usage.numbering()).orElseThrow().slots().get(index);
        if (slot.counts().isRate()) {
            ArrivalRate rate = rates.get(new Quotas.Key(limit, tenant));
            return rate == null ? 0 : (long) Math.ceil(rate.perSecond * THOUSANDTHS_PER_UNIT);
        }
        long waiting =
                slot.engine() == null ? usage.waiting(index) : (maxWaiting(usage) + engineCount - 1) / engineCount;
        // a waiting query may go to any engine, so the engines of a pool get an even part of the demand
        if (slot.poolScope() != null && slot.poolScope().engines() != null) {
            long part = Math.min(engineCount, slot.poolScope().engines().size());
            waiting = (waiting * part + engineCount - 1) / engineCount;
        }
        return usage.running(index) + waiting;
    }

    /**
     * The largest number of waiting queries of any slot that is not for one engine. Not their sum: a query waits in
     * several slots at once.
     */
    private long maxWaiting(SlotUsage usage) {
        SlotNumbering.SlotOrder order = numbering.order(usage.numbering()).orElseThrow();
        long max = 0;
        for (int i = 0; i < order.slots().size(); i++) {
            max = order.slots().get(i).engine() == null ? Math.max(max, usage.waiting(i)) : max;
        }
        return max;
    }
}
