package sandpaddle.fleet.node.quota;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import sandpaddle.fleet.limit.LimitScope;
import sandpaddle.fleet.limit.LimitSpec;
import sandpaddle.fleet.limit.LimitUnit;
import sandpaddle.fleet.limit.lease.Quotas;
import sandpaddle.fleet.node.pool.PoolSlots;
import sandpaddle.fleet.view.LimitSlot;

/**
 * Numbers this gateway's slots by the limits in force. The last {@link #MAX_ORDERS} orders are kept, since the event
 * loop counts by the order of the view that it adopted last, which may be a former one. Not thread-safe: owned by the
 * fleet's thread.
 */
final class SlotNumbering {
    private static final int MAX_ORDERS = 8;

    /**
     * One order of slots.
     *
     * @param number incremented with each new order
     * @param slots the slots; the position of a slot is its index
     * @param indexes the index of each slot
     */
    record SlotOrder(long number, List<LimitSlot> slots, Map<Quotas.Key, Integer> indexes) {}

    private final List<String> classes;
    private final String zone;
    private final ArrayDeque<SlotOrder> orders = new ArrayDeque<>(); // the latest first
    private List<LimitSlot> perKeySlots = List.of();

    SlotNumbering(List<String> classes, String zone) {
        this.classes = classes;
        this.zone = zone;
        orders.add(new SlotOrder(0, List.of(), Map.of()));
    }

    /**
     * Numbers the slots of these limits.
     *
     * @param limits the limits in force, with their instances
     * @param poolSlots this gateway's slots of limits that are divided by a pool policy, by limit id
     * @return whether the order changed
     */
    boolean update(Collection<LimitSpec> limits, Map<String, List<LimitSlot>> poolSlots) {
        List<LimitSlot> slots = new ArrayList<>();
        List<LimitSlot> wildcards = new ArrayList<>();
        if (!poolSlots.isEmpty()) {
            wildcards.add(PoolSlots.REQUIRED);
        }
        limits.stream()
                .sorted(Comparator.comparing(LimitSpec::id))
                .filter(this::appliesHere)
                .forEach(spec -> {
                    if (spec.scope().hasWildcard()) {
                        wildcards.add(slot(spec));
                    } else if (!poolSlots.containsKey(spec.id())) {
                        slots.add(slot(spec));
                    }
                });
        poolSlots.values().forEach(slots::addAll);
        perKeySlots = List.copyOf(wildcards);
        if (slots.equals(latest().slots)) {
            return false;
        }
        Map<Quotas.Key, Integer> indexes = new HashMap<>();
        for (int i = 0; i < slots.size(); i++) {
            indexes.put(new Quotas.Key(slots.get(i).id(), slots.get(i).poolTenant()), i);
        }
        orders.addFirst(new SlotOrder(latest().number + 1, List.copyOf(slots), indexes));
        if (orders.size() > MAX_ORDERS) {
            orders.removeLast();
        }
        return true;
    }

    /**
     * Whether a limit applies to queries of this gateway. A limit for a class that is not configured here does not: its
     * class index would be -1, which stands for any class.
     */
    private boolean appliesHere(LimitSpec spec) {
        String limitZone = spec.scope().zone();
        String requestClass = spec.scope().requestClass();
        return (limitZone == null || limitZone.equals(zone) || limitZone.equals(LimitScope.EACH))
                && (requestClass == null || classes.contains(requestClass) || requestClass.equals(LimitScope.EACH));
    }

    private LimitSlot slot(LimitSpec spec) {
        LimitScope scope = spec.scope();
        return new LimitSlot(
                spec.id(),
                "",
                scope.requestClass() == null ? -1 : classes.indexOf(scope.requestClass()),
                scope.tenant(),
                scope.engine(),
                counts(spec.unit()));
    }

    private static LimitSlot.Counts counts(LimitUnit unit) {
        return switch (unit) {
            case RUNNING -> LimitSlot.Counts.RUNNING;
            case CONNECTIONS -> LimitSlot.Counts.CONNECTIONS;
            case RATE -> LimitSlot.Counts.STARTS;
        };
    }

    /** The order in force. */
    SlotOrder latest() {
        return orders.peekFirst();
    }

    /** Limits that have one slot for each engine or tenant. */
    List<LimitSlot> perKeySlots() {
        return perKeySlots;
    }

    /** The order with this number; empty if it was dropped. */
    Optional<SlotOrder> order(long number) {
        return orders.stream().filter(order -> order.number == number).findFirst();
    }
}
