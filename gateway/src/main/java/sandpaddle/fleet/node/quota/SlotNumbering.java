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
 * The slots of this gateway in their order, by the limits in force. Former orders are remembered a while, since the
 * loop goes on counting by the one that it has seen last.
 */
final class SlotNumbering {
    private static final int REMEMBERED = 8;

    /** One order of slots. */
    record Order(long number, List<LimitSlot> slots, Map<Quotas.Key, Integer> places) {}

    private final List<String> classes;
    private final String zone;
    private final ArrayDeque<Order> orders = new ArrayDeque<>(); // the latest first
    private List<LimitSlot> each = List.of();

    SlotNumbering(List<String> classes, String zone) {
        this.classes = classes;
        this.zone = zone;
        orders.add(new Order(0, List.of(), Map.of()));
    }

    /** Goes by these limits, and by the slots of pools, whose limits are told apart by id; whether the order is new. */
    boolean use(Collection<LimitSpec> limits, Map<String, List<LimitSlot>> pools) {
        List<LimitSlot> slots = new ArrayList<>();
        List<LimitSlot> open = new ArrayList<>();
        if (!pools.isEmpty()) {
            open.add(PoolSlots.NEEDED);
        }
        limits.stream()
                .sorted(Comparator.comparing(LimitSpec::id))
                .filter(this::bindsHere)
                .forEach(spec -> {
                    if (spec.scope().hasWildcard()) {
                        open.add(slot(spec));
                    } else if (!pools.containsKey(spec.id())) {
                        slots.add(slot(spec));
                    }
                });
        pools.values().forEach(slots::addAll);
        each = List.copyOf(open);
        if (slots.equals(latest().slots)) {
            return false;
        }
        Map<Quotas.Key, Integer> places = new HashMap<>();
        for (int i = 0; i < slots.size(); i++) {
            places.put(new Quotas.Key(slots.get(i).id(), slots.get(i).sub()), i);
        }
        orders.addFirst(new Order(latest().number + 1, List.copyOf(slots), places));
        if (orders.size() > REMEMBERED) {
            orders.removeLast();
        }
        return true;
    }

    /** A limit of a class that no query here has must not count them all. */
    private boolean bindsHere(LimitSpec spec) {
        String of = spec.scope().zone();
        String cls = spec.scope().requestClass();
        return (of == null || of.equals(zone) || of.equals(LimitScope.EACH))
                && (cls == null || classes.contains(cls) || cls.equals(LimitScope.EACH));
    }

    private LimitSlot slot(LimitSpec spec) {
        LimitScope s = spec.scope();
        return new LimitSlot(
                spec.id(),
                "",
                s.requestClass() == null ? -1 : classes.indexOf(s.requestClass()),
                s.tenant(),
                s.engine(),
                counts(spec.unit()));
    }

    private static LimitSlot.Counts counts(LimitUnit unit) {
        return switch (unit) {
            case RUNNING -> LimitSlot.Counts.RUNNING;
            case CONNECTIONS -> LimitSlot.Counts.CONNECTIONS;
            case RATE -> LimitSlot.Counts.STARTS;
        };
    }

    Order latest() {
        return orders.peekFirst();
    }

    /** Limits that have a slot for each engine or tenant. */
    List<LimitSlot> each() {
        return each;
    }

    /** A former order, or the latest. */
    Optional<Order> order(long number) {
        return orders.stream().filter(o -> o.number == number).findFirst();
    }
}
