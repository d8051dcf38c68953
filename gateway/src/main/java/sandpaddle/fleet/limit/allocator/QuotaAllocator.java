package sandpaddle.fleet.limit.allocator;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;
import sandpaddle.fleet.limit.LimitSettings;
import sandpaddle.fleet.limit.LimitSpec;
import sandpaddle.fleet.limit.table.GatewayRow;
import sandpaddle.fleet.limit.table.LimitCommand;
import sandpaddle.fleet.limit.table.LimitCommandCodec;
import sandpaddle.fleet.limit.table.LimitRow;
import sandpaddle.fleet.limit.table.QuotaTable;
import sandpaddle.fleet.limit.table.SlotAllocation;
import sandpaddle.fleet.limit.table.SlotChange;
import sandpaddle.fleet.limit.wire.Heartbeat;
import sandpaddle.fleet.limit.wire.InstanceRequest;
import sandpaddle.fleet.limit.wire.QuotaGrant;
import sandpaddle.fleet.limit.wire.SlotReport;

/**
 * Allocates quotas while this gateway is the leader: receives heartbeats, decides which gateway should have which
 * quotas, proposes that to the voters, and grants what was committed. It only decides: that no limit is exceeded is
 * guaranteed by the table (the sum of allocations), by the gateways' acknowledgements, and by {@link
 * LimitSettings#reclaimDelayUs()} for silent gateways. Its state is soft: a new leader knows nothing, treats every
 * lease as renewed at its election, and learns the rest from the next heartbeats.
 *
 * <p>Not thread-safe: owned by the fleet's thread. Cost: O(reported slots) a heartbeat; a limit is planned again only
 * if something about it changed. Bounds: those of the table.
 */
public final class QuotaAllocator {
    private static final long LONG_AGO = Long.MIN_VALUE / 2;
    private static final int MAX_COMMANDS_PER_TICK = 16; // commands of each kind in one tick

    private final LimitSettings settings;
    private final QuotaTable table;
    private final LimitPlanner planner;
    private final Map<String, GatewayState> gateways = new TreeMap<>();
    private final Map<String, LimitAllocator> allocators = new TreeMap<>();
    private final Map<InstanceRequest, Long> requestedInstances = new LinkedHashMap<>();
    private long term; // 0 if this gateway is not the leader
    private boolean isOpen; // whether this leader's BeginTerm is committed
    private long openedAtUs;
    private long termProposedAtUs = LONG_AGO;
    private long membershipRevision = -1;

    /**
     * Creates an allocator that is not the leader.
     *
     * @param settings the limits' settings
     * @param table the replicated table, which the voter of this gateway applies commands to
     * @param targets decides how some limits are divided; the others are divided by demand
     */
    public QuotaAllocator(LimitSettings settings, QuotaTable table, TargetPolicy targets) {
        this.settings = settings;
        this.table = table;
        planner = new LimitPlanner(settings, table, targets);
    }

    /** This gateway was elected; {@code term} is greater than the terms of all former leaders. */
    public void elected(long term) {
        this.term = term;
        isOpen = false;
        termProposedAtUs = LONG_AGO;
        gateways.clear();
        allocators.clear();
        requestedInstances.clear();
    }

    /** This gateway is no longer the leader. */
    public void deposed() {
        term = 0;
        isOpen = false;
    }

    /** Whether this gateway may allocate now: it is elected, and its {@code BeginTerm} is committed. */
    public boolean isLeading() {
        return term != 0 && isOpen && table.term() == term;
    }

    /** Receives a heartbeat; one that is old, repeated or from an unknown gateway changes nothing. */
    public void receiveHeartbeat(long nowUs, String member, Heartbeat heartbeat) {
        GatewayRow row = table.members().get(member);
        if (row == null || !isLeading()) {
            return;
        }
        if (!gateway(member).receive(nowUs, row, heartbeat)) {
            return;
        }
        for (SlotReport report : heartbeat.reports()) {
            if (table.limits().containsKey(report.limit())) {
                allocator(report.limit()).report(nowUs, member, report);
            }
        }
        for (InstanceRequest request : heartbeat.instanceRequests()) {
            if (requestedInstances.size() < QuotaTable.MAX_LIMITS) {
                requestedInstances.putIfAbsent(request, LONG_AGO);
            }
        }
    }

    private GatewayState gateway(String member) {
        return gateways.computeIfAbsent(member, missing -> new GatewayState(settings, openedAtUs));
    }

    private LimitAllocator allocator(String limit) {
        return allocators.computeIfAbsent(limit, missing -> new LimitAllocator(missing, settings));
    }

    /** A majority confirmed, by a query sent at {@code asOfUs}, that no other leader was elected before. */
    public void onLeadershipConfirmed(long asOfUs) {
        gateways.forEach((name, gateway) -> {
            GatewayRow row = table.members().get(name);
            if (row != null) {
                gateway.onLeadershipConfirmed(asOfUs, row);
            }
        });
    }

    /** Plans every limit again with the next tick, since the targets changed. */
    public void markAllDirty() {
        allocators.values().forEach(allocator -> allocator.dirty = true);
    }

    /** Decides what is to be proposed and granted now. */
    public AllocatorOutput tick(long nowUs) {
        List<LimitCommand> proposals = new ArrayList<>();
        if (term == 0 || table.term() > term) {
            return new AllocatorOutput(proposals, List.of());
        }
        if (table.term() < term) {
            proposeTerm(nowUs, proposals);
            return new AllocatorOutput(proposals, List.of());
        }
        if (!isOpen) {
            isOpen = true;
            openedAtUs = nowUs;
        }
        refreshFleet(nowUs);
        table.members().values().forEach(row -> proposeMemberChange(nowUs, row, proposals));
        proposeInstances(nowUs, proposals);
        proposeMoves(nowUs, proposals);
        List<QuotaGrant> grants = new GrantBuilder(settings, table).buildAll(nowUs, gateways, allocators);
        return new AllocatorOutput(proposals, grants);
    }

    private void proposeTerm(long nowUs, List<LimitCommand> proposals) {
        if (nowUs - termProposedAtUs >= settings.resendIntervalUs()) {
            termProposedAtUs = nowUs;
            proposals.add(new LimitCommand.BeginTerm(term));
        }
    }

    /** Forgets removed gateways and limits; all limits are planned again if the fleet changed. */
    private void refreshFleet(long nowUs) {
        allocators.keySet().retainAll(table.limits().keySet());
        table.limits().keySet().forEach(this::allocator);
        if (membershipRevision != table.membershipRevision()) {
            membershipRevision = table.membershipRevision();
            gateways.keySet().retainAll(table.members().keySet());
            allocators.values().forEach(allocator -> {
                allocator.slotStates.keySet().removeIf(name -> !table.members().containsKey(name.member()));
                allocator.dirty = true;
            });
        }
        boolean changed = false;
        for (GatewayRow row : table.members().values()) {
            changed |= gateway(row.name()).hasChanged(nowUs, row);
        }
        if (changed) {
            markAllDirty();
        }
    }

    /** Proposes a session for a new process of a gateway, or a reclaim if it is lost or leaving. */
    private void proposeMemberChange(long nowUs, GatewayRow row, List<LimitCommand> proposals) {
        GatewayState gateway = gateways.get(row.name());
        if (nowUs - gateway.lastProposalAtUs < settings.resendIntervalUs()) {
            return;
        }
        if (gateway.incarnation != 0 && gateway.incarnation != row.incarnation()) {
            gateway.lastProposalAtUs = nowUs;
            proposals.add(new LimitCommand.BeginSession(
                    term, row.name(), row.session(), gateway.incarnation, gateway.validityUs));
            return;
        }
        boolean lost = nowUs - gateway.lastHeartbeatAtUs >= settings.reclaimDelayUs(row.validityUs());
        boolean reclaimsLost = lost && (row.leaving() || hasQuotaAboveFloors(row.name()));
        boolean removesUnused = row.leaving() && !hasQuota(row.name());
        if (reclaimsLost || removesUnused) {
            gateway.lastProposalAtUs = nowUs;
            gateway.reclaimingSession = row.session();
            proposals.add(new LimitCommand.Reclaim(term, row.name(), row.session()));
        }
    }

    private boolean hasQuotaAboveFloors(String member) {
        return hasSlot(member, slot -> slot.amount() > slot.floor());
    }

    private boolean hasQuota(String member) {
        return hasSlot(member, slot -> slot.amount() > 0);
    }

    private boolean hasSlot(String member, Predicate<SlotAllocation> condition) {
        return table.limits().values().stream()
                .flatMap(row -> QuotaTable.slotsOf(row, member).values().stream())
                .anyMatch(condition);
    }

    private void proposeInstances(long nowUs, List<LimitCommand> proposals) {
        requestedInstances.keySet().removeIf(this::isObsolete);
        requestedInstances.entrySet().forEach(request -> {
            boolean due = nowUs - request.getValue() >= settings.resendIntervalUs();
            if (due && proposals.size() < MAX_COMMANDS_PER_TICK) {
                request.setValue(nowUs);
                proposals.add(new LimitCommand.Instantiate(
                        request.getKey().limit(), request.getKey().names()));
            }
        });
    }

    /** Whether a requested instance exists already or cannot be created. */
    private boolean isObsolete(InstanceRequest request) {
        LimitSpec spec = table.specs().get(request.limit());
        if (spec == null || table.limits().size() >= QuotaTable.MAX_LIMITS) {
            return true;
        }
        return spec.instanceFor(request.names())
                .map(instance -> table.limits().containsKey(instance.id()))
                .orElse(true);
    }

    private void proposeMoves(long nowUs, List<LimitCommand> proposals) {
        List<SlotChange> changes = new ArrayList<>();
        int maxChanges = MAX_COMMANDS_PER_TICK * LimitCommandCodec.MAX_CHANGES;
        for (Map.Entry<String, LimitRow> limit : table.limits().entrySet()) {
            LimitAllocator allocator = allocator(limit.getKey());
            if (changes.size() < maxChanges && allocator.isDue(nowUs, limit.getValue())) {
                changes.addAll(planner.plan(nowUs, limit.getValue(), allocator, gateways));
            }
        }
        for (int i = 0; i < changes.size(); i += LimitCommandCodec.MAX_CHANGES) {
            int end = Math.min(changes.size(), i + LimitCommandCodec.MAX_CHANGES);
            proposals.add(new LimitCommand.ChangeSlots(term, List.copyOf(changes.subList(i, end))));
        }
    }
}
