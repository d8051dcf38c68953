package sandpaddle.fleet.limit.allocator;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import sandpaddle.fleet.limit.LimitScope;
import sandpaddle.fleet.limit.LimitSettings;
import sandpaddle.fleet.limit.LimitSpec;
import sandpaddle.fleet.limit.LimitUnit;
import sandpaddle.fleet.limit.table.GatewayRow;
import sandpaddle.fleet.limit.table.LimitRow;
import sandpaddle.fleet.limit.table.QuotaTable;
import sandpaddle.fleet.limit.table.SlotAllocation;
import sandpaddle.fleet.limit.table.SlotChange;
import sandpaddle.fleet.limit.table.SlotName;

/**
 * Collects the demand for one limit, computes the targets of its slots, and lets the limit's allocator move quotas
 * towards them. Used only by {@link QuotaAllocator}, on its thread.
 */
final class LimitPlanner {
    private final LimitSettings settings;
    private final QuotaTable table;
    private final TargetPolicy targets;
    /** Gateways with a floor of one unit, by limit with wildcard and by its instance. */
    private final Map<String, Map<String, Set<String>>> floorPlaces = new HashMap<>();

    private long floorPlacesRevision = -1; // revision of the fleet that floorPlaces was computed for

    LimitPlanner(LimitSettings settings, QuotaTable table, TargetPolicy targets) {
        this.settings = settings;
        this.table = table;
        this.targets = targets;
    }

    /** The slots of one limit, as they are collected for a plan. */
    private static final class PlanInput {
        final List<String> members = new ArrayList<>(); // that the limit applies to
        final List<SlotDemand> demands = new ArrayList<>(); // of slots that get a target
        final List<Boolean> canGrow = new ArrayList<>(); // for each of the demands
        final List<SlotDemand> toEmpty = new ArrayList<>(); // slots that must give up their whole quota
        long amount; // of the limit, without the quotas of gateways that are not alive
    }

    List<SlotChange> plan(long nowUs, LimitRow row, LimitAllocator allocator, Map<String, GatewayState> gateways) {
        LimitSpec spec = row.spec();
        boolean byPolicy = targets.appliesTo(spec);
        PlanInput input = new PlanInput();
        input.amount = row.amount();
        for (GatewayRow member : table.members().values()) {
            GatewayState gateway = gateways.get(member.name());
            collect(nowUs, row, allocator, member, gateway, byPolicy, input);
        }
        long available = Math.max(0, input.amount);
        List<Target> slotTargets = new ArrayList<>(
                byPolicy
                        ? targets.targets(nowUs, spec, available, input.demands)
                        : demandTargets(nowUs, row, available, input.members, input.demands));
        for (SlotDemand slot : input.toEmpty) {
            input.demands.add(slot);
            slotTargets.add(new Target(0, 0));
            input.canGrow.add(false);
        }
        return allocator.plan(nowUs, row, input.demands, slotTargets, input.canGrow);
    }

    private static void collect(
            long nowUs,
            LimitRow row,
            LimitAllocator allocator,
            GatewayRow member,
            GatewayState gateway,
            boolean byPolicy,
            PlanInput input) {
        boolean applies = appliesTo(row, member);
        if (applies) {
            input.members.add(member.name());
        }
        if (gateway == null || !gateway.isAlive(nowUs, member)) {
            input.amount -= allocated(row, member);
            return;
        }
        for (SlotName name : slotNames(row, allocator, member.name(), applies && !byPolicy)) {
            boolean getsTarget = applies && byPolicy != name.tenant().isEmpty();
            if (getsTarget) {
                input.demands.add(new SlotDemand(name, demand(allocator, name)));
                input.canGrow.add(gateway.leased);
            } else {
                input.toEmpty.add(new SlotDemand(name, 0));
            }
        }
    }

    /** Whether a gateway may have a quota under a limit. */
    private static boolean appliesTo(LimitRow row, GatewayRow member) {
        String zone = row.spec().scope().zone();
        return !row.dropped() && !member.leaving() && (zone == null || zone.equals(member.zone()));
    }

    private static long allocated(LimitRow row, GatewayRow member) {
        return QuotaTable.slotsOf(row, member.name()).values().stream()
                .mapToLong(SlotAllocation::amount)
                .sum();
    }

    private static double demand(LimitAllocator allocator, SlotName name) {
        SlotState state = allocator.slotState(name);
        return state == null ? 0 : state.demand.level();
    }

    /** The slots of a gateway: those reported or with a quota, and with {@code own} the gateway's own one. */
    private static Set<SlotName> slotNames(LimitRow row, LimitAllocator allocator, String member, boolean own) {
        Set<SlotName> names = new TreeSet<>(QuotaTable.slotsOf(row, member).keySet());
        names.addAll(allocator
                .slotStates
                .subMap(new SlotName(member, ""), new SlotName(member + "\0", ""))
                .keySet());
        if (own) {
            names.add(new SlotName(member, ""));
        }
        return names;
    }

    /** Targets by demand, see {@link FairShares}; the floors are given in order while the amount lasts. */
    private List<Target> demandTargets(
            long nowUs, LimitRow row, long amount, List<String> members, List<SlotDemand> slotDemands) {
        long[] floorsOfMembers = floors(row, members);
        Map<String, Long> floorByMember = new HashMap<>();
        for (int i = 0; i < floorsOfMembers.length; i++) {
            floorByMember.put(members.get(i), floorsOfMembers[i]);
        }
        long[] floors = new long[slotDemands.size()];
        long remaining = amount;
        for (int i = 0; i < floors.length; i++) {
            String member = slotDemands.get(i).slot().member();
            floors[i] = Math.min(remaining, floorByMember.get(member));
            remaining -= floors[i];
        }
        double[] shares = FairShares.of(nowUs, amount, floors, slotDemands);
        List<Target> slotTargets = new ArrayList<>();
        for (int i = 0; i < floors.length; i++) {
            slotTargets.add(new Target(shares[i], floors[i]));
        }
        return slotTargets;
    }

    /** The floor of each member. If a limit for each engine is too small for a floor each, members get some engines. */
    private long[] floors(LimitRow row, List<String> members) {
        LimitSpec spec = row.spec();
        boolean small = Floors.even(spec.amount(), members.size(), settings.floorShare()) == 0;
        LimitSpec parent = table.specs().get(row.parentId());
        boolean byEngine =
                parent != null && LimitScope.EACH.equals(parent.scope().engine());
        if (!small || spec.unit() == LimitUnit.RATE || !byEngine) {
            return Floors.of(spec.id(), spec.amount(), members, settings.floorShare());
        }
        // combines all that the places depend on into one number
        long revision = table.membershipRevision() * 1_000_003 + table.limits().size() * 31L + table.epoch();
        if (revision != floorPlacesRevision) {
            floorPlacesRevision = revision;
            floorPlaces.clear();
        }
        Set<String> here = floorPlaces
                .computeIfAbsent(row.parentId(), parentId -> placeFloors(parentId, spec.amount(), members))
                .getOrDefault(spec.id(), Set.of());
        return members.stream()
                .mapToLong(member -> here.contains(member) ? 1 : 0)
                .toArray();
    }

    private Map<String, Set<String>> placeFloors(String parentId, long amount, List<String> members) {
        List<String> instances = table.limits().values().stream()
                .filter(row -> row.parentId().equals(parentId))
                .map(row -> row.spec().id())
                .toList();
        long places = Floors.places(amount, members.size(), instances.size(), settings.floorShare());
        return Floors.onEngines(instances, places, members);
    }
}
