package sandpaddle.fleet.limit.allocator;

import sandpaddle.fleet.limit.LimitSettings;
import sandpaddle.fleet.limit.table.SlotAllocation;
import sandpaddle.fleet.limit.table.SlotChange;
import sandpaddle.fleet.limit.wire.SlotGrant;
import sandpaddle.fleet.limit.wire.SlotReport;

/**
 * The leader's state of one slot: the last report, grant and proposal. Used only by {@link QuotaAllocator} and
 * its parts, on its thread.
 */
final class SlotState {
    private static final double MIN_DEMAND_CHANGE = 0.01; // fraction by which demand must change to trigger a new plan
    final SmoothedDemand demand = new SmoothedDemand();
    SlotReport report; // the last one; null before the first
    long targetCeiling;
    long targetFloor;
    private SlotGrant sent;
    private long sentAtUs;
    private SlotChange proposed;
    private long proposedAtUs;

    /** Records a report. Returns whether it changes anything that a plan depends on. */
    boolean report(long nowUs, SlotReport next) {
        boolean dirty = report == null || !report.equals(next);
        report = next;
        double before = demand.level();
        demand.report(nowUs, next.demand());
        return dirty || Math.abs(demand.level() - before) > MIN_DEMAND_CHANGE * Math.max(1, before);
    }

    /** Whether a change of this version was proposed recently and may still be committed. */
    boolean isProposalPending(long nowUs, SlotAllocation slot, LimitSettings settings) {
        return proposed != null
                && proposed.version() == slot.version()
                && nowUs - proposedAtUs < settings.resendIntervalUs();
    }

    void recordProposal(long nowUs, SlotChange change) {
        proposed = change;
        proposedAtUs = nowUs;
    }

    /** By how much the slot's amount grows once the pending proposal is committed. */
    long pendingIncrease(long nowUs, SlotAllocation slot, LimitSettings settings) {
        return isProposalPending(nowUs, slot, settings) ? Math.max(0, proposed.amount() - slot.amount()) : 0;
    }

    /** The grant to send now; null if none is due. */
    SlotGrant dueGrant(long nowUs, String limit, String tenant, SlotAllocation slot, LimitSettings settings) {
        if (!isUnacknowledged(slot)) {
            return null;
        }
        SlotGrant grant =
                new SlotGrant(limit, tenant, slot.version(), slot.amount(), slot.floor(), targetCeiling, targetFloor);
        if (grant.equals(sent) && nowUs - sentAtUs < settings.resendIntervalUs()) {
            return null;
        }
        return grant;
    }

    /** Whether the gateway has not acknowledged the slot's quota or targets yet. */
    boolean isUnacknowledged(SlotAllocation slot) {
        return slot.version() != 0
                && (report == null
                        || report.version() != slot.version()
                        || report.ceiling() > Math.max(targetCeiling, slot.floor())
                        || report.floor() > targetFloor);
    }

    void recordSent(long nowUs, SlotGrant grant) {
        sent = grant;
        sentAtUs = nowUs;
    }
}
