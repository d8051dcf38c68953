package sandpaddle.fleet.limit.allocator;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import sandpaddle.fleet.limit.Guard;
import sandpaddle.fleet.limit.LimitSettings;
import sandpaddle.fleet.limit.table.LimitRow;
import sandpaddle.fleet.limit.table.SlotAllocation;
import sandpaddle.fleet.limit.table.SlotChange;
import sandpaddle.fleet.limit.table.SlotName;
import sandpaddle.fleet.limit.wire.SlotReport;

/**
 * Moves the quotas of one limit towards their targets, reducing first. Unallocated quota goes to the slots that are
 * short. Others are requested to give up quota only if a slot is short by more than the rebalance band, so that noise
 * moves no quota; and they give up only what exceeds their own target. Used only by {@link
 * QuotaAllocator} and its parts, on its thread.
 */
final class LimitAllocator {
    /** Max number of slots of one limit that a leader plans. */
    static final int MAX_SLOTS = 65_536;

    /** A limit without changes is planned this often, as turns and lost gateways change its shares (us). */
    private static final long IDLE_INTERVAL_US = 2_000_000;

    /** A slot that lacks less than this part of a unit does not count as short. */
    private static final double MIN_SHORTFALL = 0.75;

    /**
     * Added to a slot's surplus before it is rounded down: a slot that exceeds its target by three quarters of a unit
     * gives up a whole unit, and then lacks a quarter, which does not count as short.
     */
    private static final double ROUNDING_MARGIN = 0.25;

    private static final double FLOAT_TOLERANCE = 1e-9; // absorbs floating-point errors before a share is rounded

    private final String limit;
    private final LimitSettings settings;
    final TreeMap<SlotName, SlotState> slotStates = new TreeMap<>();
    boolean dirty = true; // whether something changed since the last plan
    boolean allAcknowledged; // whether grants were built since the last plan and all quotas were acknowledged then
    private long seenRevision = -1;
    private long plannedAtUs = Long.MIN_VALUE / 2; // long ago

    LimitAllocator(String limit, LimitSettings settings) {
        this.limit = limit;
        this.settings = settings;
    }

    SlotState slotState(SlotName name) {
        SlotState state = slotStates.get(name);
        if (state == null && slotStates.size() < MAX_SLOTS) {
            state = new SlotState();
            slotStates.put(name, state);
        }
        return state;
    }

    void report(long nowUs, String member, SlotReport report) {
        SlotState state = slotState(new SlotName(member, report.tenant()));
        if (state != null) {
            dirty |= state.report(nowUs, report);
        }
    }

    /**
     * Whether the limit must be planned now: something changed, or the last plan is old, as shares change with time.
     */
    boolean isDue(long nowUs, LimitRow row) {
        long wait =
                allAcknowledged ? Math.max(IDLE_INTERVAL_US, settings.resendIntervalUs()) : settings.resendIntervalUs();
        boolean due = dirty || seenRevision != row.revision() || nowUs - plannedAtUs >= wait;
        if (due) {
            allAcknowledged = false;
            dirty = false;
            seenRevision = row.revision();
            plannedAtUs = nowUs;
        }
        return due;
    }

    /** A slot with its current quota and its target. */
    private record SlotPlan(SlotName name, SlotState state, SlotAllocation slot, Target target, boolean canGrow) {
        double gap() {
            return target.share() - slot.amount();
        }

        boolean isShort(double band) {
            return gap() >= Math.max(MIN_SHORTFALL, band * target.share()) || slot.amount() < target.floor();
        }
    }

    /**
     * The changes to propose. Requests to give up quota are left in the targets of the slots' states.
     *
     * @param canGrow whether the gateway of each slot has a lease now, in the order of {@code slotDemands}
     */
    List<SlotChange> plan(
            long nowUs, LimitRow row, List<SlotDemand> slotDemands, List<Target> targets, List<Boolean> canGrow) {
        List<SlotChange> changes = new ArrayList<>();
        List<SlotPlan> plans = new ArrayList<>();
        long free = row.amount() - row.allocated();
        slotStates.forEach((name, state) -> { // nothing is requested of silent gateways
            state.targetCeiling = row.slot(name).amount();
            state.targetFloor = row.slot(name).floor();
        });
        for (int i = 0; i < slotDemands.size(); i++) {
            SlotName name = slotDemands.get(i).slot();
            SlotState state = slotState(name);
            if (state != null) {
                SlotAllocation slot = row.slot(name);
                Target target = targets.get(i);
                free -= state.pendingIncrease(nowUs, slot, settings);
                state.targetCeiling = slot.amount();
                state.targetFloor = Math.min(slot.floor(), target.floor());
                plans.add(new SlotPlan(name, state, slot, target, canGrow.get(i)));
            }
        }
        plans.sort((a, b) -> Double.compare(b.gap(), a.gap()));
        long missing = shortfall(plans, free);
        requestShrink(plans, missing, row.allocated() > row.amount());
        free += settings.enforces(Guard.SHRINK_FIRST) ? 0 : requestedShrink(plans);
        for (SlotPlan plan : plans) {
            if (plan.state.isProposalPending(nowUs, plan.slot, settings)) {
                continue;
            }
            SlotChange change = lower(plan);
            if (change == null && plan.canGrow && hasAcknowledged(plan)) {
                change = raise(plan, free);
                free -= change == null ? 0 : change.amount() - plan.slot.amount();
            }
            if (change != null) {
                plan.state.recordProposal(nowUs, change);
                changes.add(change);
            }
        }
        return changes;
    }

    /** Whether the gateway reported the current version of the slot. */
    private boolean hasAcknowledged(SlotPlan plan) {
        return plan.slot.version() == 0
                || plan.state.report != null
                        && (plan.state.report.version() == plan.slot.version() || !settings.enforces(Guard.VERSION));
    }

    /** How much must be given up for the slots that are short. */
    private long shortfall(List<SlotPlan> plans, long free) {
        double needed = 0;
        for (SlotPlan plan : plans) {
            needed += plan.isShort(settings.rebalanceBand())
                    ? Math.ceil(plan.gap() - MIN_SHORTFALL + ROUNDING_MARGIN)
                    : 0;
        }
        return (long) needed - free;
    }

    /**
     * Requests the slots that exceed their targets the most to give up quota.
     *
     * @param plans those that exceed their target the least come first
     * @param over whether the limit was reduced below what is allocated
     */
    private void requestShrink(List<SlotPlan> plans, long missing, boolean over) {
        long remaining = missing;
        SlotPlan mostOver = null;
        for (int i = plans.size() - 1; i >= 0 && remaining > 0; i--) {
            SlotPlan plan = plans.get(i);
            double surplus = -plan.gap();
            long take =
                    Math.min(remaining, (long) Math.floor(surplus + (over ? 1 - FLOAT_TOLERANCE : ROUNDING_MARGIN)));
            take = Math.min(take, plan.slot.amount() - plan.state.targetFloor);
            if (take > 0) {
                plan.state.targetCeiling = plan.slot.amount() - take;
                remaining -= take;
            } else if (mostOver == null && plan.slot.amount() > Math.max(1, plan.target.floor()) && surplus > 0) {
                mostOver = plan;
            }
        }
        // a gateway with demand and no quota gets one unit, even if no slot exceeds its target by a whole unit
        boolean starving = plans.stream().anyMatch(plan -> plan.slot.amount() == 0 && plan.target.share() >= 1);
        if (remaining > 0 && remaining >= missing && mostOver != null && starving) {
            mostOver.state.targetCeiling = mostOver.slot.amount() - 1;
        }
    }

    private static long requestedShrink(List<SlotPlan> plans) {
        return plans.stream()
                .mapToLong(plan -> plan.slot.amount() - plan.state.targetCeiling)
                .sum();
    }

    /** The change that reclaims what the gateway acknowledged not to use any more; null if there is none. */
    private SlotChange lower(SlotPlan plan) {
        SlotReport report = plan.state.report;
        SlotAllocation slot = plan.slot;
        if (report == null
                || slot.version() == 0
                || report.version() != slot.version() && settings.enforces(Guard.VERSION)) {
            return null;
        }
        long floor = Math.min(slot.floor(), report.floor());
        long amount = Math.max(floor, Math.min(slot.amount(), report.ceiling()));
        return amount < slot.amount() || floor < slot.floor()
                ? new SlotChange(limit, plan.name, slot.version(), amount, floor)
                : null;
    }

    /** The change that brings a slot nearer to its target; null if there is none. */
    private SlotChange raise(SlotPlan plan, long free) {
        SlotAllocation slot = plan.slot;
        long more = plan.state.targetCeiling < slot.amount()
                ? 0
                : Math.max(0, Math.min(free, (long) Math.ceil(plan.gap() - FLOAT_TOLERANCE)));
        long amount = slot.amount() + more;
        long floor = Math.max(slot.floor(), Math.min(plan.target.floor(), amount));
        return amount > slot.amount() || floor > slot.floor()
                ? new SlotChange(limit, plan.name, slot.version(), amount, floor)
                : null;
    }
}
