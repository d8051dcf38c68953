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
 * Builds the {@link QuotaGrant} messages to send now, at most one for each gateway. A message has a {@link SlotGrant}
 * for each quota to send, confirms the gateway's latest heartbeat that may be confirmed, and has all limits if the
 * gateway does not know the current ones. It is sent if it has a slot grant or a new confirmation. It is also sent if
 * the gateway's session or epoch is out of date and the last message was sent at least a resend interval ago. Used only
 * by {@link QuotaAllocator}, on its thread.
 */
final class GrantBuilder {
    private final LimitSettings settings;
    private final QuotaTable table;

    GrantBuilder(LimitSettings settings, QuotaTable table) {
        this.settings = settings;
        this.table = table;
    }

    List<QuotaGrant> buildAll(long nowUs, Map<String, GatewayState> gateways, Map<String, LimitAllocator> allocators) {
        Map<String, List<SlotGrant>> slotGrants = new TreeMap<>();
        allocators.forEach((limit, allocator) -> addSlotGrants(nowUs, limit, allocator, gateways, slotGrants));
        List<QuotaGrant> grants = new ArrayList<>();
        gateways.forEach((name, gateway) -> {
            GatewayRow gatewayRow = table.members().get(name);
            if (gatewayRow != null && gateway.incarnation != 0 && gateway.incarnation == gatewayRow.incarnation()) {
                buildFor(nowUs, gatewayRow, gateway, slotGrants.getOrDefault(name, List.of()))
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
        LimitRow limitRow = table.limits().get(limit);
        if (limitRow == null || allocator.allAcknowledged) {
            return;
        }
        allocator.allAcknowledged = true;
        allocator.slotStates.forEach((name, state) -> {
            SlotAllocation slot = limitRow.slot(name);
            if (state.isUnacknowledged(slot)) {
                allocator.allAcknowledged = false;
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
        List<SlotGrant> slotGrantsOfGateway = slotGrants.computeIfAbsent(name.member(), missing -> new ArrayList<>());
        if (grant != null && slotGrantsOfGateway.size() < QuotaGrant.MAX_SLOTS) {
            slotGrantsOfGateway.add(grant);
            state.recordSent(nowUs, grant);
        }
    }

    /** The message for one gateway; empty if none is to be sent now. */
    private Optional<QuotaGrant> buildFor(
            long nowUs, GatewayRow gatewayRow, GatewayState gateway, List<SlotGrant> slotGrants) {
        long confirmed = gateway.confirmedSequence(gatewayRow);
        boolean isOutOfDate = gateway.session != gatewayRow.session() || gateway.epoch != table.epoch();
        boolean due = !slotGrants.isEmpty()
                || confirmed > gateway.sentConfirmedSequence
                || isOutOfDate && nowUs - gateway.lastGrantAtUs >= settings.resendIntervalUs();
        if (!due) {
            return Optional.empty();
        }
        gateway.sentConfirmedSequence = confirmed;
        gateway.lastGrantAtUs = nowUs;
        boolean includesLimits = gateway.epoch != table.epoch();
        List<LimitSpec> limits = includesLimits ? List.copyOf(table.specs().values()) : List.of();
        return Optional.of(new QuotaGrant(
                gatewayRow.name(),
                gatewayRow.incarnation(),
                gatewayRow.session(),
                confirmed,
                table.epoch(),
                includesLimits,
                limits,
                slotGrants));
    }
}
