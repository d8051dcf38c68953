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

/**
 * This gateway's usage and demand, read from the event loop's counters. A query that waits for an engine counts as
 * demand of every limit that is not by engine; of an engine's limit it demands its part, as it may go to any.
 */
final class MeasuredUsage implements UsageSource {
    private static final double WEIGHT = 0.2; // of a heartbeat in a smoothed rate: some five heartbeats matter
    private static final long THOUSANDTHS = 1000;
    private static final double SECOND_US = 1e6;

    private static final class Rate {
        private long taken;
        private double perSecond;
    }

    private final SlotNumbering numbering;
    private final Publication<sandpaddle.fleet.view.SlotUsage> usages;
    private final OpenConnections connections;
    private final Map<Quotas.Key, Rate> rates = new HashMap<>();
    private long sampledAt;
    private long sampledNumber = -1;
    private int engines = 1;
    private final Map<String, Long> overs = new HashMap<>(); // of the view published last
    private FleetView view = FleetView.EMPTY;
    private long now;

    MeasuredUsage(
            SlotNumbering numbering, Publication<sandpaddle.fleet.view.SlotUsage> usages, OpenConnections connections) {
        this.numbering = numbering;
        this.usages = usages;
        this.connections = connections;
    }

    /** What the loop may use from here on. */
    void published(FleetView next) {
        view = next;
        overs.clear();
    }

    void engines(int listed) {
        engines = Math.max(1, listed);
    }

    /** With each heartbeat: how often queries came for limits that bound what begins in a time. */
    void sample(long at) {
        now = at;
        sandpaddle.fleet.view.SlotUsage usage = usages.current();
        SlotNumbering.Order order = numbering.order(usage.numbering()).orElse(null);
        if (order == null) {
            return;
        }
        boolean same = usage.numbering() == sampledNumber;
        rates.keySet().retainAll(order.places().keySet());
        order.places().forEach((key, place) -> {
            if (order.slots().get(place).counts().isRate()) {
                Rate r = rates.computeIfAbsent(key, k -> new Rate());
                long taken = usage.received(place);
                if (same && at > sampledAt) {
                    r.perSecond += WEIGHT * ((taken - r.taken) * SECOND_US / (at - sampledAt) - r.perSecond);
                }
                r.taken = taken;
            }
        });
        sampledNumber = usage.numbering();
        sampledAt = at;
    }

    @Override
    public long used(String limit, String sub) {
        sandpaddle.fleet.view.SlotUsage usage = usages.current();
        Integer place = place(usage, limit, sub);
        long running = place == null ? 0 : usage.running(place);
        Integer mine = numbering.latest().places().get(new Quotas.Key(limit, sub));
        LimitSlot slot = mine == null ? null : numbering.latest().slots().get(mine);
        if (slot == null
                || slot.counts() != LimitSlot.Counts.CONNECTIONS
                || view.numbering() != numbering.latest().number()) {
            return running;
        }
        if (slot.poolScope() == null) {
            return slot.engine() == null ? running : Math.max(running, connections.count(slot.engine()));
        }
        long over = overs.computeIfAbsent(
                limit, l -> connections.countAll(slot.poolScope().engines()) - allowed(limit));
        return over <= 0 ? running : Math.max(running, view.quota(mine, now)) + over;
    }

    /**
     * What all slots here may use of a limit. An idle connection is no tenant's, so while more are open than that, each
     * slot counts them all: so none of them is promised away before it is closed.
     */
    private long allowed(String limit) {
        long sum = 0;
        List<LimitSlot> slots = view.slots();
        for (int i = 0; i < slots.size(); i++) {
            sum += slots.get(i).id().equals(limit) ? view.quota(i, now) : 0;
        }
        return sum;
    }

    private Integer place(sandpaddle.fleet.view.SlotUsage usage, String limit, String sub) {
        return numbering
                .order(usage.numbering())
                .map(o -> o.places().get(new Quotas.Key(limit, sub)))
                .orElse(null);
    }

    @Override
    public long demand(String limit, String sub) {
        sandpaddle.fleet.view.SlotUsage usage = usages.current();
        Integer place = place(usage, limit, sub);
        if (place == null) {
            return 0;
        }
        LimitSlot slot =
                numbering.order(usage.numbering()).orElseThrow().slots().get(place);
        if (slot.counts().isRate()) {
            Rate r = rates.get(new Quotas.Key(limit, sub));
            return r == null ? 0 : (long) Math.ceil(r.perSecond * THOUSANDTHS);
        }
        long waiting = slot.engine() == null ? usage.waiting(place) : (waitingInAll(usage) + engines - 1) / engines;
        if (slot.poolScope() != null
                && slot.poolScope().engines() != null) { // any engine would do, so the kind's part of all
            long part = Math.min(engines, slot.poolScope().engines().size());
            waiting = (waiting * part + engines - 1) / engines;
        }
        return usage.running(place) + waiting;
    }

    /** The most that wait in any limit that is not by engine: each query waits once, in several of them. */
    private long waitingInAll(sandpaddle.fleet.view.SlotUsage usage) {
        SlotNumbering.Order order = numbering.order(usage.numbering()).orElseThrow();
        long max = 0;
        for (int i = 0; i < order.slots().size(); i++) {
            max = order.slots().get(i).engine() == null ? Math.max(max, usage.waiting(i)) : max;
        }
        return max;
    }
}
