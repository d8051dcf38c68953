package sandpaddle.fleet.limit.allocator;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import sandpaddle.fleet.limit.LimitSettings;
import sandpaddle.fleet.limit.LimitSpec;
import sandpaddle.fleet.limit.table.GatewayRow;
import sandpaddle.fleet.limit.table.LimitRow;
import sandpaddle.fleet.limit.table.QuotaTable;
import sandpaddle.fleet.limit.table.SlotAllocation;
import sandpaddle.fleet.limit.table.SlotName;
import sandpaddle.fleet.limit.wire.QuotaGrant;
import sandpaddle.fleet.limit.wire.SlotGrant;

/**
 * Builds the grants that are due: unacknowledged quotas, limits that a gateway does not know yet, and confirmations of
 * heartbeats. Owned by {@link QuotaAllocator}.
 */
final class GrantBuilder {
    private final LimitSettings settings;
    private final QuotaTable table;

    GrantBuilder(LimitSettings settings, QuotaTable table) {
        this.settings = settings;
        this.table = table;
    }

    List<QuotaGrant> build(long nowUs, Map<String, GatewayState> gateways, Map<String, LimitAllocator> allocators) {
        Map<String, List<SlotGrant>> slotGrants = new TreeMap<>();
        allocators.forEach((limit, allocator) -> addSlotGrants(nowUs, limit, allocator, gateways, slotGrants));
        List<QuotaGrant> grants = new ArrayList<>();
        gateways.forEach((name, gateway) -> {
            GatewayRow row = table.members().get(name);
            if (row != null && gateway.incarnation != 0 && gateway.incarnation == row.incarnation()) {
                build(nowUs, row, gateway, slotGrants.getOrDefault(name, List.of()))
                        .ifPresent(grants::add);
            }
        });
        return grants;
    }

    private void addSlotGrants(
            long nowUs,
            String limit,
            LimitAllocator allocator,
            Map<String, GatewayState> gateways,
            Map<String, List<SlotGrant>> slotGrants) {
        LimitRow row = table.limits().get(limit);
        if (row == null || allocator.settled) {
            return;
        }
        allocator.settled = true;
        allocator.slotStates.forEach((name, state) -> {
            SlotAllocation slot = row.slot(name);
            if (state.isUnacknowledged(slot)) {
                allocator.settled = false;
                GatewayState gateway = gateways.get(name.member());
                if (gateway != null && gateway.incarnation != 0) {
                    addSlotGrant(nowUs, limit, name, state, slot, slotGrants);
                }
            }
        });
    }

    private void addSlotGrant(
            long nowUs,
            String limit,
            SlotName name,
            SlotState state,
            SlotAllocation slot,
            Map<String, List<SlotGrant>> slotGrants) {
        SlotGrant grant = state.dueGrant(nowUs, limit, name.tenant(), slot, settings);
        List<SlotGrant> ofGateway = slotGrants.computeIfAbsent(name.member(), missing -> new ArrayList<>());
        if (grant != null && ofGateway.size() < QuotaGrant.MAX_SLOTS) {
            ofGateway.add(grant);
            state.recordSent(nowUs, grant);
        }
    }

    /** The grant for one gateway; empty if none is due. */
    private Optional<QuotaGrant> build(long nowUs, GatewayRow row, GatewayState gateway, List<SlotGrant> slotGrants) {
        long confirmed = gateway.confirmedSequence(row);
        boolean stale = gateway.session != row.session() || gateway.epoch != table.epoch();
        boolean due = !slotGrants.isEmpty()
                || confirmed > gateway.sentConfirmedSequence
                || stale && nowUs - gateway.lastGrantAtUs >= settings.resendIntervalUs();
        if (!due) {
            return Optional.empty();
        }
        gateway.sentConfirmedSequence = confirmed;
        gateway.lastGrantAtUs = nowUs;
        boolean includesLimits = gateway.epoch != table.epoch();
        List<LimitSpec> limits = includesLimits ? List.copyOf(table.specs().values()) : List.of();
        return Optional.of(new QuotaGrant(
                row.name(),
                row.incarnation(),
                row.session(),
                confirmed,
                table.epoch(),
                includesLimits,
                limits,
                slotGrants));
    }
}
